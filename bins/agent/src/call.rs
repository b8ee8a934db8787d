//! The call port: requests from entries, forwarded to the backend.

mod answer;
mod once;
mod request;

use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use gate::{Backend, Event, Refusal};
use node::event;
use node::http::header::CONTENT_LENGTH;
use node::http::{Body, Client, Error, Method, Request, Response, ResponseBody, StatusCode, json};
use weights::Digest;
use wire::header;

use self::answer::{NotRun, Unknown};
use self::request::Incoming;
use crate::shared::InProgress;
use crate::{Shared, engine, turn};

/// Longest answer of an engine that is held back until it is whole, in bytes.
const SHORT_ANSWER: usize = 1 << 20;

/// Forwards requests to the backend.
#[derive(Clone)]
pub struct Port {
    shared: Rc<Shared>,
    http: Client,
}

/// A call that was not answered.
enum Failure {
    /// Nothing was written to the backend.
    NotRun(NotRun),
    /// The call may have run.
    Unknown(Unknown),
}

impl Port {
    /// Returns the port of an agent, whose calls to the backend use `http`.
    pub fn new(shared: Rc<Shared>, http: Client) -> Self {
        Self { shared, http }
    }

    /// Answers a request on the call port.
    pub async fn answer(&self, request: Request<Bytes>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == turn::PATH {
            return self.weights();
        }
        let id = request.headers().get(header::REQUEST).cloned();
        let mut response = match self.call(request).await {
            Ok(response) => response,
            Err(failure) => self.failed(failure),
        };
        if let Some(id) = id {
            response.headers_mut().insert(header::REQUEST, id);
        }
        response
    }

    fn weights(&self) -> Response<Body> {
        let open = match self.shared.gate() {
            wire::Gate::Open => self.shared.pin().map(|pin| pin.digest),
            wire::Gate::Closed | wire::Gate::Draining => None,
        };
        json(StatusCode::OK, &turn::Weights { open })
    }

    fn failed(&self, failure: Failure) -> Response<Body> {
        match failure {
            Failure::NotRun(not_run) => {
                self.shared.metrics.record_call("not-run", not_run.reason());
                not_run.response()
            }
            Failure::Unknown(unknown) => {
                self.shared.metrics.record_call("unknown", unknown.reason());
                unknown.response()
            }
        }
    }

    async fn call(&self, request: Request<Bytes>) -> Result<Response<Body>, Failure> {
        let incoming = Incoming::read(request, &self.shared.settings.service)?;
        let service = self.shared.service().ok_or(NotRun::NoCatalogue)?;
        if !service.repeatable {
            return self.call_once(incoming, &service).await;
        }
        let deadline = incoming.deadline(&service);
        let (progress, answer) = self.forward(incoming, deadline).await?;
        let engine = names_weights(&answer).then(|| self.clone());
        let response = if engine.is_some() && is_short(&answer) {
            // Held back until the weights were checked again, so that the entry can still try another target.
            let whole = self.read(answer, &progress, SHORT_ANSWER, deadline).await?;
            whole.map(Body::from)
        } else {
            answer::head(answer).map(|answer| stream_body(answer, progress, engine))
        };
        self.shared.metrics.record_call("answered", "");
        Ok(response)
    }

    /// Sends an admitted call to the backend and returns the head of its answer, made from the right weights.
    async fn forward(
        &self,
        incoming: Incoming,
        deadline: Instant,
    ) -> Result<(InProgress, Response<ResponseBody>), Failure> {
        let progress = self
            .shared
            .admit(incoming.pin.as_ref())
            .map_err(|refusal| self.refused(refusal))?;
        let backend = self.shared.settings.backend_address;
        let request = incoming.into_backend();
        let answer = match self.http.send(backend, request, deadline).await {
            Ok(answer) => answer,
            Err(error) => return Err(self.backend_failed(&error, deadline)),
        };
        if self.shared.settings.backend == Backend::Engine {
            self.check(&progress, &answer)?;
        }
        Ok((progress, answer))
    }

    /// Returns the answer to a refused call; one for other weights names those that the gate is open for.
    fn refused(&self, refusal: Refusal) -> NotRun {
        match self.shared.pin() {
            Some(pin) if refusal == Refusal::Version => NotRun::Version(pin),
            _ => NotRun::Refused(refusal),
        }
    }

    /// Reads an answer of at most `limit` bytes to its end and checks its weights again.
    async fn read(
        &self,
        answer: Response<ResponseBody>,
        progress: &InProgress,
        limit: usize,
        deadline: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let from_weights = names_weights(&answer);
        let (parts, body) = answer::head(answer).into_parts();
        let body = body
            .collect(limit)
            .await
            .map_err(|error| self.backend_failed(&error, deadline))?;
        if from_weights {
            self.check_again(progress).await?;
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Checks the weights of an answer.
    ///
    /// An error without the header was made from no weights: one of the request is the answer, one of the engine, such
    /// as "no weights are active" after a restart, may be retried on another target.
    fn check(&self, progress: &InProgress, answer: &Response<ResponseBody>) -> Result<(), Failure> {
        let named = answer.headers().get(header::ENGINE_WEIGHTS);
        if named.is_none() && answer.status().is_client_error() {
            return Ok(());
        }
        if named.is_none() && answer.status().is_server_error() {
            node::event!(event::BACKEND_FAILED, reason = answer.status());
            self.shared.handle(Event::ConnectionFailed);
            return Err(Unknown::Backend.into());
        }
        let found: Option<Digest> = named.and_then(|named| named.to_str().ok()?.parse().ok());
        compare(progress, found)
    }

    /// Checks at the end of an answer that the engine still serves the weights that the answer's head named.
    ///
    /// The agent gives no order while a call is in progress, but an engine may restart or change its weights by itself
    /// within an answer. One that changes them and changes them back goes unnoticed.
    async fn check_again(&self, progress: &InProgress) -> Result<(), Failure> {
        match engine::active(&self.shared, &self.http).await {
            Some(found) => compare(progress, found),
            None => {
                node::event!(event::BACKEND_FAILED, reason = "no status after an answer");
                self.shared.handle(Event::ConnectionFailed);
                Err(Unknown::Backend.into())
            }
        }
    }

    fn backend_failed(&self, error: &Error, deadline: Instant) -> Failure {
        node::event!(event::BACKEND_FAILED, reason = error);
        self.shared.handle(Event::ConnectionFailed);
        match error {
            Error::NotWritten { .. } => NotRun::Backend.into(),
            Error::Unknown { .. } if Instant::now() >= deadline => Unknown::Deadline.into(),
            Error::Unknown { .. } => Unknown::Backend.into(),
        }
    }
}

/// Compares the weights that an answer was made from with those that the request asked for.
fn compare(progress: &InProgress, found: Option<Digest>) -> Result<(), Failure> {
    progress.check(found).map_err(|mismatch| {
        let found = found.map(|found| found.to_string()).unwrap_or_default();
        node::event!(
            event::WRONG_WEIGHTS,
            expected = mismatch.expected,
            found = found
        );
        Failure::Unknown(Unknown::Weights)
    })
}

/// Tells whether an answer was made from weights.
fn names_weights(answer: &Response<ResponseBody>) -> bool {
    answer.headers().contains_key(header::ENGINE_WEIGHTS)
}

/// Tells whether an answer comes in one piece, as far as its head tells.
fn is_short(answer: &Response<ResponseBody>) -> bool {
    let length = answer.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length <= SHORT_ANSWER)
}

/// Passes the answer's body on; the call is in progress until the body ended or is dropped.
///
/// The end of an answer of the engine behind `engine` is passed on only after its weights were checked again.
fn stream_body(answer: ResponseBody, progress: InProgress, engine: Option<Port>) -> Body {
    Body::stream(stream::unfold(
        Some((answer, progress, engine)),
        |state| async {
            let (mut answer, progress, engine) = state?;
            match answer.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some((answer, progress, engine)))),
                Ok(None) => {
                    let failure = engine?.check_again(&progress).await.err()?;
                    Some((Err(io::Error::other(failure.reason())), None))
                }
                // A cut stays a cut: the connection ends without the end of the body.
                Err(error) => Some((Err(io::Error::other(error)), None)),
            }
        },
    ))
}

impl Failure {
    /// Returns the word for the header `carobport-reason`.
    fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(not_run) => not_run.reason(),
            Self::Unknown(unknown) => unknown.reason(),
        }
    }
}

impl From<NotRun> for Failure {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}

impl From<Unknown> for Failure {
    fn from(unknown: Unknown) -> Self {
        Self::Unknown(unknown)
    }
}

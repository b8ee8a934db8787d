//! The call port: requests from entries, forwarded to the backend.

mod answer;
mod once;
mod request;

use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use gate::{Backend, Event};
use node::event;
use node::http::{Answer, Body, Client, Error, Method, Request, Response, StatusCode, json};
use weights::Digest;
use wire::header;

use self::answer::{NotRun, Unknown};
use self::request::Incoming;
use crate::shared::InProgress;
use crate::{Shared, turn};

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
                self.shared.metrics.call("not-run", not_run.reason());
                not_run.response()
            }
            Failure::Unknown(unknown) => {
                self.shared.metrics.call("unknown", unknown.reason());
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
        self.shared.metrics.call("answered", "");
        Ok(answer::head(answer).map(|answer| stream_body(answer, progress)))
    }

    /// Sends an admitted call to the backend and returns the head of its answer, made from the right weights.
    async fn forward(
        &self,
        incoming: Incoming,
        deadline: Instant,
    ) -> Result<(InProgress, Response<Answer>), Failure> {
        let progress = self
            .shared
            .admit(incoming.pin.as_ref())
            .map_err(NotRun::Refused)?;
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

    /// Checks the weights of an answer.
    ///
    /// An error without the header was made from no weights: one of the request is the answer, one of the engine, such
    /// as "no weights are active" after a restart, may be retried on another target.
    fn check(&self, progress: &InProgress, answer: &Response<Answer>) -> Result<(), Failure> {
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

/// Passes the answer's body on; the call is in progress until the body ended or is dropped.
fn stream_body(answer: Answer, progress: InProgress) -> Body {
    Body::stream(stream::unfold(Some((answer, progress)), |state| async {
        let (mut answer, progress) = state?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok(piece), Some((answer, progress)))),
            Ok(None) => None,
            // A cut stays a cut: the connection ends without the end of the body.
            Err(error) => Some((Err(io::Error::other(error)), None)),
        }
    }))
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

//! The call port: forwards requests from entries to the backend.

mod once;
mod request;
mod response;

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

use self::request::CallRequest;
use self::response::{NotRun, Unknown};
use crate::shared::InFlightCall;
use crate::{Shared, engine, turn};

/// Maximum size of an engine's response that is buffered whole before it is sent, in bytes.
const MAX_BUFFERED_RESPONSE: usize = 1 << 20;

/// Forwards the requests of the call port to the backend.
#[derive(Clone)]
pub struct Proxy {
    shared: Rc<Shared>,
    http: Client,
}

/// Why a call has no response of the backend.
enum Failure {
    /// Nothing was written to the backend.
    NotRun(NotRun),
    /// It is not known whether the call ran.
    Unknown(Unknown),
}

impl Proxy {
    /// Creates a proxy whose requests to the backend use `http`.
    pub fn new(shared: Rc<Shared>, http: Client) -> Self {
        Self { shared, http }
    }

    /// Handles a request on the call port.
    pub async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == turn::WEIGHTS_PATH {
            return self.open_weights();
        }
        let id = request.headers().get(header::REQUEST).cloned();
        let mut response = match self.call(request).await {
            Ok(response) => response,
            Err(failure) => self.failure_response(failure),
        };
        if let Some(id) = id {
            response.headers_mut().insert(header::REQUEST, id);
        }
        response
    }

    /// Returns the response with the weights that the gate is open for.
    fn open_weights(&self) -> Response<Body> {
        let open = match self.shared.gate() {
            wire::Gate::Open => self.shared.pin().map(|pin| pin.digest),
            wire::Gate::Closed | wire::Gate::Draining => None,
        };
        json(StatusCode::OK, &turn::Weights { open })
    }

    /// Counts a call without a response of the backend and returns the response to its caller.
    fn failure_response(&self, failure: Failure) -> Response<Body> {
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
        let call = CallRequest::read(request, &self.shared.settings.service)?;
        let service = self.shared.service().ok_or(NotRun::NoCatalogue)?;
        if !service.repeatable {
            return self.call_at_most_once(call, &service).await;
        }
        let deadline = call.deadline(&service);
        let (in_flight, response) = self.forward(call, deadline).await?;
        let recheck = has_weights(&response).then(|| self.clone());
        let response = if recheck.is_some() && is_short(&response) {
            // Buffered until the weights were checked again, so that the entry can still try another target.
            let whole = self
                .read_whole(response, &in_flight, MAX_BUFFERED_RESPONSE, deadline)
                .await?;
            whole.map(Body::from)
        } else {
            response::from_backend(response).map(|body| stream_body(body, in_flight, recheck))
        };
        self.shared.metrics.record_call("answered", "");
        Ok(response)
    }

    /// Admits a call, sends it to the backend and returns the response after checking the weights named in its head.
    async fn forward(
        &self,
        call: CallRequest,
        deadline: Instant,
    ) -> Result<(InFlightCall, Response<ResponseBody>), Failure> {
        let in_flight = self
            .shared
            .admit(call.pin.as_ref())
            .map_err(|refusal| self.refused(refusal))?;
        let backend = self.shared.settings.backend_address;
        let request = call.into_backend_request();
        let response = match self.http.send(backend, request, deadline).await {
            Ok(response) => response,
            Err(error) => return Err(self.backend_failed(&error, deadline)),
        };
        if self.shared.settings.backend == Backend::Engine {
            self.check_head(&in_flight, &response)?;
        }
        Ok((in_flight, response))
    }

    /// Returns the result of a call that the gate refused; for a refused version, it names the weights in service.
    fn refused(&self, refusal: Refusal) -> NotRun {
        match self.shared.pin() {
            Some(pin) if refusal == Refusal::Version => NotRun::Version(pin),
            _ => NotRun::Refused(refusal),
        }
    }

    /// Reads a whole response of at most `limit` bytes; if it names its weights, checks them again.
    async fn read_whole(
        &self,
        response: Response<ResponseBody>,
        in_flight: &InFlightCall,
        limit: usize,
        deadline: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let from_weights = has_weights(&response);
        let (parts, body) = response::from_backend(response).into_parts();
        let body = body
            .collect(limit)
            .await
            .map_err(|error| self.backend_failed(&error, deadline))?;
        if from_weights {
            self.check_again(in_flight).await?;
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Checks the weights that the head of a response names.
    ///
    /// An error without the header was made without weights: a client error (4xx) is passed on as it is; a server error
    /// (5xx), such as "no weights are active" after a restart, may be retried on another target.
    fn check_head(
        &self,
        in_flight: &InFlightCall,
        response: &Response<ResponseBody>,
    ) -> Result<(), Failure> {
        let named = response.headers().get(header::ENGINE_WEIGHTS);
        if named.is_none() && response.status().is_client_error() {
            return Ok(());
        }
        if named.is_none() && response.status().is_server_error() {
            node::event!(event::BACKEND_FAILED, reason = response.status());
            self.shared.handle(Event::ConnectionFailed);
            return Err(Unknown::Backend.into());
        }
        let found: Option<Digest> = named.and_then(|named| named.to_str().ok()?.parse().ok());
        check_weights(in_flight, found)
    }

    /// Checks at the end of a response that the engine still serves the weights named in the head of the response.
    ///
    /// The agent sends no order while a call is in progress, but an engine may restart or change its weights on its own
    /// during a response. A change that is reverted before the end of the response is not detected.
    async fn check_again(&self, in_flight: &InFlightCall) -> Result<(), Failure> {
        match engine::active_weights(&self.shared, &self.http).await {
            Some(found) => check_weights(in_flight, found),
            None => {
                node::event!(event::BACKEND_FAILED, reason = "no status after a response");
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

/// Checks that a response was made from the weights that the request asked for.
fn check_weights(in_flight: &InFlightCall, found: Option<Digest>) -> Result<(), Failure> {
    in_flight.check_weights(found).map_err(|mismatch| {
        let found = found.map(|found| found.to_string()).unwrap_or_default();
        node::event!(
            event::WRONG_WEIGHTS,
            expected = mismatch.expected,
            found = found
        );
        Failure::Unknown(Unknown::Weights)
    })
}

/// Returns whether a response names the weights that it was made from.
fn has_weights(response: &Response<ResponseBody>) -> bool {
    response.headers().contains_key(header::ENGINE_WEIGHTS)
}

/// Returns whether the declared length of a response allows buffering it whole.
fn is_short(response: &Response<ResponseBody>) -> bool {
    let length = response.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length <= MAX_BUFFERED_RESPONSE)
}

/// Streams the body of a response; the call is in progress until the body ends or is dropped.
///
/// With `recheck`, the end of the body is sent only after that proxy has checked the weights again.
fn stream_body(body: ResponseBody, in_flight: InFlightCall, recheck: Option<Proxy>) -> Body {
    Body::stream(stream::unfold(
        Some((body, in_flight, recheck)),
        |state| async {
            let (mut body, in_flight, recheck) = state?;
            match body.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some((body, in_flight, recheck)))),
                Ok(None) => {
                    let failure = recheck?.check_again(&in_flight).await.err()?;
                    Some((Err(io::Error::other(failure.reason())), None))
                }
                // The caller must notice that the body is incomplete, so the connection is closed before its end.
                Err(error) => Some((Err(io::Error::other(error)), None)),
            }
        },
    ))
}

impl Failure {
    /// Returns the value of the header `carobport-reason`.
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

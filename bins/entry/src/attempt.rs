//! A single attempt: sends a request to an agent and classifies its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::{Either, select};
use node::event;
use node::http::header::HeaderValue;
use node::http::{Error, HeaderMap, Response, ResponseBody, StatusCode};
use route::{Failure, InFlight};
use uuid::Uuid;
use weights::Pin;
use wire::header as wire_header;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::response::{ANSWERED, NOT_RUN, UNKNOWN};

/// Interval between checks whether the target of an attempt is down.
const DOWN_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Reason that an agent gives when it serves other weights than requested.
const VERSION_REASON: &str = "version";
/// Refusal reasons that are likely to apply to every request until the agent's next report.
const CLOSED_REASONS: [&str; 7] = [
    "closed",
    VERSION_REASON,
    "draining",
    "leaving",
    "backend",
    "catalogue",
    "service",
];

impl Gateway {
    /// Sends a request to its target and returns the response, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Fails if there is no response that may be relayed to the caller.
    pub(crate) async fn attempt(
        &self,
        call: &Call,
        in_flight: &InFlight,
    ) -> Result<Response<ResponseBody>, Failure> {
        let target = self
            .shared
            .target(in_flight.target())
            .and_then(|target| target.member);
        let address = target.ok_or(Failure::NotConnected)?.call;
        let id = Uuid::now_v7().simple().to_string();
        let response = self.send_to_agent(call, in_flight, address, &id).await?;
        let received = header_text(response.headers(), wire_header::REQUEST);
        if received != Some(&*id) {
            let received = received.unwrap_or("none");
            node::event!(
                event::CROSSED_ANSWER,
                target = in_flight.target(),
                sent = id,
                received = received
            );
            response.into_body().close();
            return Err(Failure::ConnectionLost);
        }
        classify(in_flight, response)
    }

    /// Sends the request and waits for the response head until the deadline passes or the target goes down.
    async fn send_to_agent(
        &self,
        call: &Call,
        in_flight: &InFlight,
        address: SocketAddr,
        id: &str,
    ) -> Result<Response<ResponseBody>, Failure> {
        let request = call.agent_request(id, in_flight);
        let send = self
            .client
            .send(address, request, in_flight.deadline())
            .boxed_local();
        let down = self.wait_until_down(call, in_flight).boxed_local();
        match select(send, down).await {
            Either::Left((Ok(response), _)) => Ok(response),
            Either::Left((Err(Error::NotWritten { .. }), _)) => Err(Failure::NotConnected),
            Either::Left((Err(Error::Unknown { .. }), _))
                if Instant::now() >= in_flight.deadline() =>
            {
                Err(Failure::TimedOut)
            }
            Either::Left((Err(Error::Unknown { .. }), _)) | Either::Right(_) => {
                Err(Failure::ConnectionLost)
            }
        }
    }

    async fn wait_until_down(&self, call: &Call, in_flight: &InFlight) {
        while !self.is_down(&call.service, in_flight.target()) {
            compio::time::sleep(DOWN_CHECK_INTERVAL).await;
        }
    }
}

/// Maps the outcome in the response headers to a response to relay or to a failure of the attempt.
fn classify(
    in_flight: &InFlight,
    response: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, Failure> {
    let headers = response.headers();
    match header_text(headers, wire_header::OUTCOME) {
        Some(ANSWERED) => match weights_mismatch(in_flight, &response) {
            None => Ok(response),
            Some((wanted, received)) => {
                node::event!(
                    event::OTHER_WEIGHTS,
                    target = in_flight.target(),
                    wanted = wanted,
                    received = received
                );
                Err(Failure::ConnectionLost)
            }
        },
        Some(NOT_RUN) => Err(refusal_failure(response.status(), headers)),
        Some(UNKNOWN) if response.status() == StatusCode::GATEWAY_TIMEOUT => Err(Failure::TimedOut),
        Some(UNKNOWN) => Err(Failure::OutcomeUnknown),
        _ => {
            node::event!(
                event::NO_OUTCOME,
                target = in_flight.target(),
                status = response.status()
            );
            Err(Failure::ConnectionLost)
        }
    }
}

/// Returns the requested weights and those named in the response, if they differ.
///
/// A client error names no weights, because none were used to produce it.
fn weights_mismatch(
    in_flight: &InFlight,
    response: &Response<ResponseBody>,
) -> Option<(String, String)> {
    let wanted = in_flight.pin()?.digest.to_string();
    match header_text(response.headers(), wire_header::WEIGHTS) {
        Some(received) => (received != wanted).then(|| (wanted, received.to_owned())),
        None if response.status().is_client_error() => None,
        None => Some((wanted, "none".into())),
    }
}

/// Maps a response with the outcome `not-run` to a failure of the attempt.
fn refusal_failure(status: StatusCode, headers: &HeaderMap) -> Failure {
    let reason = header_text(headers, wire_header::REASON).unwrap_or_default();
    if let Some(owner) = header_text(headers, wire_header::OWNER) {
        return Failure::OwnedElsewhere(owner.to_owned());
    }
    let served = header_text(headers, wire_header::PIN).and_then(|pin| pin.parse::<Pin>().ok());
    if let (VERSION_REASON, Some(pin)) = (reason, served) {
        return Failure::WeightsMismatch(pin.digest.prefix());
    }
    match status {
        StatusCode::TOO_MANY_REQUESTS => Failure::Overloaded,
        StatusCode::SERVICE_UNAVAILABLE if CLOSED_REASONS.contains(&reason) => Failure::Closed,
        StatusCode::SERVICE_UNAVAILABLE => Failure::Refused,
        _ => Failure::Rejected,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

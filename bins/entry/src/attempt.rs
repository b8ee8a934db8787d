//! One attempt: the request to an agent and the head of its answer.

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
use wire::header as name;

use crate::answer::{ANSWERED, NOT_RUN, UNKNOWN};
use crate::call::Call;
use crate::gateway::Gateway;

/// Time between two checks whether the target of an attempt is down.
const DOWN_CHECK: Duration = Duration::from_millis(250);
/// Reason of a refusal by an agent that serves other weights.
const VERSION: &str = "version";
/// Reasons for which an agent is likely to refuse every request until its next report.
const CLOSED: [&str; 7] = [
    "closed",
    VERSION,
    "draining",
    "leaving",
    "backend",
    "catalogue",
    "service",
];

impl Gateway {
    /// Sends a request to its target and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer that may be passed on.
    pub(crate) async fn attempt(
        &self,
        call: &Call,
        sent: &InFlight,
    ) -> Result<Response<ResponseBody>, Failure> {
        let target = self
            .shared
            .target(sent.target())
            .and_then(|target| target.member);
        let address = target.ok_or(Failure::NotConnected)?.call;
        let id = Uuid::now_v7().simple().to_string();
        let head = self.exchange(call, sent, address, &id).await?;
        let received = text(head.headers(), name::REQUEST);
        if received != Some(&*id) {
            let received = received.unwrap_or("none");
            node::event!(
                event::CROSSED_ANSWER,
                target = sent.target(),
                sent = id,
                received = received
            );
            head.into_body().close();
            return Err(Failure::ConnectionLost);
        }
        classify(sent, head)
    }

    /// Sends the request; gives up when the deadline passes or the target goes down.
    async fn exchange(
        &self,
        call: &Call,
        sent: &InFlight,
        address: SocketAddr,
        id: &str,
    ) -> Result<Response<ResponseBody>, Failure> {
        let request = call.to_agent(id, sent);
        let send = self
            .client
            .send(address, request, sent.deadline())
            .boxed_local();
        let down = self.until_down(call, sent).boxed_local();
        match select(send, down).await {
            Either::Left((Ok(head), _)) => Ok(head),
            Either::Left((Err(Error::NotWritten { .. }), _)) => Err(Failure::NotConnected),
            Either::Left((Err(Error::Unknown { .. }), _)) if Instant::now() >= sent.deadline() => {
                Err(Failure::TimedOut)
            }
            Either::Left((Err(Error::Unknown { .. }), _)) | Either::Right(_) => {
                Err(Failure::ConnectionLost)
            }
        }
    }

    async fn until_down(&self, call: &Call, sent: &InFlight) {
        while !self.is_down(&call.service, sent.target()) {
            compio::time::sleep(DOWN_CHECK).await;
        }
    }
}

/// Reads the outcome that the agent names.
fn classify(
    sent: &InFlight,
    head: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, Failure> {
    let headers = head.headers();
    match text(headers, name::OUTCOME) {
        Some(ANSWERED) => match other_weights(sent, &head) {
            None => Ok(head),
            Some((wanted, received)) => {
                node::event!(
                    event::OTHER_WEIGHTS,
                    target = sent.target(),
                    wanted = wanted,
                    received = received
                );
                Err(Failure::ConnectionLost)
            }
        },
        Some(NOT_RUN) => Err(not_run(head.status(), headers)),
        Some(UNKNOWN) if head.status() == StatusCode::GATEWAY_TIMEOUT => Err(Failure::TimedOut),
        Some(UNKNOWN) => Err(Failure::OutcomeUnknown),
        _ => {
            node::event!(
                event::NO_OUTCOME,
                target = sent.target(),
                status = head.status()
            );
            Err(Failure::ConnectionLost)
        }
    }
}

/// Returns the wanted and the named weights of an answer when they differ.
///
/// An error of the request itself was made from no weights and names none.
fn other_weights(sent: &InFlight, head: &Response<ResponseBody>) -> Option<(String, String)> {
    let wanted = sent.pin()?.digest.to_string();
    match text(head.headers(), name::WEIGHTS) {
        Some(received) => (received != wanted).then(|| (wanted, received.to_owned())),
        None if head.status().is_client_error() => None,
        None => Some((wanted, "none".into())),
    }
}

fn not_run(status: StatusCode, headers: &HeaderMap) -> Failure {
    let reason = text(headers, name::REASON).unwrap_or_default();
    if let Some(owner) = text(headers, name::OWNER) {
        return Failure::OwnedElsewhere(owner.to_owned());
    }
    let served = text(headers, name::PIN).and_then(|pin| pin.parse::<Pin>().ok());
    if let (VERSION, Some(pin)) = (reason, served) {
        return Failure::WeightsMismatch(pin.digest.prefix());
    }
    match status {
        StatusCode::TOO_MANY_REQUESTS => Failure::Overloaded,
        StatusCode::SERVICE_UNAVAILABLE if CLOSED.contains(&reason) => Failure::Closed,
        StatusCode::SERVICE_UNAVAILABLE => Failure::Refused,
        _ => Failure::Rejected,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

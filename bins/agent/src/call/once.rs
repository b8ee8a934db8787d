//! Calls with an idempotency key, which run at most once.
//!
//! Each call runs in its own task, which continues when the caller's connection ends, since its outcome also answers
//! every later call with the same key.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use catalog::Service;
use claim::{Answer, Decision, Outcome, Reason};
use gate::Refusal;
use node::http::header::{HeaderName, HeaderValue};
use node::http::{Body, Response, StatusCode};
use uuid::Uuid;

use super::request::CallRequest;
use super::response::{NotRun, Unknown};
use super::{Failure, Proxy};
use crate::Shared;

/// Time after the caller's deadline for which the agent still waits for the response, so that it can be stored.
const RESPONSE_GRACE: Duration = Duration::from_secs(30);

/// Maximum size of a response that is sent to the caller, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Identifies a call in the claim records.
struct CallId {
    workspace: String,
    key: Uuid,
}

impl Proxy {
    /// Runs a call whose key was not used before, or returns the outcome of the call that used it.
    pub(super) async fn call_at_most_once(
        &self,
        call: CallRequest,
        service: &Service,
    ) -> Result<Response<Body>, Failure> {
        let id = CallId {
            workspace: call.workspace.clone(),
            key: call.key.ok_or(NotRun::NoKey)?,
        };
        let deadline = call.deadline(service);
        loop {
            let seen = self.shared.finished_calls.count();
            let decision =
                self.shared
                    .claims
                    .borrow_mut()
                    .begin(&id.workspace, id.key, unix_time());
            match decision {
                Decision::Run => return self.run(id, call, deadline).await,
                Decision::Wait => {
                    let ended = self.shared.finished_calls.changed(seen);
                    if compio::time::timeout_at(deadline, ended).await.is_err() {
                        return Err(Unknown::Deadline.into());
                    }
                }
                Decision::Stored(answer) => return Ok(self.stored_response(&answer)),
                Decision::Unknown(reason) => {
                    return Err(Unknown::Claim(reason_value(reason)).into());
                }
                Decision::NotRun {
                    reason: Reason::Malformed,
                    ..
                } => {
                    return Err(NotRun::Malformed(wire::header::IDEMPOTENCY_KEY).into());
                }
                Decision::NotRun {
                    reason: Reason::Closed,
                    ..
                } => return Err(NotRun::Refused(self.gate_refusal(&call)).into()),
                Decision::NotRun { reason, .. } => return Err(claim_failure(reason, None)),
                Decision::Redirect(owner) => {
                    return Err(claim_failure(Reason::NoOwner, Some(owner)));
                }
            }
        }
    }

    /// Runs the call in its own task and waits for it until `deadline`.
    async fn run(
        &self,
        id: CallId,
        call: CallRequest,
        deadline: Instant,
    ) -> Result<Response<Body>, Failure> {
        let (sender, receiver) = futures::channel::oneshot::channel();
        let proxy = self.clone();
        compio::runtime::spawn(async move {
            let result = proxy.execute(call, deadline + RESPONSE_GRACE).await;
            let outcome = match &result {
                Ok(answer) => Outcome::Answered(answer.clone()),
                Err(Failure::NotRun(_)) => Outcome::NotRun,
                Err(Failure::Unknown(_)) => Outcome::Unknown,
            };
            proxy.shared.finish_call(&id, outcome);
            // The caller may have disconnected; the outcome is recorded in any case.
            let _ = sender.send(result);
        })
        .detach();
        match compio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result.map(|answer| self.stored_response(&answer)),
            Ok(Err(_)) => Err(Unknown::Backend.into()),
            Err(_) => Err(Unknown::Deadline.into()),
        }
    }

    /// Sends the call to the backend and reads the whole response.
    async fn execute(&self, call: CallRequest, deadline: Instant) -> Result<Answer, Failure> {
        let (in_flight, response) = self.forward(call, deadline).await?;
        let response = self
            .read_whole(response, &in_flight, MAX_RESPONSE_BYTES, deadline)
            .await?;
        drop(in_flight);
        let (parts, body) = response.into_parts();
        let headers = parts
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        Ok(Answer {
            status: parts.status.as_u16(),
            headers,
            body: body.into(),
        })
    }

    /// Returns why the gate refuses a call; `Closed` if the gate has opened in the meantime.
    fn gate_refusal(&self, call: &CallRequest) -> Refusal {
        let admitted = self.shared.admit(call.pin.as_ref());
        admitted.err().unwrap_or(Refusal::Closed)
    }

    /// Counts an answered call and returns the response that `answer` holds, or that the outcome is unknown if its status
    /// is none.
    fn stored_response(&self, answer: &Answer) -> Response<Body> {
        let Ok(status) = StatusCode::from_u16(answer.status) else {
            return Unknown::Backend.response();
        };
        self.shared.metrics.record_call("answered", "");
        let mut response = Response::new(Body::from(answer.body.clone()));
        *response.status_mut() = status;
        for (name, value) in &answer.headers {
            if let (Ok(name), Ok(value)) = (
                HeaderName::from_bytes(name.as_bytes()),
                HeaderValue::from_bytes(value),
            ) {
                response.headers_mut().append(name, value);
            }
        }
        response
    }
}

impl Shared {
    /// Records the outcome of a call and wakes the calls that wait for it.
    fn finish_call(self: &Rc<Self>, id: &CallId, outcome: Outcome) {
        let mut claims = self.claims.borrow_mut();
        claims.finish(&id.workspace, id.key, unix_time(), outcome);
        drop(claims);
        self.finished_calls.notify();
    }
}

/// Returns the failure of a call whose claim interval this agent doesn't hold.
fn claim_failure(reason: Reason, owner: Option<String>) -> Failure {
    let reason = if owner.is_some() {
        "owner"
    } else {
        reason_value(reason)
    };
    NotRun::Claim { reason, owner }.into()
}

/// Returns the value of the header `carobport-reason`.
fn reason_value(reason: Reason) -> &'static str {
    match reason {
        Reason::Malformed => "malformed",
        Reason::Early => "early-key",
        Reason::Late => "late-key",
        Reason::NotStored => "not-stored",
        Reason::NoOwner => "no-owner",
        Reason::Closed => "closed",
    }
}

/// Returns the time since the Unix epoch.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

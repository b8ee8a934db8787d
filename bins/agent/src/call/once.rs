//! Calls that must run at most once, by their keys.
//!
//! The call runs in a task of its own, which goes on when the caller's connection ends: its outcome is the answer to
//! every later call with the same key.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use catalog::Service;
use claim::{Answer, Decision, Outcome, Reason};
use gate::Refusal;
use node::http::header::{HeaderName, HeaderValue};
use node::http::{Body, Response, StatusCode};
use uuid::Uuid;

use super::answer::{NotRun, Unknown};
use super::request::Incoming;
use super::{Failure, Port};
use crate::Shared;

/// Time past the caller's deadline for which a call's answer is still awaited and remembered.
const GRACE: Duration = Duration::from_secs(30);

/// Longest answer that is passed on, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// Name under which a key is recorded.
struct Id {
    workspace: String,
    key: Uuid,
}

impl Port {
    /// Runs a call whose key was not used before, or answers with the outcome of the call that used it.
    pub(super) async fn call_once(
        &self,
        incoming: Incoming,
        service: &Service,
    ) -> Result<Response<Body>, Failure> {
        let id = Id {
            workspace: incoming.workspace.clone(),
            key: incoming.key.ok_or(NotRun::NoKey)?,
        };
        let deadline = incoming.deadline(service);
        loop {
            let seen = self.shared.outcomes.count();
            let decision = self
                .shared
                .claims
                .borrow_mut()
                .begin(&id.workspace, id.key, now());
            match decision {
                Decision::Run => return self.run(id, incoming, deadline).await,
                Decision::Wait => {
                    let ended = self.shared.outcomes.changed(seen);
                    if compio::time::timeout_at(deadline, ended).await.is_err() {
                        return Err(Unknown::Deadline.into());
                    }
                }
                Decision::Stored(answer) => return Ok(self.stored(&answer)),
                Decision::Unknown(reason) => return Err(Unknown::Claim(word(reason)).into()),
                Decision::NotRun {
                    reason: Reason::Malformed,
                    ..
                } => {
                    return Err(NotRun::Malformed(wire::header::IDEMPOTENCY_KEY).into());
                }
                Decision::NotRun {
                    reason: Reason::Closed,
                    ..
                } => return Err(NotRun::Refused(self.refusal(&incoming)).into()),
                Decision::NotRun { reason, .. } => return Err(elsewhere(reason, None)),
                Decision::Redirect(owner) => return Err(elsewhere(Reason::NoOwner, Some(owner))),
            }
        }
    }

    /// Runs the call in a task of its own and waits for it until `deadline`.
    async fn run(
        &self,
        id: Id,
        incoming: Incoming,
        deadline: Instant,
    ) -> Result<Response<Body>, Failure> {
        let (sender, receiver) = futures::channel::oneshot::channel();
        let port = self.clone();
        compio::runtime::spawn(async move {
            let result = port.attempt(incoming, deadline + GRACE).await;
            let outcome = match &result {
                Ok(answer) => Outcome::Answered(answer.clone()),
                Err(Failure::NotRun(_)) => Outcome::NotRun,
                Err(Failure::Unknown(_)) => Outcome::Unknown,
            };
            port.shared.end_call(&id, outcome);
            // The caller may be gone; the outcome is recorded.
            let _ = sender.send(result);
        })
        .detach();
        match compio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result.map(|answer| self.stored(&answer)),
            Ok(Err(_)) => Err(Unknown::Backend.into()),
            Err(_) => Err(Unknown::Deadline.into()),
        }
    }

    /// Sends the call and reads its whole answer.
    async fn attempt(&self, incoming: Incoming, deadline: Instant) -> Result<Answer, Failure> {
        let (progress, answer) = self.forward(incoming, deadline).await?;
        let answer = self.read(answer, &progress, MAX_ANSWER, deadline).await?;
        drop(progress);
        let (parts, body) = answer.into_parts();
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

    /// Returns why the gate refuses a call; closed when it opened just now.
    fn refusal(&self, incoming: &Incoming) -> Refusal {
        let admitted = self.shared.admit(incoming.pin.as_ref());
        admitted.err().unwrap_or(Refusal::Closed)
    }

    fn stored(&self, answer: &Answer) -> Response<Body> {
        self.shared.metrics.record_call("answered", "");
        let mut response = Response::new(Body::from(answer.body.clone()));
        *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
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
    fn end_call(self: &Rc<Self>, id: &Id, outcome: Outcome) {
        let mut claims = self.claims.borrow_mut();
        claims.finish(&id.workspace, id.key, now(), outcome);
        drop(claims);
        self.outcomes.notify();
    }
}

fn elsewhere(reason: Reason, owner: Option<String>) -> Failure {
    let reason = if owner.is_some() {
        "owner"
    } else {
        word(reason)
    };
    NotRun::Claim { reason, owner }.into()
}

/// Returns the word for the header `carobport-reason`.
fn word(reason: Reason) -> &'static str {
    match reason {
        Reason::Malformed => "malformed",
        Reason::Early => "early-key",
        Reason::Late => "late-key",
        Reason::NotStored => "not-stored",
        Reason::NoOwner => "no-owner",
        Reason::Closed => "closed",
    }
}

/// Returns the time since 1970.
fn now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

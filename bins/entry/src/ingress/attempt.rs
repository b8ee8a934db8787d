//! One attempt: the request to a target and the head of its answer.

use std::time::{Duration, Instant};

use dispatch::{Failure, Load};
use node::event;
use node::http::{Error, HeaderMap, ResponseBody, StatusCode};
use platform::response::{Head, Limit};

use super::call::Call;
use super::gateway::{CONNECT_TIME, Gateway, limit_text};
use super::placed::Placed;

/// A target's own answer, of which the body is still to come.
pub(super) struct Answered {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) head: Head,
    pub(super) body: ResponseBody,
}

impl Gateway {
    /// Sends a request to its place and returns the head of the answer, at the latest at `limit`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer that may be passed on.
    pub(super) async fn attempt(
        &self,
        call: &Call,
        placed: &Placed,
        limit: Instant,
        last_event: Option<u64>,
    ) -> Result<Answered, Failure> {
        let place = placed.place();
        event!(
            event::REQUEST_PLACED,
            request = call.caller.id,
            target = place.target,
            load = place.load,
            waited_ms = call.arrived.elapsed().as_millis(),
            prompt = place.work.prompt_tokens,
            output = place.work.output_tokens
        );
        let now = Instant::now();
        if self.view(|scheduler| scheduler.target_limit(now, &place.target).is_some()) {
            self.metrics.limited();
        }
        let request = call.to_target(&place.target, place.work.weights_version, last_event);
        let sent = Instant::now();
        let answer = match self.client.send(place.address, request, limit).await {
            Ok(answer) => answer,
            Err(Error::NotWritten { .. }) if sent.elapsed() >= CONNECT_TIME => {
                return Err(Failure::Unreachable);
            }
            Err(Error::NotWritten { .. }) => return Err(Failure::NotConnected),
            Err(Error::Unknown { .. }) if Instant::now() >= limit => return Err(Failure::Late),
            Err(error) => {
                event!(event::ANSWER_LOST, target = place.target, error = error);
                return Err(Failure::Broken);
            }
        };
        let (parts, body) = answer.into_parts();
        let head = platform::response::parse_head(&parts.headers);
        if let Some((running, waiting)) = head.load {
            let load = Load {
                running,
                waiting,
                slowdown: 1.0,
                accepting: true,
                closes_in: None,
                weights: None,
            };
            self.update(|scheduler, now| scheduler.report_answer_load(now, &place.target, load));
        }
        self.take_notices(call, &place.target, sent, parts.status, &head);
        match classify(call, parts.status, &head) {
            Ok(()) => Ok(Answered {
                status: parts.status,
                headers: parts.headers,
                head,
                body,
            }),
            Err(failure) => {
                // A refusal is read to its end, so that its connection can be used again.
                match failure {
                    Failure::Refused | Failure::Misdirected => discard(body).await,
                    _ => body.close(),
                }
                Err(failure)
            }
        }
    }

    /// Takes what a target asks for in its answer: that it leaves, or wants no requests for a while.
    ///
    /// An answer that names another request, or a refusal by another target at the same address, says nothing of this
    /// target.
    fn take_notices(
        &self,
        call: &Call,
        target: &str,
        sent: Instant,
        status: StatusCode,
        head: &Head,
    ) {
        let request = &call.caller.id;
        let own = head.id.as_ref() == Some(request) && status != StatusCode::MISDIRECTED_REQUEST;
        if !own {
            return;
        }
        if head.leaving && self.update(|scheduler, now| scheduler.set_target_leaving(now, target)) {
            event!(event::TARGET_LEAVING, target = target, request = request);
        }
        self.take_limit(request, target, sent, head);
        let refused = status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(pause) = head.pause.filter(|_| refused)
            && self.update(|scheduler, now| scheduler.pause_target(now, target, pause))
        {
            event!(
                event::TARGET_PAUSED,
                target = target,
                request = request,
                pause_ms = pause.as_millis()
            );
        }
    }

    /// Takes what an answer says of the requests that its target takes. Only the target itself can end its limit.
    fn take_limit(&self, request: &str, target: &str, sent: Instant, head: &Head) {
        let limit = match head.limit {
            Limit::PerSecond(per_s) => Some(per_s),
            Limit::None if head.sealed || head.not_run => None,
            Limit::None | Limit::Malformed => return,
        };
        if self.note(|scheduler, now| scheduler.set_target_limit(now, target, sent, limit)) {
            // The issuer is told.
            self.update(|_, _| ());
            event!(
                event::TARGET_LIMITED,
                target = target,
                request = request,
                limit = limit_text(limit)
            );
        }
    }
}

/// Tells whether an answer is the target's own answer to the request.
fn classify(call: &Call, status: StatusCode, head: &Head) -> Result<(), Failure> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::Misdirected);
    }
    if head.not_run {
        return Err(Failure::Refused);
    }
    if head.id.as_deref() != Some(&*call.caller.id) || !head.sealed || head.encoded {
        event!(
            event::FOREIGN_ANSWER,
            request = call.caller.id,
            received = head.id.as_deref().unwrap_or("none"),
            sealed = head.sealed
        );
        return Err(Failure::Broken);
    }
    Ok(())
}

async fn discard(mut body: ResponseBody) {
    /// Time for the rest of a refusal to arrive.
    const REST: Duration = Duration::from_millis(100);
    body.set_deadline(Instant::now() + REST);
    while let Ok(Some(_)) = body.next().await {}
}

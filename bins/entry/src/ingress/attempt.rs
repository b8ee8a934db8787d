//! A single attempt: sends a request to a target and reads the head of its response.

use std::time::{Duration, Instant};

use dispatch::{Failure, Load};
use node::event;
use node::http::{Error, HeaderMap, ResponseBody, StatusCode};
use platform::response::{Head, Limit};

use super::call::Call;
use super::gateway::{CONNECT_TIMEOUT, Gateway, limit_text};
use super::placed::PlacedRequest;
use super::verdict::{Subject, Verdict};

/// A target's verified response, whose body has not been read yet.
pub(super) struct TargetResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) head: Head,
    pub(super) body: ResponseBody,
}

impl Gateway {
    /// Sends a request to the target that it is placed on and waits until `deadline` for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to forward.
    pub(super) async fn attempt(
        &self,
        call: &Call,
        placed: &PlacedRequest,
        deadline: Instant,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, Failure> {
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
            self.metrics.count_limited_attempt();
        }
        let request = call.target_request(place, last_event);
        let sent = Instant::now();
        call.sent.set(true);
        let response = match self.client.send(place.address, request, deadline).await {
            Ok(response) => response,
            Err(Error::NotWritten { .. }) if sent.elapsed() >= CONNECT_TIMEOUT => {
                return Err(Failure::Unreachable);
            }
            Err(Error::NotWritten { .. }) => return Err(Failure::NotConnected),
            Err(Error::Unknown { .. }) if Instant::now() >= deadline => return Err(Failure::Late),
            Err(error) => {
                event!(event::ANSWER_LOST, target = place.target, error = error);
                return Err(Failure::Broken);
            }
        };
        let (parts, body) = response.into_parts();
        let head = platform::response::parse_head(&parts.headers);
        self.apply_notices(call, &place.target, sent, parts.status, &head);
        let subject = Subject {
            id: &call.caller.id,
            repeatable: place.work.is_repeatable(),
            first_on_connection: body.is_first_on_connection(),
        };
        let verdict = Verdict::new(subject, parts.status, &head);
        if verdict == Verdict::Foreign || !parts.status.is_success() {
            self.report_answer(call, &place.target, parts.status, &head, verdict);
        }
        if let Some(failure) = verdict.failure() {
            // The connection is reused only if it is certain which request the response belongs to.
            match head.id {
                Some(_) if verdict != Verdict::Foreign => discard_body(body).await,
                _ => body.close(),
            }
            return Err(failure);
        }
        Ok(TargetResponse {
            status: parts.status,
            headers: parts.headers,
            head,
            body,
        })
    }

    /// Logs and counts a response that is an error or is not the target's own, and what it is taken for.
    fn report_answer(
        &self,
        call: &Call,
        target: &str,
        status: StatusCode,
        head: &Head,
        verdict: Verdict,
    ) {
        let taken_for = verdict.name();
        self.metrics.count_error_answer(taken_for);
        let event = match verdict {
            Verdict::Foreign => event::FOREIGN_ANSWER,
            Verdict::Own | Verdict::Withheld(_) => event::ERROR_ANSWER,
            // The event of the failed attempt names the target, and refusals are frequent under overload.
            Verdict::NotRun(_) => return,
        };
        event!(
            event,
            request = call.caller.id,
            target = target,
            status = status.as_u16(),
            received = head.id.as_deref().unwrap_or("none"),
            sealed = head.sealed,
            not_run = head.not_run,
            taken_for = taken_for
        );
    }

    /// Applies the notices in a target's response: its load, that it is leaving, limits its request rate, or
    /// asks for a pause.
    ///
    /// A response that names another request, or comes from another target at the same address, says nothing about this
    /// target and is ignored.
    fn apply_notices(
        &self,
        call: &Call,
        target: &str,
        sent: Instant,
        status: StatusCode,
        head: &Head,
    ) {
        let request = &call.caller.id;
        let from_target =
            head.id.as_ref() == Some(request) && status != StatusCode::MISDIRECTED_REQUEST;
        if !from_target {
            return;
        }
        self.apply_load(target, head);
        if head.leaving && self.update(|scheduler, now| scheduler.set_target_leaving(now, target)) {
            event!(event::TARGET_LEAVING, target = target, request = request);
        }
        self.apply_limit(request, target, sent, head);
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

    fn apply_load(&self, target: &str, head: &Head) {
        let Some(stated) = head.load else {
            return;
        };
        let load = Load {
            running: stated.running,
            waiting: stated.waiting,
            slots: stated.slots,
            slowdown: stated.slowdown.unwrap_or(1.0),
            accepting: true,
            closes_in: None,
            weights: None,
        };
        self.update(|scheduler, now| scheduler.report_answer_load(now, target, load));
    }

    /// Applies the rate limit in a target's response. Only the target itself can lift its limit.
    fn apply_limit(&self, request: &str, target: &str, sent: Instant, head: &Head) {
        let limit = match head.limit {
            Limit::PerSecond(per_s) => Some(per_s),
            Limit::None if head.sealed || head.not_run => None,
            Limit::None | Limit::Malformed => return,
        };
        if self.update_without_poll(|scheduler, now| {
            scheduler.set_target_limit(now, target, sent, limit)
        }) {
            // Polls the scheduler, which reports the new limit to the issuer of the permits.
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

/// Reads a body to its end, so that the connection can be reused.
async fn discard_body(mut body: ResponseBody) {
    /// Time allowed for reading the rest of a response that is not forwarded.
    const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
    body.set_deadline(Instant::now() + DISCARD_TIMEOUT);
    while let Ok(Some(_)) = body.next().await {}
}

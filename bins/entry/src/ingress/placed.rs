//! Places of requests on targets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{Failure, Outcome, Placement, RequestContext};
use node::event;

use super::gateway::Gateway;

/// A request's place on a target; dropping it frees the place as if the caller had left.
pub(super) struct Placed {
    gateway: Rc<Gateway>,
    place: Placement,
    since: Instant,
    /// Whether the target was noted as late.
    late: Cell<bool>,
    ended: Cell<bool>,
}

impl Placed {
    pub(super) fn new(gateway: Rc<Gateway>, place: Placement) -> Self {
        Self {
            gateway,
            place,
            since: Instant::now(),
            late: Cell::new(false),
            ended: Cell::new(false),
        }
    }

    pub(super) fn place(&self) -> &Placement {
        &self.place
    }

    /// Returns the time since the request got its place.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Notes that the first event arrived.
    pub(super) fn started(&self, version: Option<u64>) {
        self.gateway.started(self.place.request, version);
    }

    /// Returns a second place for `work`, what is left to do, because the target is silent for `silence`; `None` when no
    /// target has room at once. The attempt at this place goes on.
    pub(super) fn beside(&self, work: RequestContext, silence: Duration) -> Option<Self> {
        let late = !self.late.replace(true);
        let target = &self.place.target;
        if late
            && self
                .gateway
                .update(|scheduler, now| scheduler.record_late(now, self.place.request))
        {
            event!(event::TARGET_EJECTED, target = target);
        }
        let left = work.deadline.saturating_duration_since(Instant::now());
        let second = self.gateway.place_beside(work);
        if late || second.is_some() {
            let beside = second.as_ref().map(|second| &*second.place.target);
            event!(
                event::TARGET_LATE,
                request = self.place.work.id,
                target = target,
                silent_ms = silence.as_millis(),
                left_ms = left.as_millis(),
                beside = beside.unwrap_or("none")
            );
        }
        second
    }

    /// Ends the attempt and returns what was asked for, to be submitted once more or dropped.
    pub(super) fn end(self, outcome: Outcome) -> RequestContext {
        self.finish(outcome);
        self.place.work.clone()
    }

    /// Ends the attempt, whose answer was passed on.
    pub(super) fn answered(&self) {
        self.finish(Outcome::Answered);
    }

    /// Ends the attempt, which failed.
    pub(super) fn fail(&self, failure: Failure) {
        self.finish(Outcome::Failed(failure));
    }

    fn finish(&self, outcome: Outcome) {
        if self.ended.replace(true) {
            return;
        }
        let (id, target) = (self.place.request, &self.place.target);
        self.gateway.forget(id);
        if let Outcome::Failed(failure) = outcome {
            self.log_failure(failure);
        }
        let ejected = self
            .gateway
            .update(|scheduler, now| scheduler.record_end(now, id, outcome));
        if ejected {
            event!(event::TARGET_EJECTED, target = target);
        }
    }

    fn log_failure(&self, failure: Failure) {
        self.gateway.metrics.failed(failure);
        let work = &self.place.work;
        let now = Instant::now();
        event!(
            event::ATTEMPT_FAILED,
            request = work.id,
            target = self.place.target,
            failure = failure.name(),
            load = self.place.load,
            attempt = work.tried_targets.len(),
            attempts_left = work.attempts_left,
            age_ms = now.saturating_duration_since(work.arrived).as_millis(),
            left_ms = work.deadline.saturating_duration_since(now).as_millis()
        );
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.finish(Outcome::Abandoned);
    }
}

//! Requests that are placed on targets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{Failure, Outcome, Placement, RequestContext};
use node::event;

use super::gateway::Gateway;

/// A request placed on a target; dropping it before the attempt ended releases the place and records the attempt as
/// abandoned.
pub(super) struct PlacedRequest {
    gateway: Rc<Gateway>,
    place: Placement,
    placed_at: Instant,
    /// Whether the scheduler was told that the target is late.
    late_recorded: Cell<bool>,
    ended: Cell<bool>,
}

impl PlacedRequest {
    pub(super) fn new(gateway: Rc<Gateway>, place: Placement) -> Self {
        Self {
            gateway,
            place,
            placed_at: Instant::now(),
            late_recorded: Cell::new(false),
            ended: Cell::new(false),
        }
    }

    pub(super) fn place(&self) -> &Placement {
        &self.place
    }

    /// Returns the time since the request was placed.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.placed_at)
    }

    /// Records that the first event arrived.
    pub(super) fn record_first_event(&self, version: Option<u64>) {
        self.gateway.record_first_event(self.place.request, version);
    }

    /// Places a second attempt for `work` because the target has been silent for `silence`.
    ///
    /// Returns `None` if no target has room now. The attempt at this place continues.
    pub(super) fn hedge(&self, work: RequestContext, silence: Duration) -> Option<Self> {
        let newly_late = !self.late_recorded.replace(true);
        let target = &self.place.target;
        if newly_late
            && self
                .gateway
                .update(|scheduler, now| scheduler.record_late(now, self.place.request))
        {
            event!(event::TARGET_EJECTED, target = target);
        }
        let left = work.deadline.saturating_duration_since(Instant::now());
        let second = self.gateway.place_concurrent(work);
        if newly_late || second.is_some() {
            let second_target = second.as_ref().map(|second| &*second.place.target);
            event!(
                event::TARGET_LATE,
                request = self.place.work.id,
                target = target,
                silent_ms = silence.as_millis(),
                left_ms = left.as_millis(),
                beside = second_target.unwrap_or("none")
            );
        }
        second
    }

    /// Ends the attempt and returns its request, for a retry.
    pub(super) fn end(self, outcome: Outcome) -> RequestContext {
        self.finish(outcome);
        self.place.work.clone()
    }

    /// Ends the attempt as answered.
    pub(super) fn answered(&self) {
        self.finish(Outcome::Answered);
    }

    /// Ends the attempt as failed.
    pub(super) fn fail(&self, failure: Failure) {
        self.finish(Outcome::Failed(failure));
    }

    fn finish(&self, outcome: Outcome) {
        if self.ended.replace(true) {
            return;
        }
        let (id, target) = (self.place.request, &self.place.target);
        self.gateway.remove_channels(id);
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
        self.gateway.metrics.count_failed_attempt(failure);
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

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.finish(Outcome::Abandoned);
    }
}

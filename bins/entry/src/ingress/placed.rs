//! Requests that are placed on targets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{Failure, Outcome, Placement, RequestContext};
use node::event;

use super::gateway::Gateway;

/// Time after its first event for which an attempt must last before its prompt counts as harmless to the target.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// A request placed on a target; dropping it before the attempt ended releases the place and records the attempt as
/// abandoned.
pub(super) struct PlacedRequest {
    gateway: Rc<Gateway>,
    place: Placement,
    placed_at: Instant,
    /// When the first event arrived.
    began_at: Cell<Option<Instant>>,
    /// Whether the target has outlived the beginning of the response.
    survived: Cell<bool>,
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
            began_at: Cell::default(),
            survived: Cell::default(),
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
        self.began_at.set(Some(Instant::now()));
        self.gateway.record_first_event(self.place.request, version);
    }

    /// Records that further events arrived at `now`.
    pub(super) fn record_progress(&self, now: Instant) {
        let began_at = self.began_at.get();
        let lasted = began_at.map(|began_at| now.saturating_duration_since(began_at));
        if lasted.is_some_and(|lasted| lasted >= SURVIVAL_TIME) {
            self.record_survival();
        }
    }

    /// Records that the target has survived the beginning of the response.
    fn record_survival(&self) {
        if !self.survived.replace(true) {
            self.gateway.record_survival(&self.place.work.prompt);
        }
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
        match outcome {
            Outcome::Answered => self.record_survival(),
            Outcome::Failed(failure) => {
                self.log_failure(failure);
                if failure == Failure::Broken && !self.survived.get() {
                    self.gateway.check_crash(&self.place);
                }
            }
            Outcome::Abandoned => {}
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
            began = self.began_at.get().is_some(),
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

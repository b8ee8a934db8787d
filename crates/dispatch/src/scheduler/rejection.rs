//! Rejections and their retry times.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{Decision, Scheduler};
use crate::queue::QueueKey;
use crate::request::{Reason, RequestContext, RequestId};
use crate::target::Target;

impl Scheduler {
    /// Returns the time after which a caller that waits until `deadline` may retry.
    ///
    /// The time is random, so that callers that are rejected together do not all return together. It is at most a third
    /// of the time that the caller has left, because callers do not wait longer than that.
    pub fn retry_after(&mut self, now: Instant, deadline: Instant) -> Duration {
        let left = deadline.saturating_duration_since(now);
        left.mul_f64(self.rng.random_range(0.5..1.0) / 3.0)
    }

    pub(super) fn reject(
        &mut self,
        now: Instant,
        id: RequestId,
        work: &RequestContext,
        reason: Reason,
    ) -> Decision {
        Decision::Reject {
            request: id,
            reason,
            retry_after: self.retry_after(now, work.deadline),
        }
    }

    /// Rejects a request that no target can serve in time.
    pub(super) fn reject_overload(
        &mut self,
        now: Instant,
        key: QueueKey,
        work: &RequestContext,
    ) -> Decision {
        if let Some(queue) = self.queues.get_mut(&work.service) {
            queue.record_decision(now, &work.allowed_regions, key.urgency, true);
        }
        self.reject(now, key.request, work, Reason::Overload)
    }

    /// Returns why no target accepts a request.
    pub(super) fn no_target_reason(&self, work: &RequestContext) -> Reason {
        let mut targets = self.targets.values().map(|state| &state.target);
        let in_allowed_region = |target: &Target| {
            target.service == work.service && self.is_in_allowed_region(target, work)
        };
        match work.tried_targets.is_empty() {
            true if work.allowed_regions.is_some() && !targets.any(in_allowed_region) => {
                Reason::NoAllowedRegion
            }
            true if self.is_kept_by_evacuation(work) => Reason::Evacuated,
            true => Reason::NoTarget,
            false => Reason::Refused,
        }
    }

    /// Rejects a request whose targets are all paused or rate-limited until `until`.
    ///
    /// The retry time is after `until`, with the same random spread as for other rejections.
    pub(super) fn reject_paused(
        &mut self,
        now: Instant,
        request: RequestId,
        work: &RequestContext,
        until: Instant,
    ) -> Decision {
        let pause = until.saturating_duration_since(now);
        Decision::Reject {
            request,
            reason: Reason::Paused,
            retry_after: pause + self.retry_after(now, work.deadline),
        }
    }
}

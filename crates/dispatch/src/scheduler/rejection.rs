//! Rejections and their retry times.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{Decision, Scheduler};
use crate::queue::QueueKey;
use crate::request::{Reason, RequestContext, RequestId};
use crate::target::Target;

/// Longest part of its remaining time that a caller waits before it comes back.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Width of the interval from which a retry time is drawn, as a part of the longest one.
const RETRY_SPREAD: f64 = 0.5;

impl Scheduler {
    /// Returns the time after which a caller that waits until `deadline` may retry.
    ///
    /// The time is random, so that callers that are rejected together do not all return together. It is at most a third
    /// of the time that the caller has left, because callers do not wait longer than that.
    pub fn retry_after(&mut self, now: Instant, deadline: Instant) -> Duration {
        self.spread_retry(now, deadline, 1.0)
    }

    /// Returns a random retry time that is later the larger `rejected_share`, from 0 to 1, of recent requests is.
    fn spread_retry(&mut self, now: Instant, deadline: Instant, rejected_share: f64) -> Duration {
        let longest = deadline
            .saturating_duration_since(now)
            .mul_f64(MAX_RETRY_SHARE);
        let earliest = rejected_share * (1.0 - RETRY_SPREAD);
        longest.mul_f64(earliest + self.rng.random_range(0.0..RETRY_SPREAD))
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
    ///
    /// The fewer of the requests of its urgency are rejected, the sooner its caller finds a place, perhaps at another
    /// entry, which has other places.
    pub(super) fn reject_overload(
        &mut self,
        now: Instant,
        key: QueueKey,
        work: &RequestContext,
    ) -> Decision {
        let mut rejected_share = 0.0;
        if let Some(queue) = self.queues.get_mut(&work.service) {
            queue.record_decision(now, &work.allowed_regions, key.urgency, true);
            let pressure = queue.pressure(&work.allowed_regions);
            rejected_share =
                pressure.map_or(0.0, |pressure| pressure.rejected_share(now, key.urgency));
        }
        Decision::Reject {
            request: key.request,
            reason: Reason::Overload,
            retry_after: self.spread_retry(now, work.deadline, rejected_share),
        }
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

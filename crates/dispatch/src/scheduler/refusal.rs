//! Refusals, and when callers may come back.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{Decision, Scheduler};
use crate::work::{Reason, RequestId, Work};

impl Scheduler {
    /// Returns the time after which a caller that waits until `deadline` may come back.
    ///
    /// Callers that are turned away together come back spread over time. A caller waits at most a third of the time
    /// that it has left, so a longer time would say nothing.
    pub fn retry_after(&mut self, now: Instant, deadline: Instant) -> Duration {
        let left = deadline.saturating_duration_since(now);
        left.mul_f64(self.rng.random_range(0.5..1.0) / 3.0)
    }

    pub(super) fn reject(
        &mut self,
        now: Instant,
        id: RequestId,
        work: &Work,
        reason: Reason,
    ) -> Decision {
        Decision::Reject {
            request: id,
            reason,
            retry_after: self.retry_after(now, work.deadline),
        }
    }

    /// Refuses a request whose targets all want none before `until`.
    ///
    /// Callers come back after that time, spread like those that are turned away for other reasons.
    pub(super) fn reject_paused(
        &mut self,
        now: Instant,
        request: RequestId,
        work: &Work,
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

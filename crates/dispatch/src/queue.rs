//! Queue of a service's requests that wait for a target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::request::{RequestContext, RequestId};

/// Share of the objective that a request may spend in the queue; the target needs the rest.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Weight of the newest interval in the moving average of the time between placements.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time without a placement after which the moving average is discarded.
const MEAN_MAX_AGE: Duration = Duration::from_secs(2);

/// Sort key of waiting requests: by priority, then those that can still meet their objective, then by arrival.
///
/// Under sustained overload, rejected callers keep coming back. If a returning request went ahead of a new one, each
/// free place would serve a request that is already late and make another one late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    rank: u8,
    past_objective: bool,
    pub(crate) request: RequestId,
}

/// Waiting requests in order of urgency.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<QueueKey, RequestContext>,
    /// Mean time between two placements while requests were waiting, in seconds.
    placement_interval: Option<f64>,
    last_placement: Option<Instant>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn push(&mut self, id: RequestId, work: RequestContext) {
        self.waiting.insert(QueueKey::of(id, &work), work);
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<RequestContext> {
        self.waiting.remove(&key)
    }

    /// Removes the request `id`; returns whether it was waiting.
    pub(crate) fn cancel(&mut self, id: RequestId) -> bool {
        let key = self.waiting.keys().find(|key| key.request == id).copied();
        key.is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (QueueKey, &RequestContext)> {
        self.waiting.iter().map(|(key, work)| (*key, work))
    }

    /// Returns the time until which `work` may stay in the queue.
    pub(crate) fn wait_deadline(work: &RequestContext) -> Instant {
        (work.arrived + work.objective.mul_f64(MAX_WAIT_SHARE)).min(work.deadline)
    }

    /// Returns the earliest time at which a request reaches its wait deadline.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(Self::wait_deadline).min()
    }

    /// Records that a request was placed at `now`; `waited` is whether it had to wait for a target.
    pub(crate) fn record_placement(&mut self, now: Instant, waited: bool) {
        if !waited {
            self.placement_interval = None;
            self.last_placement = None;
            return;
        }
        if let Some(last) = self.last_placement.replace(now) {
            let elapsed = now.saturating_duration_since(last);
            if elapsed < MEAN_MAX_AGE {
                let elapsed = elapsed.as_secs_f64();
                let mean = self.placement_interval.unwrap_or(elapsed);
                self.placement_interval = Some(mean + (elapsed - mean) * NEWEST_WEIGHT);
            }
        }
    }

    /// Estimates the time that `work` would wait behind the requests ahead of it.
    pub(crate) fn expected_wait(&self, now: Instant, work: &RequestContext) -> Option<Duration> {
        let fresh = self
            .last_placement
            .is_some_and(|last| now.saturating_duration_since(last) < MEAN_MAX_AGE);
        let placement_interval = self.placement_interval.filter(|_| fresh)?;
        let ahead = self
            .waiting
            .range(..QueueKey::of(RequestId::MAX, work))
            .count();
        Some(Duration::from_secs_f64(
            (placement_interval * ahead as f64).min(3600.0),
        ))
    }
}

impl QueueKey {
    fn of(request: RequestId, work: &RequestContext) -> Self {
        Self {
            rank: work.priority,
            past_objective: work.is_past_objective(),
            request,
        }
    }
}

//! Requests of a service that wait for a target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::work::{RequestId, Work};

/// Share of the objective for which a request waits; what is left of it is needed by the target.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Weight of the newest interval in the mean time between two placements.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time without a placement after which the mean of earlier ones says nothing.
const MEAN_MAX_AGE: Duration = Duration::from_secs(2);

/// Order of waiting requests: rank first, then those that can still be in time, then arrival.
///
/// Under lasting overload callers who were refused come back all the time. If they went before new ones by arrival, each
/// place would serve a request that is late already and make another one late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    rank: u8,
    past_objective: bool,
    pub(crate) request: RequestId,
}

/// Waiting requests, the most urgent first.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<QueueKey, Work>,
    /// Mean time between two placements while requests waited, in seconds.
    placement_interval: Option<f64>,
    last_placement: Option<Instant>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn push(&mut self, id: RequestId, work: Work) {
        self.waiting.insert(QueueKey::of(id, &work), work);
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<Work> {
        self.waiting.remove(&key)
    }

    /// Removes the request `id`, and returns whether it was waiting.
    pub(crate) fn cancel(&mut self, id: RequestId) -> bool {
        let key = self.waiting.keys().find(|key| key.request == id).copied();
        key.is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (QueueKey, &Work)> {
        self.waiting.iter().map(|(key, work)| (*key, work))
    }

    /// Returns the time until which `work` may wait.
    pub(crate) fn wait_deadline(work: &Work) -> Instant {
        (work.arrived + work.objective.mul_f64(MAX_WAIT_SHARE)).min(work.deadline)
    }

    /// Returns the time at which the first request has waited long enough.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(Self::wait_deadline).min()
    }

    /// Notes that a request got a target at `now`; `waited` tells that it had none when it came.
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

    /// Returns the forecast of the time that `work` would wait behind those ahead of it.
    pub(crate) fn expected_wait(&self, now: Instant, work: &Work) -> Option<Duration> {
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
    fn of(request: RequestId, work: &Work) -> Self {
        Self {
            rank: work.priority,
            past_objective: work.is_overdue(),
            request,
        }
    }
}

//! Requests of a service that wait for a target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::work::{RequestId, Work};

/// Share of the objective for which a request waits; what is left of it is needed by the target.
const PATIENCE: f64 = 0.4;
/// Weight of the newest interval in the mean time between two placements.
const NEWEST: f64 = 0.1;
/// Time without a placement after which the mean of earlier ones says nothing.
const RATE_KEPT: Duration = Duration::from_secs(2);

/// Order of waiting requests: rank first, then those that can still be in time, then arrival.
///
/// Under lasting overload callers who were refused come back all the time. If they went before new ones by arrival, each
/// place would serve a request that is late already and make another one late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Order {
    rank: u8,
    overdue: bool,
    pub(crate) request: RequestId,
}

/// Waiting requests, the most urgent first.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Order, Work>,
    /// Mean time between two placements while requests waited, in seconds.
    interval: Option<f64>,
    last: Option<Instant>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn push(&mut self, id: RequestId, work: Work) {
        self.waiting.insert(Order::of(id, &work), work);
    }

    pub(crate) fn remove(&mut self, order: Order) -> Option<Work> {
        self.waiting.remove(&order)
    }

    /// Removes the request `id`, and returns whether it was waiting.
    pub(crate) fn cancel(&mut self, id: RequestId) -> bool {
        let order = self
            .waiting
            .keys()
            .find(|order| order.request == id)
            .copied();
        order.is_some_and(|order| self.waiting.remove(&order).is_some())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Order, &Work)> {
        self.waiting.iter().map(|(order, work)| (*order, work))
    }

    /// Returns the time until which `work` may wait.
    pub(crate) fn patience(work: &Work) -> Instant {
        (work.arrived + work.objective.mul_f64(PATIENCE)).min(work.deadline)
    }

    /// Returns the time at which the first request has waited long enough.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(Self::patience).min()
    }

    /// Notes that a request got a target at `now`; `waited` tells that it had none when it came.
    pub(crate) fn placed(&mut self, now: Instant, waited: bool) {
        if !waited {
            self.interval = None;
            self.last = None;
            return;
        }
        if let Some(last) = self.last.replace(now) {
            let passed = now.saturating_duration_since(last);
            if passed < RATE_KEPT {
                let passed = passed.as_secs_f64();
                let mean = self.interval.unwrap_or(passed);
                self.interval = Some(mean + (passed - mean) * NEWEST);
            }
        }
    }

    /// Returns the forecast of the time that `work` would wait behind those ahead of it.
    pub(crate) fn wait(&self, now: Instant, work: &Work) -> Option<Duration> {
        let fresh = self
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < RATE_KEPT);
        let interval = self.interval.filter(|_| fresh)?;
        let ahead = self
            .waiting
            .range(..Order::of(RequestId::MAX, work))
            .count();
        Some(Duration::from_secs_f64(
            (interval * ahead as f64).min(3600.0),
        ))
    }
}

impl Order {
    fn of(request: RequestId, work: &Work) -> Self {
        Self {
            rank: work.priority,
            overdue: work.is_overdue(),
            request,
        }
    }
}

//! Queue of a service's requests that wait for a target.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::pressure::{Pressure, Urgency};
use crate::region::AllowedRegions;
use crate::request::{RequestContext, RequestId};
use crate::usage::Usage;

/// Share of the objective that a request may spend in the queue; the target needs the rest.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Weight of the newest interval in the moving average of the time between placements.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time without a placement after which the moving average is discarded.
const MEAN_MAX_AGE: Duration = Duration::from_secs(2);

/// Sort key of waiting requests: by urgency, then those that can still meet their objective, then by the caller's first
/// arrival.
///
/// A caller that returns within its objective goes before those that arrived after it. One that is past its objective
/// goes behind new ones: under sustained overload, rejected callers keep coming back, and each free place would serve a
/// request that is already late and make another one late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    /// Urgency under which the request is served; more urgent than its own if requests like it starve.
    pub(crate) order: Urgency,
    past_objective: bool,
    /// Time of the caller's first attempt, at this entry or another one.
    first_arrived: Instant,
    pub(crate) request: RequestId,
    /// Urgency of the request itself.
    pub(crate) urgency: Urgency,
}

/// The regions that a request is restricted to. The targets of one class may have room while those of another have
/// none.
pub(crate) type Class = Option<Rc<AllowedRegions>>;

/// Waiting requests in order of urgency.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<QueueKey, RequestContext>,
    /// Recent placements of each class.
    placements: BTreeMap<Class, Placements>,
    /// Recent rejections of each class.
    pressures: BTreeMap<Class, Pressure>,
    usage: Usage,
}

/// Placements of one class while its requests were waiting.
#[derive(Clone, Copy, Debug)]
struct Placements {
    /// Mean time between two of them, in seconds.
    interval: Option<f64>,
    last: Instant,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the key of the new request `id`, whose cost in tokens counts towards its workspace's share.
    pub(crate) fn key(
        &mut self,
        now: Instant,
        id: RequestId,
        work: &RequestContext,
        cost: f64,
    ) -> QueueKey {
        let over_share = match &work.workspace {
            Some(workspace) => self.usage.record(now, workspace, cost),
            None => false,
        };
        let urgency = Urgency {
            rank: work.priority,
            over_share,
        };
        let pressure = self.pressures.get(&work.allowed_regions);
        QueueKey {
            urgency,
            order: pressure.map_or(urgency, |pressure| pressure.promoted(now, urgency)),
            past_objective: work.is_past_objective(),
            first_arrived: work.arrived - work.prior_wait.min(work.objective),
            request: id,
        }
    }

    pub(crate) fn push(&mut self, key: QueueKey, work: RequestContext) {
        self.waiting.insert(key, work);
    }

    /// Returns whether requests at least as urgent as `urgency` are waiting.
    pub(crate) fn has_urgent(&self, urgency: Urgency) -> bool {
        let first = self.waiting.keys().next();
        first.is_some_and(|key| key.order <= urgency)
    }

    /// Counts a request that was placed, or rejected because of overload.
    pub(crate) fn record_decision(
        &mut self,
        now: Instant,
        class: &Class,
        urgency: Urgency,
        rejected: bool,
    ) {
        let pressure = match self.pressures.get_mut(class) {
            Some(pressure) => pressure,
            None => self.pressures.entry(class.clone()).or_default(),
        };
        pressure.record(now, urgency, rejected);
    }

    /// Returns whether requests were rejected recently because of overload.
    pub(crate) fn is_overloaded(&self, now: Instant) -> bool {
        let mut pressures = self.pressures.values();
        pressures.any(|pressure| pressure.is_overloaded(now))
    }

    /// Returns the recent rejections of a class, if any of its requests was decided.
    pub(crate) fn pressure(&self, class: &Class) -> Option<&Pressure> {
        self.pressures.get(class)
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<RequestContext> {
        self.waiting.remove(&key)
    }

    /// Removes the request `id`; returns whether it was waiting.
    pub(crate) fn cancel(&mut self, id: RequestId) -> bool {
        let key = self.waiting.keys().find(|key| key.request == id).copied();
        key.is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    /// Returns the most urgent requests, at most `max` of each class.
    pub(crate) fn most_urgent(&self, max: usize) -> Vec<QueueKey> {
        let mut counts: BTreeMap<&Class, usize> = BTreeMap::new();
        let mut keys = Vec::new();
        for (key, work) in &self.waiting {
            let count = counts.entry(&work.allowed_regions).or_default();
            if *count < max {
                *count += 1;
                keys.push(*key);
            }
        }
        keys
    }

    /// Returns the time until which `work` may stay in the queue.
    pub(crate) fn wait_deadline(work: &RequestContext) -> Instant {
        (work.arrived + work.objective.mul_f64(MAX_WAIT_SHARE)).min(work.deadline)
    }

    /// Returns the earliest time at which a request reaches its wait deadline.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(Self::wait_deadline).min()
    }

    /// Records that a request of `class` was placed at `now`; `waited` is whether it had to wait for a target.
    pub(crate) fn record_placement(&mut self, now: Instant, class: Class, waited: bool) {
        self.placements
            .retain(|_, placements| placements.is_recent(now));
        if !waited {
            self.placements.remove(&class);
            return;
        }
        match self.placements.get_mut(&class) {
            Some(placements) => placements.record(now),
            None => {
                let first = Placements {
                    interval: None,
                    last: now,
                };
                self.placements.insert(class, first);
            }
        }
    }

    /// Estimates the time that `work` would wait under `key` behind the requests of its class ahead of it.
    pub(crate) fn expected_wait(
        &self,
        now: Instant,
        key: QueueKey,
        work: &RequestContext,
    ) -> Option<Duration> {
        let placements = self.placements.get(&work.allowed_regions);
        let interval = placements
            .filter(|placements| placements.is_recent(now))?
            .interval?;
        let ahead = self
            .waiting
            .range(..key)
            .filter(|(_, other)| other.allowed_regions == work.allowed_regions)
            .count();
        Some(Duration::from_secs_f64(
            (interval * ahead as f64).min(3600.0),
        ))
    }
}

impl Placements {
    fn record(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last).as_secs_f64();
        let mean = self.interval.unwrap_or(elapsed);
        self.interval = Some(mean + (elapsed - mean) * NEWEST_WEIGHT);
        self.last = now;
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < MEAN_MAX_AGE
    }
}

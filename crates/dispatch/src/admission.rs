//! Admission of requests to targets: shutdowns, pauses and rate limits that targets announce in their answers.
//!
//! An announcement outlives the target's registration: a target that shuts down is often removed from the registry
//! first, and a registration may expire and return while the store is unavailable. An announcement is valid for one
//! start of the target only.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quota::{AdvertisedLimit, Limit, Permits};

use crate::target::{Target, TargetId};

/// Time for which the state of a target that is not registered is kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Longest pause that a target can request; a longer one is treated as faulty and shortened.
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Admission state of all targets, by target id.
#[derive(Debug, Default)]
pub(crate) struct AdmissionTable(BTreeMap<TargetId, AdmissionState>);

/// Admission state of one start of a target.
#[derive(Debug)]
struct AdmissionState {
    /// Start time of the target, which identifies the start that this state belongs to.
    started_at_ms: Option<u64>,
    leaving: bool,
    /// End of the longest pause that the target requested.
    paused_until: Option<Instant>,
    /// Rate limit over all entries together, as the target stated it.
    statement: Option<AdvertisedLimit>,
    /// When this entry learned of the statement.
    statement_at: Option<Instant>,
    /// End of the cold period, in which the service's limit for cold targets applies.
    cold_until: Option<Instant>,
    permits: Permits,
    updated_at: Instant,
}

/// Whether a target may receive new requests, according to its admission state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    Open,
    /// It accepts none until the given time.
    Paused(Instant),
    /// It is rate-limited and this entry has no permit; one is expected at the given time.
    Limited(Instant),
    /// It is shutting down and gets no more requests.
    Leaving,
}

impl AdmissionTable {
    /// Records that `target` is shutting down; returns whether this was unknown.
    pub(crate) fn set_leaving(&mut self, now: Instant, target: &Target) -> bool {
        let state = self.state_mut(now, target);
        !std::mem::replace(&mut state.leaving, true)
    }

    /// Records that `target` accepts no requests for `pause`; returns whether this extends the known pause. A shorter
    /// pause never replaces a longer one.
    pub(crate) fn set_pause(&mut self, now: Instant, target: &Target, pause: Duration) -> bool {
        let until = now + pause.min(MAX_PAUSE);
        let state = self.state_mut(now, target);
        let changed = state.paused_until.is_none_or(|current| current < until);
        if changed {
            state.paused_until = Some(until);
        }
        changed
    }

    /// Records the limit, or its absence, in an answer of `target` to a request sent at `sent`; returns whether it
    /// changed.
    ///
    /// An answer without a limit is ignored if the request was sent before the current statement was learned.
    pub(crate) fn set_limit(
        &mut self,
        now: Instant,
        target: &Target,
        sent: Instant,
        limit: Option<Limit>,
    ) -> bool {
        let statement_at = self.get(target).and_then(|state| state.statement_at);
        if limit.is_none() && statement_at.is_none_or(|statement_at| sent < statement_at) {
            return false;
        }
        let state = self.state_mut(now, target);
        let changed = AdvertisedLimit::record(&mut state.statement, limit);
        if changed {
            state.statement_at = Some(now);
            state.permits.set_limit_changed();
        }
        changed
    }

    /// Merges a statement of `target` that another process received; returns whether it changed the known one.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        target: &Target,
        statement: AdvertisedLimit,
    ) -> bool {
        let state = self.state_mut(now, target);
        let changed = AdvertisedLimit::merge(&mut state.statement, Some(statement));
        if changed {
            state.statement_at = Some(now);
        }
        changed
    }

    /// Sets the cold period of `target`, which ends `cold` after `now`.
    pub(crate) fn set_cold_period(&mut self, now: Instant, target: &Target, cold: Duration) {
        if cold.is_zero() && self.get(target).is_none() {
            return;
        }
        let state = self.state_mut(now, target);
        state.cold_until = (!cold.is_zero()).then(|| now + cold);
    }

    /// Returns the requests per second that `target` accepts now from all entries together; `cold` is its service's
    /// limit for cold targets.
    pub(crate) fn limit(
        &self,
        now: Instant,
        target: &Target,
        cold: Option<Limit>,
    ) -> Option<Limit> {
        self.get(target)?.limit(now, cold)
    }

    /// Consumes a permit of `target` if it is rate-limited.
    pub(crate) fn use_permit(&mut self, now: Instant, target: &Target, cold: Option<Limit>) {
        let state = self.0.get_mut(&target.id);
        let state = state.filter(|state| state.started_at_ms == target.started_at_ms);
        if let Some(state) = state.filter(|state| state.limit(now, cold).is_some()) {
            state.permits.try_take(now);
        }
    }

    /// Returns the permits of `target` and the limit that it stated.
    pub(crate) fn permits(
        &mut self,
        target: &Target,
    ) -> Option<(&mut Permits, Option<AdvertisedLimit>)> {
        let state = self.0.get_mut(&target.id);
        let state = state.filter(|state| state.started_at_ms == target.started_at_ms)?;
        Some((&mut state.permits, state.statement))
    }

    /// Returns the ids of the targets whose permit issuer has to be queried.
    pub(crate) fn pending_queries(&self) -> impl Iterator<Item = &TargetId> {
        let pending_queries = self
            .0
            .iter()
            .filter(|(_, state)| state.permits.has_request());
        pending_queries.map(|(id, _)| id)
    }

    /// Returns whether `target` may receive new requests; `cold` is its service's limit for cold targets.
    pub(crate) fn admission(
        &self,
        now: Instant,
        target: &Target,
        cold: Option<Limit>,
    ) -> Admission {
        let Some(state) = self.get(target) else {
            return Admission::Open;
        };
        match state.paused_until {
            _ if state.leaving => Admission::Leaving,
            Some(until) if now < until => Admission::Paused(until),
            _ if state.limit(now, cold).is_some() && !state.permits.is_available(now) => {
                Admission::Limited(state.permits.next_permit_at(now))
            }
            _ => Admission::Open,
        }
    }

    /// Removes expired state of targets for which `is_registered` returns `false`.
    pub(crate) fn expire(&mut self, now: Instant, is_registered: impl Fn(&str) -> bool) {
        self.0.retain(|id, state| {
            is_registered(id) || now.saturating_duration_since(state.updated_at) < RETENTION
        });
    }

    fn get(&self, target: &Target) -> Option<&AdmissionState> {
        let state = self.0.get(&target.id);
        state.filter(|state| state.started_at_ms == target.started_at_ms)
    }

    fn state_mut(&mut self, now: Instant, target: &Target) -> &mut AdmissionState {
        let state = self
            .0
            .entry(target.id.clone())
            .or_insert_with(|| AdmissionState::new(now, target));
        if state.started_at_ms != target.started_at_ms {
            *state = AdmissionState::new(now, target);
        }
        state.updated_at = now;
        state
    }
}

impl AdmissionState {
    fn new(now: Instant, target: &Target) -> Self {
        Self {
            started_at_ms: target.started_at_ms,
            leaving: false,
            paused_until: None,
            statement: None,
            statement_at: None,
            cold_until: None,
            permits: Permits::default(),
            updated_at: now,
        }
    }

    fn limit(&self, now: Instant, cold: Option<Limit>) -> Option<Limit> {
        let stated = self.statement.and_then(|statement| statement.limit);
        let cold = cold.filter(|_| self.cold_until.is_some_and(|until| now < until));
        match (stated, cold) {
            (Some(stated), Some(cold)) => Some(stated.min(cold)),
            (stated, cold) => stated.or(cold),
        }
    }
}

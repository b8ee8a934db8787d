//! What targets ask for in their answers: no new work because they leave, no requests for a while, or only so many a second.
//!
//! A notice outlives the registration of its target: a target that leaves is often removed from the registry first, and
//! its registration may lapse and come back while the store is away. It ends with the start of the target that gave it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quota::{Limit, Permits, Statement};

use crate::target::{Target, TargetId};

/// Time for which the notices of a target that isn't registered are kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Longest pause that a target can ask for; a longer one is taken for a fault.
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Notices of all targets, by the target's id.
#[derive(Debug, Default)]
pub(crate) struct AdmissionTable(BTreeMap<TargetId, AdmissionState>);

/// What one start of a target asked for.
#[derive(Debug)]
struct AdmissionState {
    /// Start of the target that gave the notice.
    born: Option<u64>,
    leaving: bool,
    /// End of the longest pause that was asked for.
    paused_until: Option<Instant>,
    /// What it said of the requests that it takes from all entries together.
    statement: Option<Statement>,
    /// When this entry learned of that.
    statement_at: Option<Instant>,
    /// Time until which the start of the target is recent enough for the limit of its service.
    cold_until: Option<Instant>,
    permits: Permits,
    updated_at: Instant,
}

/// Whether a target may get new requests, as far as its notices say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    Open,
    /// It wants none until the given time.
    Paused(Instant),
    /// This entry has no permit for it, and may have one at the given time.
    Limited(Instant),
    /// It leaves and gets none any more.
    Leaving,
}

impl AdmissionTable {
    /// Notes that `target` leaves, and returns whether that is news.
    pub(crate) fn set_leaving(&mut self, now: Instant, target: &Target) -> bool {
        let state = self.state_mut(now, target);
        !std::mem::replace(&mut state.leaving, true)
    }

    /// Notes that `target` wants no requests for `pause`, and returns whether that is news: a shorter pause doesn't end a
    /// longer one.
    pub(crate) fn set_pause(&mut self, now: Instant, target: &Target, pause: Duration) -> bool {
        let until = now + pause.min(MAX_PAUSE);
        let state = self.state_mut(now, target);
        let changed = state.paused_until.is_none_or(|current| current < until);
        if changed {
            state.paused_until = Some(until);
        }
        changed
    }

    /// Notes what an answer of `target` to a request that was sent at `sent` says of the requests that it takes, and
    /// returns whether that is news.
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
        let changed = Statement::hear(&mut state.statement, limit);
        if changed {
            state.statement_at = Some(now);
            state.permits.tell();
        }
        changed
    }

    /// Takes what another process heard `target` say of the requests that it takes, and returns whether that is news.
    pub(crate) fn merge(&mut self, now: Instant, target: &Target, statement: Statement) -> bool {
        let state = self.state_mut(now, target);
        let changed = Statement::merge(&mut state.statement, Some(statement));
        if changed {
            state.statement_at = Some(now);
        }
        changed
    }

    /// Notes that `target` stays cold for `cold` after its start.
    pub(crate) fn set_cold_period(&mut self, now: Instant, target: &Target, cold: Duration) {
        if cold.is_zero() && self.get(target).is_none() {
            return;
        }
        let state = self.state_mut(now, target);
        state.cold_until = (!cold.is_zero()).then(|| now + cold);
    }

    /// Returns the requests a second that `target` takes now from all entries together; `cold` is the limit of its service
    /// for cold targets.
    pub(crate) fn limit(
        &self,
        now: Instant,
        target: &Target,
        cold: Option<Limit>,
    ) -> Option<Limit> {
        self.get(target)?.limit(now, cold)
    }

    /// Uses a permit of `target` if it has a limit.
    pub(crate) fn use_permit(&mut self, now: Instant, target: &Target, cold: Option<Limit>) {
        let state = self.0.get_mut(&target.id);
        let state = state.filter(|state| state.born == target.born);
        if let Some(state) = state.filter(|state| state.limit(now, cold).is_some()) {
            state.permits.take(now);
        }
    }

    /// Returns the permits of `target`, and what it said of its limit.
    pub(crate) fn permits(&mut self, target: &Target) -> Option<(&mut Permits, Option<Statement>)> {
        let state = self.0.get_mut(&target.id);
        let state = state.filter(|state| state.born == target.born)?;
        Some((&mut state.permits, state.statement))
    }

    /// Returns the ids of the targets about whose limits there is a question to put.
    pub(crate) fn pending_queries(&self) -> impl Iterator<Item = &TargetId> {
        let pending_queries = self.0.iter().filter(|(_, state)| state.permits.is_asking());
        pending_queries.map(|(id, _)| id)
    }

    /// Tells whether `target` may get new requests; `cold` is the limit of its service for cold targets.
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
                Admission::Limited(state.permits.expected(now))
            }
            _ => Admission::Open,
        }
    }

    /// Forgets old notices of targets that `is_registered` doesn't know.
    pub(crate) fn expire(&mut self, now: Instant, is_registered: impl Fn(&str) -> bool) {
        self.0.retain(|id, state| {
            is_registered(id) || now.saturating_duration_since(state.updated_at) < RETENTION
        });
    }

    fn get(&self, target: &Target) -> Option<&AdmissionState> {
        let state = self.0.get(&target.id);
        state.filter(|state| state.born == target.born)
    }

    fn state_mut(&mut self, now: Instant, target: &Target) -> &mut AdmissionState {
        let state = self
            .0
            .entry(target.id.clone())
            .or_insert_with(|| AdmissionState::new(now, target));
        if state.born != target.born {
            *state = AdmissionState::new(now, target);
        }
        state.updated_at = now;
        state
    }
}

impl AdmissionState {
    fn new(now: Instant, target: &Target) -> Self {
        Self {
            born: target.born,
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
        let named = self.statement.and_then(|statement| statement.limit);
        let cold = cold.filter(|_| self.cold_until.is_some_and(|until| now < until));
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }
}

//! Selection of the target for a request.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::Scheduler;
use crate::admission::Admission;
use crate::config::Engine;
use crate::prompt;
use crate::request::RequestContext;
use crate::target::{Target, TargetId, TargetState};

/// Maximum number of requests beyond its slots that an engine may hold, so that a freed slot is reused at once.
const MAX_ENGINE_BACKLOG: u32 = 2;
/// Share of the objective that a request may spend waiting at an engine.
const BACKLOG_OBJECTIVE_SHARE: f64 = 0.6;
/// Requests beyond its slots that a target without an engine may hold, as a share of the slots.
const PLAIN_BACKLOG_SHARE: f64 = 0.5;
/// Time to first token that a target in another failure domain must save to be preferred. Traffic between domains costs
/// money.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(25);
/// Safety factor on the expected length of an answer, because callers' estimates are often too low.
const OUTPUT_SAFETY_FACTOR: f64 = 1.5;
/// Time for which a request may still run after its engine stops accepting new ones.
const CLOSE_TOLERANCE: Duration = Duration::from_millis(150);
/// Load per slot that a target without an engine in another failure domain must save to be preferred.
const CROSS_DOMAIN_LOAD: f64 = 0.5;
/// Load per slot that a target without an engine must save for each time that work takes the usual time longer there.
/// Below its slots, a target's load delays a request less than a slowdown does.
const SLOWDOWN_LOAD: f64 = 0.5;
/// Time added to a target's estimate at a failure rate of 1, and in proportion below.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);
/// Number of entries assumed for sharing a target's places until the actual number is known. It is low because idle
/// places cost more than overcommitted ones in that phase.
const DEFAULT_ENTRIES_FOR_PLACES: usize = 4;

/// Whether a request may wait at a full engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Backlog {
    /// It may wait, so that the first freed slot is reused at once, whichever entry's request ended.
    Allowed,
    /// It may not wait. While requests wait at this entry, the slots that its own requests free go to the most urgent
    /// ones; a queue at the engine would only make all of them late.
    None,
}

/// Result of the search for a target.
pub(super) enum Choice {
    Target(TargetId),
    /// Targets accept such requests but have no room.
    Busy,
    /// All eligible targets are paused or rate-limited; the first one may accept a request at the given time.
    Paused(Instant),
    /// No target accepts such requests.
    NoTarget,
}

impl Scheduler {
    /// Chooses the target with the lowest cost among those with room.
    ///
    /// Ejected targets and those behind a blocked path are skipped, unless they are more than half of the eligible
    /// ones: then the failures say little about individual targets.
    ///
    /// If no target is available, permits are requested for the rate-limited ones that lack them.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        work: &RequestContext,
        backlog: Backlog,
    ) -> Choice {
        let mut limited = Vec::new();
        let choice = self.search(now, work, backlog, &mut limited);
        if !matches!(choice, Choice::Target(_)) {
            self.want_permits(now, &limited);
        }
        choice
    }

    /// Chooses a target as in [`Scheduler::choose`], but only collects the targets that lack a permit in `limited`.
    fn search(
        &mut self,
        now: Instant,
        work: &RequestContext,
        backlog: Backlog,
        limited: &mut Vec<TargetId>,
    ) -> Choice {
        let cold = self.cold_limit(&work.service);
        let engine = self
            .config
            .as_ref()
            .and_then(|config| config.services.get(&work.service))
            .and_then(|service| service.engine.clone());
        let mut paused: Option<Instant> = None;
        let mut eligible: Vec<&TargetState> = Vec::new();
        for state in self.targets.values() {
            if !self.is_eligible(now, state, work, engine.is_some()) {
                continue;
            }
            let until = match self.admissions.admission(now, &state.target, cold) {
                Admission::Open => {
                    eligible.push(state);
                    continue;
                }
                Admission::Leaving => continue,
                Admission::Paused(until) => until,
                Admission::Limited(until) => {
                    limited.push(state.target.id.clone());
                    until
                }
            };
            paused = Some(paused.map_or(until, |first| first.min(until)));
        }
        let healthy: Vec<&TargetState> = eligible
            .iter()
            .filter(|state| state.is_healthy(now) && self.paths.is_open(now, &state.target.domain))
            .copied()
            .collect();
        let usable = match healthy.len() * 2 >= eligible.len() {
            true => healthy,
            false => eligible,
        };
        if usable.is_empty() {
            return paused.map_or(Choice::NoTarget, Choice::Paused);
        }
        let mut best: Option<(f64, &TargetState)> = None;
        for state in usable {
            let cost = match &engine {
                Some(engine) => self.engine_cost(now, state, (engine, backlog), work),
                None => self.plain_cost(now, state),
            };
            let Some(cost) = cost else { continue };
            // Random variation keeps entries that see the same load from all choosing the same target.
            let cost = cost * self.rng.random_range(1.0..1.1);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, state));
            }
        }
        match best {
            Some((_, state)) => Choice::Target(state.target.id.clone()),
            None => Choice::Busy,
        }
    }

    fn is_eligible(
        &self,
        now: Instant,
        state: &TargetState,
        work: &RequestContext,
        engine: bool,
    ) -> bool {
        let target = &state.target;
        if target.service != work.service
            || !state.is_accepting(now)
            || work.tried_targets.contains(&target.id)
            || !self.is_in_allowed_region(target, work)
            || self.is_evacuated(target)
        {
            return false;
        }
        match &work.model {
            Some(model) if engine => {
                let oldest = self.versions.oldest_routable(model, now);
                let current = target.weights.get(model).copied();
                let matches_version =
                    |current| work.weights_version.is_none_or(|wanted| wanted == current);
                current.is_some_and(|current| current >= oldest && matches_version(current))
            }
            _ => !engine || !target.weights.is_empty(),
        }
    }

    /// Returns whether `target` is in a region that may serve a request.
    ///
    /// A target whose failure domain is in no known region only serves requests without such a restriction.
    pub(super) fn is_in_allowed_region(&self, target: &Target, work: &RequestContext) -> bool {
        work.allowed_regions.as_ref().is_none_or(|allowed_regions| {
            let region = self.regions.get(&target.domain);
            region.is_some_and(|region| allowed_regions.contains(region))
        })
    }

    /// Returns the estimated time to the first token plus penalties, in milliseconds, or `None` if there is no room.
    fn engine_cost(
        &self,
        now: Instant,
        state: &TargetState,
        (engine, backlog): (&Engine, Backlog),
        work: &RequestContext,
    ) -> Option<f64> {
        let occupancy = state.occupancy(now, engine);
        let places = match backlog {
            Backlog::Allowed => engine.slots + backlog_places(engine, work),
            Backlog::None => engine.slots,
        };
        let unread = occupancy.unread_prompt_tokens;
        let limit = engine.unread_limit(self.shortest_objective(work), occupancy.slowdown);
        if unread > 0.0 && unread + engine.mean_prompt_tokens > limit {
            return None;
        }
        if occupancy.requests >= f64::from(places) || !self.has_free_place(now, state, places) {
            return None;
        }
        let mut time = engine.time_to_first_token(occupancy, f64::from(work.prompt_tokens));
        if let Some(closes) = state.closes_at(now) {
            let end = now
                + time
                + engine.generation_time(f64::from(work.output_tokens) * OUTPUT_SAFETY_FACTOR);
            if end > closes + CLOSE_TOLERANCE {
                return None;
            }
        }
        // Waiting at an engine beyond the objective makes the answer late and the engine no faster.
        let waits = occupancy.requests >= f64::from(engine.slots);
        if waits && now + time > work.objective_at() {
            return None;
        }
        time += FAILURE_PENALTY.mul_f64(state.health.failure_rate());
        if state.target.domain != self.domain {
            time += CROSS_DOMAIN_PENALTY;
        }
        Some(time.as_secs_f64() * 1000.0)
    }

    /// Returns the priority that the target is given with a request that is sent at `now`.
    pub(super) fn target_priority(&self, now: Instant, work: &RequestContext) -> u8 {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&work.service));
        match (config, service.and_then(|service| service.engine.as_ref())) {
            (Some(config), Some(engine)) => {
                prompt::engine_priority(now, work, engine, config.lowest_rank())
            }
            _ => work.priority,
        }
    }

    /// Returns the shortest objective of the requests that may be placed at the targets of the request's service.
    fn shortest_objective(&self, work: &RequestContext) -> Duration {
        let config = self.config.as_ref();
        let shortest = config.and_then(|config| config.shortest_objective(&work.service));
        shortest.map_or(work.objective, |shortest| shortest.min(work.objective))
    }

    /// Returns whether one of the target's free `places` is for this entry.
    ///
    /// The permits of a rate-limited target already divide it among the entries. A permit that its entry doesn't use
    /// for lack of a share expires, and no other entry gets it.
    fn has_free_place(&self, now: Instant, state: &TargetState, places: u32) -> bool {
        let entries = self.entries.unwrap_or(DEFAULT_ENTRIES_FOR_PLACES);
        if state.has_free_share(now, places, entries) {
            return true;
        }
        let cold = self.cold_limit(&state.target.service);
        self.admissions.limit(now, &state.target, cold).is_some()
    }

    /// Returns the load per slot plus penalties, or `None` if there is no room.
    fn plain_cost(&self, now: Instant, state: &TargetState) -> Option<f64> {
        let load = f64::from(state.request_count(now)) / f64::from(state.slots(now));
        if load >= 1.0 + PLAIN_BACKLOG_SHARE {
            return None;
        }
        let domain_load = match state.target.domain == self.domain {
            true => 0.0,
            false => CROSS_DOMAIN_LOAD,
        };
        let slowdown = state.slowdown(now).max(1.0);
        let slow_load = load * slowdown + SLOWDOWN_LOAD * (slowdown - 1.0);
        Some(0.1 + slow_load + domain_load + state.health.failure_rate())
    }
}

/// Returns the number of requests that may wait at an engine and still be served on time.
fn backlog_places(engine: &Engine, work: &RequestContext) -> u32 {
    let time = work.objective.as_secs_f64() * 1000.0 * BACKLOG_OBJECTIVE_SHARE;
    let fitting = time / engine.completion_interval_ms().max(0.001);
    MAX_ENGINE_BACKLOG.min(fitting as u32)
}

//! Places that less urgent requests leave to more urgent ones under overload.

use std::collections::BTreeSet;
use std::time::Instant;

use super::Scheduler;
use super::choice::Backlog;
use crate::queue::QueueKey;
use crate::request::RequestContext;

/// Occupied share of a service's places below which no request is held back: more urgent ones find a place anyway.
const NEARLY_FULL_SHARE: f64 = 0.75;

impl Scheduler {
    /// Returns whether a waiting request leaves the free places to more urgent ones that may arrive.
    ///
    /// Requests that were sent to a target before are not held back, because callers may have part of their answers.
    pub(super) fn is_held_back(&self, now: Instant, key: QueueKey, work: &RequestContext) -> bool {
        let queue = self.queues.get(&work.service);
        let pressure = queue.and_then(|queue| queue.pressure(&work.allowed_regions));
        work.tried_targets.is_empty()
            && pressure.is_some_and(|pressure| pressure.is_held_back(now, key.order, key.request))
            && self.is_nearly_full(now, work)
    }

    /// Returns whether a request may wait at an engine.
    ///
    /// Engines serve waiting requests by rank, so that less urgent ones at this entry don't matter. While more urgent ones
    /// are rejected, the engines' queues are left to them.
    pub(super) fn backlog(&self, now: Instant, key: QueueKey, work: &RequestContext) -> Backlog {
        let Some(queue) = self.queues.get(&work.service) else {
            return Backlog::Allowed;
        };
        let pressure = queue.pressure(&work.allowed_regions);
        let reserved = pressure.is_some_and(|pressure| pressure.is_urgent_rejected(now, key.order));
        match reserved || queue.has_urgent(key.order) {
            true => Backlog::None,
            false => Backlog::Allowed,
        }
    }

    /// Returns the services of which requests were rejected in the last seconds because their targets were busy.
    pub fn overloaded_services(&self, now: Instant) -> BTreeSet<String> {
        let overloaded = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.is_overloaded(now));
        overloaded.map(|(service, _)| service.clone()).collect()
    }

    /// Returns what a request adds to the cost of its workspace, in tokens of a prompt; a retry adds nothing.
    pub(super) fn cost(&self, work: &RequestContext) -> f64 {
        if !work.tried_targets.is_empty() {
            return 0.0;
        }
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&work.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(1.0, |engine| {
            let token_ms = engine.step_time_ms(f64::from(engine.slots.max(1)))
                / f64::from(engine.slots.max(1));
            let output = f64::from(work.output_tokens) * token_ms * engine.prefill_tokens_per_ms;
            f64::from(work.prompt_tokens) + output
        })
    }

    /// Returns whether most places of the targets that may serve `work` are taken.
    fn is_nearly_full(&self, now: Instant, work: &RequestContext) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&work.service));
        let engine_slots = service.and_then(|service| Some(service.engine.as_ref()?.slots));
        let (mut taken, mut places) = (0.0, 0.0);
        for state in self.targets.values() {
            let target = &state.target;
            if target.service == work.service
                && state.is_accepting(now)
                && !self.is_evacuated(target)
                && self.is_in_allowed_region(target, work)
            {
                let slots = f64::from(engine_slots.unwrap_or(target.slots));
                taken += f64::from(state.request_count(now)).min(slots);
                places += slots;
            }
        }
        taken > places * NEARLY_FULL_SHARE
    }
}

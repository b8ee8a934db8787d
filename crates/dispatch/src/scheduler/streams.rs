//! Streams that are moved to another target or cancelled.

use std::time::{Duration, Instant};

use super::{Decision, PlacedRequest, Scheduler};
use crate::config::RequestKind;
use crate::health::Failure;
use crate::request::RequestId;
use crate::target::TargetState;

/// Time for which a target must have accepted no requests before its streams are moved; short ones end by themselves.
const MOVE_DELAY: Duration = Duration::from_millis(200);
/// Time before the bound of a version at which requests that have not begun on older weights are cancelled, so that
/// their targets learn of it in time.
const BEGIN_MARGIN: Duration = Duration::from_millis(300);
impl Scheduler {
    /// Returns the streams that have not begun and must be cancelled: their targets' weights have become too old to begin
    /// them, or a part of their prompt was quarantined.
    ///
    /// How long a request stays in its target's queue or behind other prompts cannot be predicted. Only streams are
    /// returned, because nothing shows whether an answer that arrives as a whole has begun.
    pub fn unservable_streams(&self, now: Instant) -> Vec<(RequestId, Failure)> {
        let outdated = |placed: &PlacedRequest| {
            let model = placed.work.model.as_ref()?;
            let current = match self.targets.get(&placed.target) {
                Some(state) => state.target.weights.get(model).copied(),
                None => placed.weights,
            };
            Some(current? < self.versions.oldest_allowed(model, now + BEGIN_MARGIN))
        };
        let waiting = |placed: &PlacedRequest| {
            !placed.started && matches!(placed.work.kind, RequestKind::Streaming { .. })
        };
        let failure = |placed: &PlacedRequest| match self.quarantine.check(now, &placed.work.prompt)
        {
            Some(_) => Some(Failure::Quarantined),
            None => outdated(placed)?.then_some(Failure::Outdated),
        };
        let waiting = self.placed.iter().filter(|(_, placed)| waiting(placed));
        waiting
            .filter_map(|(id, placed)| Some((*id, failure(placed)?)))
            .collect()
    }

    /// Moves streams away from targets that wait for them to end before changing their weights.
    ///
    /// While an engine waits for a few long answers, its other slots are idle. A stream is moved only to a target that
    /// has room and the same weights, so the caller notices only a short pause.
    pub(super) fn move_streams(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let is_due = |state: &&TargetState| {
            let since = state.closed_since();
            since.is_some_and(|since| now.saturating_duration_since(since) >= MOVE_DELAY)
        };
        let runs: Vec<(RequestId, u64)> = self
            .targets
            .values()
            .filter(is_due)
            .flat_map(|state| state.running_streams())
            .filter_map(|(request, run)| Some((request, run.version?)))
            .collect();
        for (request, version) in runs {
            let Some(placed) = self.placed.get(&request) else {
                continue;
            };
            let mut work = placed.work.clone();
            work.weights_version = Some(version);
            work.output_tokens /= 2;
            let Some(place) = self.place_concurrent(now, work) else {
                continue;
            };
            if let Some(placed) = self.placed.get_mut(&request) {
                placed.work.attempts_left = 0;
            }
            decisions.push(Decision::Move { request, place });
        }
    }
}

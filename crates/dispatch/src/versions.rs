//! Versions of weights that operators named, and until when older ones may serve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time before the bound at which requests stop going to targets with older weights: a request that waits in the
/// target's own queue begins later than it is sent.
const MARGIN: Duration = Duration::from_millis(800);

/// The newest named version of each model and the times at which versions were named.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Time in which a named version must have replaced all older ones.
    bound: Duration,
    named: BTreeMap<String, Vec<(u64, Instant)>>,
}

impl Versions {
    /// Returns an empty record; older weights may serve for `bound` after a newer version was named.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            named: BTreeMap::new(),
        }
    }

    /// Takes `version` of `model` as named at `now`, and returns whether it is newer than those known.
    pub fn name(&mut self, now: Instant, model: &str, version: u64) -> bool {
        let named = self.named.entry(model.into()).or_default();
        if named.last().is_some_and(|(newest, _)| *newest >= version) {
            return false;
        }
        // An expired bound is implied by that of the last expired version.
        while named.len() > 1 && named[1].1 + self.bound <= now {
            named.remove(0);
        }
        named.push((version, now));
        true
    }

    /// Returns the newest version of `model`.
    pub fn newest(&self, model: &str) -> Option<u64> {
        self.named.get(model)?.last().map(|(version, _)| *version)
    }

    /// Returns the oldest version of `model` that may begin a request at `now`; 0 while any may.
    pub fn oldest(&self, model: &str, now: Instant) -> u64 {
        let Some(named) = self.named.get(model) else {
            return 0;
        };
        let due = |at: Instant| now + MARGIN >= at + self.bound;
        let due = named.iter().rev().find(|(_, at)| due(*at));
        due.map_or(0, |(version, _)| *version)
    }
}

//! Registrations of targets, and their validity after a store outage.
//!
//! The store removes the registration of a target that does not renew it, even if the store itself was unreachable. A
//! live target registers again soon after an outage. Until then, a missing registration does not show that the target
//! is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after a store outage within which live targets have registered again.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Minimum duration of a store outage during which registrations may have expired.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);

/// Ids of the registered targets, and of those whose registration is missing.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    present: BTreeSet<String>,
    missing: BTreeMap<String, Instant>,
    /// When the store began to fail, if it is failing now.
    failing_since: Option<Instant>,
    /// When the last outage of the store ended.
    recovered_at: Option<Instant>,
}

/// The effect of the removal of a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The target is gone.
    Gone,
    /// The target may register again until the given time.
    Missing(Instant),
}

impl Registrations {
    /// Records a call to the store that failed at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records a call to the store that succeeded at `now`.
    pub fn record_success(&mut self, now: Instant) {
        if let Some(since) = self.failing_since.take()
            && now.saturating_duration_since(since) >= MIN_OUTAGE
        {
            self.recovered_at = Some(now);
        }
    }

    /// Records a registration, and returns whether the target is new.
    pub fn insert(&mut self, id: &str) -> bool {
        self.missing.remove(id);
        !self.present.contains(id) && self.present.insert(id.into())
    }

    /// Records the removal of a registration, and returns its effect.
    pub fn remove(&mut self, now: Instant, id: &str) -> Removal {
        let until = self
            .recovered_at
            .map(|recovered_at| recovered_at + REREGISTRATION_TIME);
        match until.filter(|until| now < *until) {
            Some(until) if self.present.contains(id) => {
                self.missing.insert(id.into(), until);
                Removal::Missing(until)
            }
            _ => {
                self.present.remove(id);
                Removal::Gone
            }
        }
    }

    /// Returns the ids of registered targets that are not in `listed`.
    pub fn unlisted(&self, listed: &BTreeSet<&str>) -> Vec<String> {
        let unlisted = |id: &&String| !listed.contains(id.as_str());
        self.present.iter().filter(unlisted).cloned().collect()
    }

    /// Removes and returns the targets that did not register again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let due = |(_, until): &(&String, &Instant)| **until <= now;
        let gone: Vec<String> = self
            .missing
            .iter()
            .filter(due)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.missing.remove(id);
            self.present.remove(id);
        }
        gone
    }
}

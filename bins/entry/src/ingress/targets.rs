//! Which registrations of targets hold, when the store may have lost some of them.
//!
//! The store removes the registration of a target that was silent, also while the store itself could not be reached. A
//! target that lives registers again soon after the store is back. Until then a missing registration says nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after the store's return in which targets that live have registered again.
const REGISTERED_AGAIN: Duration = Duration::from_secs(2);
/// Time without an answer of the store from which registrations may have lapsed meanwhile.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Ids of the registered targets, and of those whose registration is missing.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    present: BTreeSet<String>,
    missing: BTreeMap<String, Instant>,
    /// When the store began to fail, while it does.
    failing: Option<Instant>,
    back: Option<Instant>,
}

/// What became of a missing registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The target is gone.
    Gone,
    /// The target may be registered again until the given time.
    Missing(Instant),
}

impl Registry {
    /// Notes a call of the store that failed at `now`.
    pub fn failed(&mut self, now: Instant) {
        self.failing.get_or_insert(now);
    }

    /// Notes a call of the store that was answered at `now`.
    pub fn answered(&mut self, now: Instant) {
        if let Some(since) = self.failing.take()
            && now.saturating_duration_since(since) >= OUTAGE
        {
            self.back = Some(now);
        }
    }

    /// Notes a registration, and returns whether the target is new.
    pub fn put(&mut self, id: &str) -> bool {
        self.missing.remove(id);
        !self.present.contains(id) && self.present.insert(id.into())
    }

    /// Notes that a registration was removed, and returns what that says.
    pub fn remove(&mut self, now: Instant, id: &str) -> Change {
        let until = self.back.map(|back| back + REGISTERED_AGAIN);
        match until.filter(|until| now < *until) {
            Some(until) if self.present.contains(id) => {
                self.missing.insert(id.into(), until);
                Change::Missing(until)
            }
            _ => {
                self.present.remove(id);
                Change::Gone
            }
        }
    }

    /// Returns the ids that are registered but not among `listed`.
    pub fn unlisted(&self, listed: &BTreeSet<&str>) -> Vec<String> {
        let unlisted = |id: &&String| !listed.contains(id.as_str());
        self.present.iter().filter(unlisted).cloned().collect()
    }

    /// Returns the targets that are gone because they did not register again.
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

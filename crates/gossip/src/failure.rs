//! Failure detection by the time since the last contact with a member.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Silence after which a member is suspect and gets no new work.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Silence after which a member is declared down.
const DOWN_AFTER: Duration = Duration::from_secs(5);

/// Assessment of a member by its silence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Contacted within the last 2 s.
    Alive,
    /// Silent for 2 s; gets no new work.
    Suspect,
    /// Silent for 5 s; to be declared down.
    Down,
}

/// Declares members down by the time since the last contact with them.
///
/// A pause of the observing process must not count as silence of the members. [`FailureDetector::take_down_members`]
/// must therefore be called about once a second, and a gap of more than 2 s between two calls counts as 2 s.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut detector = gossip::FailureDetector::default();
/// detector.record_contact("vm-1", start);
/// for second in 1..5 {
///     assert!(detector.take_down_members(start + Duration::from_secs(second)).is_empty());
/// }
/// assert_eq!(detector.take_down_members(start + Duration::from_secs(5)), ["vm-1"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    last_contact: BTreeMap<String, Instant>,
    expected: BTreeSet<String>,
    last_check: Option<Instant>,
}

impl FailureDetector {
    /// Records a contact with a member.
    pub fn record_contact(&mut self, name: &str, now: Instant) {
        match self.last_contact.get_mut(name) {
            Some(time) => *time = now,
            None => {
                self.last_contact.insert(name.into(), now);
            }
        }
    }

    /// Records that a member didn't answer; its silence starts now unless it is watched already.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        self.last_contact.entry(name.into()).or_insert(now);
    }

    /// Sets the members that are expected to report.
    ///
    /// The silence of a member that was not expected before starts now, regardless of its last contact, because until
    /// now it had no reason to report.
    pub fn set_expected<'a>(&mut self, names: impl IntoIterator<Item = &'a str>, now: Instant) {
        let expected: BTreeSet<String> = names.into_iter().map(String::from).collect();
        for name in expected.difference(&self.expected) {
            self.last_contact.insert(name.clone(), now);
        }
        self.expected = expected;
    }

    /// Returns whether a member is expected to report.
    pub fn is_expected(&self, name: &str) -> bool {
        self.expected.contains(name)
    }

    /// Stops watching a member, such as one that now reports to other entries.
    pub fn unwatch(&mut self, name: &str) {
        self.last_contact.remove(name);
    }

    /// Returns the members that are watched.
    pub fn watched(&self) -> impl Iterator<Item = &str> {
        self.last_contact.keys().map(String::as_str)
    }

    /// Returns the liveness of a member; a member that isn't watched counts as alive.
    pub fn liveness(&self, name: &str, now: Instant) -> Liveness {
        let silence = self
            .last_contact
            .get(name)
            .map(|time| now.saturating_duration_since(*time));
        match silence.unwrap_or_default() {
            silence if silence >= DOWN_AFTER => Liveness::Down,
            silence if silence >= SUSPECT_AFTER => Liveness::Suspect,
            _ => Liveness::Alive,
        }
    }

    /// Returns the members that have been silent for 5 s and stops watching them.
    pub fn take_down_members(&mut self, now: Instant) -> Vec<String> {
        let gap = self
            .last_check
            .map_or(Duration::ZERO, |time| now.saturating_duration_since(time));
        self.last_check = Some(now);
        let pause = gap.saturating_sub(SUSPECT_AFTER);
        if !pause.is_zero() {
            for time in self.last_contact.values_mut() {
                *time = (*time + pause).min(now);
            }
        }
        let down = self
            .watched()
            .filter(|name| self.liveness(name, now) == Liveness::Down);
        let down: Vec<String> = down.map(String::from).collect();
        for name in &down {
            self.last_contact.remove(name);
        }
        down
    }
}

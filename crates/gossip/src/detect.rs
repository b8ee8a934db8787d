//! Detection of members that are no longer heard from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Silence after which a member gets no new work.
const SUSPECT: Duration = Duration::from_secs(2);

/// Silence after which a member is declared down.
const DOWN: Duration = Duration::from_secs(5);

/// What the silence of a member means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// Heard from within 2 s.
    Alive,
    /// Silent for 2 s: no new work.
    Suspect,
    /// Silent for 5 s.
    Down,
}

/// Times at which members were heard from.
///
/// A pause of the observing process is no silence of the members: [`Detector::silent`] must be called about once a
/// second, and a longer gap between two calls counts as one second.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut detector = gossip::Detector::default();
/// detector.heard("vm-1", start);
/// for second in 1..5 {
///     assert!(detector.silent(start + Duration::from_secs(second)).is_empty());
/// }
/// assert_eq!(detector.silent(start + Duration::from_secs(5)), ["vm-1"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Detector {
    heard: BTreeMap<String, Instant>,
    due: BTreeSet<String>,
    checked: Option<Instant>,
}

impl Detector {
    /// Notes that a member was heard from.
    pub fn heard(&mut self, name: &str, now: Instant) {
        match self.heard.get_mut(name) {
            Some(time) => *time = now,
            None => {
                self.heard.insert(name.into(), now);
            }
        }
    }

    /// Notes that a member didn't answer; its silence starts now unless it had started before.
    pub fn failed(&mut self, name: &str, now: Instant) {
        self.heard.entry(name.into()).or_insert(now);
    }

    /// Sets the members that are due to be heard from.
    ///
    /// The silence of a member that was not due before starts now, whenever it was heard from last: until then it had
    /// no reason to speak.
    pub fn expect<'a>(&mut self, names: impl IntoIterator<Item = &'a str>, now: Instant) {
        let due: BTreeSet<String> = names.into_iter().map(String::from).collect();
        for name in due.difference(&self.due) {
            self.heard.insert(name.clone(), now);
        }
        self.due = due;
    }

    /// Tells whether a member is due to be heard from.
    pub fn is_due(&self, name: &str) -> bool {
        self.due.contains(name)
    }

    /// Stops watching a member, such as one that reports elsewhere now.
    pub fn forget(&mut self, name: &str) {
        self.heard.remove(name);
    }

    /// Returns the members that are watched.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.heard.keys().map(String::as_str)
    }

    /// Returns what the silence of a member means; a member that isn't watched counts as alive.
    pub fn sign(&self, name: &str, now: Instant) -> Sign {
        let silence = self
            .heard
            .get(name)
            .map(|time| now.saturating_duration_since(*time));
        match silence.unwrap_or_default() {
            silence if silence >= DOWN => Sign::Down,
            silence if silence >= SUSPECT => Sign::Suspect,
            _ => Sign::Alive,
        }
    }

    /// Returns the members that have been silent for 5 s and stops watching them.
    pub fn silent(&mut self, now: Instant) -> Vec<String> {
        let gap = self
            .checked
            .map_or(Duration::ZERO, |time| now.saturating_duration_since(time));
        self.checked = Some(now);
        let pause = gap.saturating_sub(SUSPECT);
        if !pause.is_zero() {
            for time in self.heard.values_mut() {
                *time = (*time + pause).min(now);
            }
        }
        let down = self
            .names()
            .filter(|name| self.sign(name, now) == Sign::Down);
        let down: Vec<String> = down.map(String::from).collect();
        for name in &down {
            self.heard.remove(name);
        }
        down
    }
}

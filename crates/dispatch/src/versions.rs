//! Versions of weights that operators require, and until when older versions may serve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time before the bound at which targets with older weights stop getting requests. A request in the queue of an
/// overloaded target may begin more than a second after it was sent.
const ROUTING_MARGIN: Duration = Duration::from_millis(1500);

/// The versions that operators require of each model, and since when.
///
/// An entry that starts finds versions that have been required for some time. Until another process reports the age of
/// such a version, its bound counts as passed; if the entry took it for new, older weights would serve past the bound.
#[derive(Clone, Debug, Default)]
pub struct RequiredVersions {
    /// Time within which a newly required version must replace all older ones.
    bound: Duration,
    required: BTreeMap<String, BTreeMap<u64, RequiredSince>>,
}

/// Since when a version has been required.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequiredSince {
    /// An unknown time before this process learned of the version.
    Unknown,
    /// This time or earlier.
    At(Instant),
}

impl RequiredVersions {
    /// Returns an empty record. Older weights may serve for `bound` after a newer version is required.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            required: BTreeMap::new(),
        }
    }

    /// Adds `version` of `model`, required since `now`; returns whether it is newer than the known versions.
    pub fn require(&mut self, now: Instant, model: &str, version: u64) -> bool {
        self.insert(model, version, RequiredSince::At(now))
    }

    /// Adds `version` of `model`, required since an unknown time; returns whether it is newer than the known versions.
    pub fn add_undated(&mut self, model: &str, version: u64) -> bool {
        self.insert(model, version, RequiredSince::Unknown)
    }

    /// Adds `version` of `model`, required for `age` as reported by another process; returns whether it was unknown.
    ///
    /// The version may be older than the known ones: an entry that starts finds only the newest version, but the
    /// previous one decides which targets may serve until the newest one is due. It may also be the first: this process
    /// may be cut off from the store.
    pub fn add_with_age(&mut self, now: Instant, model: &str, version: u64, age: Duration) -> bool {
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let versions = self.required.entry(model.into()).or_default();
        let added = !versions.contains_key(&version);
        let required = versions.entry(version).or_insert(RequiredSince::At(at));
        *required = match *required {
            RequiredSince::Unknown => RequiredSince::At(at),
            RequiredSince::At(earliest) => RequiredSince::At(earliest.min(at)),
        };
        added
    }

    /// Returns the versions of each model that may begin requests now or later, the oldest first, with the time for
    /// which each has been required, if known.
    pub fn in_force(&self, now: Instant) -> impl Iterator<Item = (&str, u64, Option<Duration>)> {
        self.required.iter().flat_map(move |(model, required)| {
            let newer = required.range(self.oldest_routable(model, now)..);
            newer.map(move |(version, required)| {
                let age = match *required {
                    RequiredSince::Unknown => None,
                    RequiredSince::At(at) => Some(now.saturating_duration_since(at)),
                };
                (model.as_str(), *version, age)
            })
        })
    }

    /// Returns the newest known version of `model`.
    pub fn newest(&self, model: &str) -> Option<u64> {
        let (version, _) = self.required.get(model)?.last_key_value()?;
        Some(*version)
    }

    /// Returns the oldest version of `model` whose targets may be sent a request at `now`, or 0 if any version may.
    pub fn oldest_routable(&self, model: &str, now: Instant) -> u64 {
        self.oldest_allowed(model, now + ROUTING_MARGIN)
    }

    /// Returns the oldest version of `model` that may begin a request at `now`, or 0 if any version may. It is the
    /// newest one whose bound has passed.
    pub fn oldest_allowed(&self, model: &str, now: Instant) -> u64 {
        let Some(required) = self.required.get(model) else {
            return 0;
        };
        let due = |required: &RequiredSince| match *required {
            RequiredSince::Unknown => true,
            RequiredSince::At(at) => now >= at + self.bound,
        };
        let due = required.iter().rev().find(|(_, required)| due(required));
        due.map_or(0, |(version, _)| *version)
    }

    fn insert(&mut self, model: &str, version: u64, required: RequiredSince) -> bool {
        let newest = self.newest(model);
        if newest.is_some_and(|newest| newest >= version) {
            return false;
        }
        self.required
            .entry(model.into())
            .or_default()
            .insert(version, required);
        true
    }
}

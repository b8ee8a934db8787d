//! Versions of weights that operators named, and until when older ones may serve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time before the bound at which requests stop going to targets with older weights: a request that waits in the queue of
/// an overloaded target begins more than a second after it is sent.
const ROUTING_MARGIN: Duration = Duration::from_millis(1500);

/// The versions that operators named for each model, and for how long they have been named.
///
/// An entry that starts finds versions that were named before. Until somebody tells how old such a version is, it
/// counts as due: an entry that took it for new would let older weights serve past the bound.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Time in which a named version must have replaced all older ones.
    bound: Duration,
    named: BTreeMap<String, BTreeMap<u64, RequiredSince>>,
}

/// When a version was named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequiredSince {
    /// Before this process knew of it.
    Unknown,
    /// At this time or earlier.
    At(Instant),
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
        self.insert(model, version, RequiredSince::At(now))
    }

    /// Takes `version` of `model`, which was named at an unknown time, and returns whether it is newer than those known.
    pub fn find(&mut self, model: &str, version: u64) -> bool {
        self.insert(model, version, RequiredSince::Unknown)
    }

    /// Takes what another process saw: that `version` of `model` was named `age` before `now`.
    ///
    /// It may be older than those known: an entry that starts finds only the newest one, but the one before decides which
    /// targets may serve until the newest one is due. It may also be the first one: this process may hear nothing of the
    /// store. Returns whether the version was unknown.
    pub fn aged(&mut self, now: Instant, model: &str, version: u64, age: Duration) -> bool {
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let versions = self.named.entry(model.into()).or_default();
        let added = !versions.contains_key(&version);
        let named = versions.entry(version).or_insert(RequiredSince::At(at));
        *named = match *named {
            RequiredSince::Unknown => RequiredSince::At(at),
            RequiredSince::At(earliest) => RequiredSince::At(earliest.min(at)),
        };
        added
    }

    /// Returns the versions of each model that may begin requests now or later, the oldest first, and the time since each
    /// was named as far as that is known.
    pub fn in_force(&self, now: Instant) -> impl Iterator<Item = (&str, u64, Option<Duration>)> {
        self.named.iter().flat_map(move |(model, named)| {
            let newer = named.range(self.oldest(model, now)..);
            newer.map(move |(version, named)| {
                let age = match *named {
                    RequiredSince::Unknown => None,
                    RequiredSince::At(at) => Some(now.saturating_duration_since(at)),
                };
                (model.as_str(), *version, age)
            })
        })
    }

    /// Returns the newest version of `model`.
    pub fn newest(&self, model: &str) -> Option<u64> {
        let (version, _) = self.named.get(model)?.last_key_value()?;
        Some(*version)
    }

    /// Returns the oldest version of `model` whose targets may be sent a request at `now`; 0 while any may.
    pub fn oldest(&self, model: &str, now: Instant) -> u64 {
        self.due(model, now + ROUTING_MARGIN)
    }

    /// Returns the newest version of `model` whose bound has passed at `now`: an older one may not begin a request; 0
    /// while any may.
    pub fn due(&self, model: &str, now: Instant) -> u64 {
        let Some(named) = self.named.get(model) else {
            return 0;
        };
        let due = |named: &RequiredSince| match *named {
            RequiredSince::Unknown => true,
            RequiredSince::At(at) => now >= at + self.bound,
        };
        let due = named.iter().rev().find(|(_, named)| due(named));
        due.map_or(0, |(version, _)| *version)
    }

    fn insert(&mut self, model: &str, version: u64, named: RequiredSince) -> bool {
        let newest = self.newest(model);
        if newest.is_some_and(|newest| newest >= version) {
            return false;
        }
        self.named
            .entry(model.into())
            .or_default()
            .insert(version, named);
        true
    }
}

//! Decides when an engine loads which version of its weights.
//!
//! Every engine must serve a named version within a bound, and an engine serves nothing while it loads. The [`Rollout`]
//! of each agent therefore schedules its engine's load within the bound, at a [`Position`] in an order that all agents
//! compute alike from the ids of the live targets, without communication. A [`ManifestSearch`] decides whom to ask for
//! a version's manifest. [`Settling`] decides when a lost request can no longer take effect. [`Subscribers`] tracks
//! which entries receive the engine's load, and when.

mod position;
mod search;
mod settling;
mod subscribers;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

pub use position::Position;
pub use search::{ManifestSearch, SearchRound};
pub use settling::Settling;
pub use subscribers::{LoadChange, Subscribers};

/// Fraction of the bound at which the last engine loads; the rest is reserved for an order that must be repeated.
const LAST_LOAD: f64 = 0.9;
/// Fraction of the bound in which the chunks of a version are expected to arrive while no better estimate is known.
const EXPECTED_TRANSFER: f64 = 0.5;
/// Fraction of the bound that must be left for the loads if an older version is skipped in favor of a newer one.
const LOAD_WINDOW: f64 = 0.15;
/// Time after which an order is considered lost if the engine shows no effect of it.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of a version, assigned by operators.
pub type VersionNumber = u64;

/// State of the versions of one model that one engine is to load.
#[derive(Clone, Debug)]
pub struct Rollout {
    bound: Duration,
    /// Time in which the chunks of a version are expected to arrive.
    expected: Duration,
    /// Fraction of the chunks of the wanted version that are missing.
    missing: f64,
    position: Position,
    named: Vec<Named>,
    /// Versions whose chunks are all held, and since when.
    complete: BTreeMap<VersionNumber, Instant>,
    held: Option<VersionNumber>,
    busy: bool,
    ordered: Option<(VersionNumber, Instant)>,
}

/// A version that operators named.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: VersionNumber,
    at: Instant,
    /// Whether this process observed the naming. Otherwise the version was named earlier, and `at` is set so that it is
    /// due already.
    seen: bool,
}

/// What the agent must do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Wait for an event or until the given time.
    Wait(Option<Instant>),
    /// Stage the version and order the engine to load it.
    Load(VersionNumber),
}

impl Rollout {
    /// Returns a rollout without versions; an engine must serve a version within `bound` after it was named.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            expected: bound.mul_f64(EXPECTED_TRANSFER),
            missing: 1.0,
            position: Position::default(),
            named: Vec::new(),
            complete: BTreeMap::new(),
            held: None,
            busy: false,
            ordered: None,
        }
    }

    /// Sets the time in which the chunks of a version are expected to arrive.
    pub fn set_expected_transfer_time(&mut self, time: Duration) {
        self.expected = time;
    }

    /// Sets the fraction of the chunks of the wanted version that are missing, from 0 to 1.
    pub fn set_missing_fraction(&mut self, share: f64) {
        self.missing = share.clamp(0.0, 1.0);
    }

    /// Returns whether chunks of the wanted version are missing.
    pub fn has_missing_chunks(&self) -> bool {
        self.missing > 0.0
    }

    /// Sets the engine's position in the order in which engines load.
    pub fn set_position(&mut self, position: Position) {
        self.position = position;
    }

    /// Returns the engine's position in that order.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Adds a version named at `named_at` or earlier and returns whether it is newer than all known ones.
    ///
    /// If the version was added without a time before, this sets its time. Of several times the earliest one counts: a
    /// process that learns of a version late takes it for newer than it is.
    pub fn require_version(&mut self, named_at: Instant, version: VersionNumber) -> bool {
        let mut known = self.named.iter_mut();
        if let Some(known) = known.find(|named| named.version == version) {
            known.at = match known.seen {
                true => known.at.min(named_at),
                false => named_at,
            };
            known.seen = true;
        }
        self.insert(Named {
            version,
            at: named_at,
            seen: true,
        })
    }

    /// Adds a version named at an unknown time before `now` and returns whether it is newer than all known ones.
    ///
    /// It counts as due: the engine loads it as soon as it can.
    pub fn add_undated_version(&mut self, now: Instant, version: VersionNumber) -> bool {
        self.insert(Named {
            version,
            at: now.checked_sub(self.bound).unwrap_or(now),
            seen: false,
        })
    }

    /// Returns the newest named version.
    pub fn newest(&self) -> Option<VersionNumber> {
        self.named.last().map(|named| named.version)
    }

    /// Returns the versions, from the one that the engine serves, whose naming this process observed, with the time
    /// since then.
    pub fn observed_versions(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (VersionNumber, Duration)> {
        self.named
            .iter()
            .filter(|named| named.seen)
            .map(move |named| (named.version, now.saturating_duration_since(named.at)))
    }

    /// Returns when `version` was named, if this process observed it or another process told it.
    pub fn named_at(&self, version: VersionNumber) -> Option<Instant> {
        let mut seen = self.named.iter().filter(|named| named.seen);
        seen.find(|named| named.version == version)
            .map(|named| named.at)
    }

    /// Returns the version whose chunks must be fetched now, or `None` when no named version is missing.
    ///
    /// This is the newest version whose chunks can arrive before the oldest version that isn't held is due. A newer
    /// version that would arrive too late waits, and the engine loads the older one first. Once the older one is itself
    /// overdue, fetching it first gains nothing.
    pub fn wanted(&self, now: Instant) -> Option<VersionNumber> {
        let held = self
            .held
            .max(self.complete.last_key_value().map(|(version, _)| *version));
        let missing = self
            .named
            .iter()
            .filter(|named| held.is_none_or(|held| held < named.version));
        let oldest = missing.clone().next()?.at;
        let due = oldest + self.bound.mul_f64(LAST_LOAD - LOAD_WINDOW);
        let in_time = |at: Instant| at + self.expected <= due || due <= now;
        let newest = missing
            .rev()
            .find(|named| named.at == oldest || in_time(named.at));
        newest.map(|named| named.version)
    }

    /// Records that all chunks of `version` are held and verified since `now`.
    pub fn chunks_complete(&mut self, now: Instant, version: VersionNumber) {
        self.complete.entry(version).or_insert(now);
        while self.complete.len() > 2 {
            self.complete.pop_first();
        }
    }

    /// Handles the engine's state: the version that it serves and whether an order is in progress.
    pub fn engine_observed(&mut self, held: Option<VersionNumber>, busy: bool) {
        self.held = held;
        self.busy = busy;
        if let Some(held) = held {
            self.named.retain(|named| named.version >= held);
        }
        if self
            .ordered
            .is_some_and(|(version, _)| held == Some(version))
        {
            self.ordered = None;
        }
    }

    /// Records that the order to load `version` was sent.
    pub fn order_sent(&mut self, now: Instant, version: VersionNumber) {
        self.ordered = Some((version, now));
    }

    /// Records that the engine refused the order or lost it.
    pub fn order_failed(&mut self) {
        self.ordered = None;
    }

    /// Returns whether the engine is loading or about to load, and must not get new requests.
    pub fn is_switching(&self) -> bool {
        self.busy || self.ordered.is_some()
    }

    /// Returns the next step at `now`.
    pub fn next_step(&self, now: Instant) -> Step {
        if self.busy {
            return Step::Wait(None);
        }
        if let Some((_, at)) = self.ordered
            && now < at + ORDER_TIMEOUT
        {
            return Step::Wait(Some(at + ORDER_TIMEOUT));
        }
        let Some((version, since)) = self.loadable() else {
            return Step::Wait(None);
        };
        match self.load_time(since) {
            Some(load_time) if self.held.is_some() && now < load_time => {
                Step::Wait(Some(load_time))
            }
            _ => Step::Load(version),
        }
    }

    /// Returns the time at which the engine is expected to stop serving for a load, if one is pending.
    pub fn closes_at(&self, now: Instant) -> Option<Instant> {
        if self.is_switching() {
            return Some(now);
        }
        self.held?;
        // Chunks that arrive late postpone the load; an engine that stopped accepting work before would be idle.
        let expected = now + self.expected.mul_f64(self.missing);
        let since = self.loadable().map_or(expected, |(_, since)| since);
        self.load_time(since).map(|load_time| load_time.max(now))
    }

    /// Inserts a version unless it is known or older than the held one.
    ///
    /// Returns whether it is newer than all known ones.
    fn insert(&mut self, named: Named) -> bool {
        let newer = self.newest().is_none_or(|newest| newest < named.version);
        let place = self
            .named
            .partition_point(|known| known.version < named.version);
        let known = self.named.get(place);
        let counts = self.held.is_none_or(|held| held <= named.version);
        if counts && known.is_none_or(|known| known.version != named.version) {
            self.named.insert(place, named);
        }
        newer
    }

    /// Returns the newest version that the engine could load, and since when.
    fn loadable(&self) -> Option<(VersionNumber, Instant)> {
        let (version, since) = self.complete.last_key_value()?;
        let newer = self.held.is_none_or(|held| held < *version);
        newer.then_some((*version, *since))
    }

    /// Returns the oldest named version that the engine doesn't serve yet.
    fn due(&self) -> Option<&Named> {
        self.named
            .iter()
            .find(|named| self.held.is_none_or(|held| held < named.version))
    }

    /// Returns when the engine should load a version that has been loadable since `since`.
    ///
    /// The loads of all engines are spread over the rest of the bound.
    fn load_time(&self, since: Instant) -> Option<Instant> {
        let last = self.due()?.at + self.bound.mul_f64(LAST_LOAD);
        let window = last.saturating_duration_since(since);
        Some(since + window.mul_f64(self.position.fraction()))
    }
}

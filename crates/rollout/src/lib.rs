//! Decides when an engine loads which version of its weights.
//!
//! Every engine must serve a named version within a bound, and an engine that loads serves nothing. The [`Rollout`] of
//! each agent therefore gives its engine a turn within the bound, at a place in an order that all agents compute alike
//! from the ids of the live targets, without asking each other. An [`Subscribers`] decides which entries are told the engine's
//! load, and when.

mod position;
mod search;
mod subscribers;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

pub use position::Position;
pub use search::{ManifestSearch, SearchRound};
pub use subscribers::{LoadChange, Subscribers};

/// Share of the bound at which the last turn comes; what remains is for an order that has to be repeated.
const LAST_TURN: f64 = 0.9;
/// Share of the bound in which the parts of a version arrive while no better estimate is known.
const EXPECTED: f64 = 0.5;
/// Share of the bound that must be left for the turns, if an older version is to be passed over for a newer one.
const TURNS: f64 = 0.15;
/// Time from an order until it is taken for lost when the engine shows nothing of it.
const ORDER_TIME: Duration = Duration::from_millis(700);

/// Number of a version, as operators count them.
pub type VersionNumber = u64;

/// Versions of one model on their way into one engine.
#[derive(Clone, Debug)]
pub struct Rollout {
    bound: Duration,
    /// Time in which the parts of a version are expected to arrive.
    expected: Duration,
    /// Share of the parts of the wanted version that are missing.
    missing: f64,
    place: Position,
    named: Vec<Named>,
    /// Versions whose parts are all there, and since when.
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
    /// Whether this process saw it named; otherwise it was named before, and `at` is a time at which it was due.
    seen: bool,
}

/// What the agent should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing, until an event or the given time.
    Wait(Option<Instant>),
    /// Stage the version and order the engine to load it.
    Load(VersionNumber),
}

impl Rollout {
    /// Returns a rollout without versions; an engine has `bound` after a version was named to serve it.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            expected: bound.mul_f64(EXPECTED),
            missing: 1.0,
            place: Position::default(),
            named: Vec::new(),
            complete: BTreeMap::new(),
            held: None,
            busy: false,
            ordered: None,
        }
    }

    /// Sets the time in which the parts of a version are expected to arrive.
    pub fn set_expected_transfer_time(&mut self, time: Duration) {
        self.expected = time;
    }

    /// Sets the share of the parts of the wanted version that are missing, from 0 to 1.
    pub fn set_missing_fraction(&mut self, share: f64) {
        self.missing = share.clamp(0.0, 1.0);
    }

    /// Tells whether parts of the wanted version are missing.
    pub fn has_missing_chunks(&self) -> bool {
        self.missing > 0.0
    }

    /// Sets the engine's place among those that load one after the other.
    pub fn set_position(&mut self, place: Position) {
        self.place = place;
    }

    /// Returns the engine's place.
    pub fn position(&self) -> Position {
        self.place
    }

    /// Takes a version as named at `now`, and returns whether it is newer than those known.
    ///
    /// Of a version that was found before, this tells the time.
    pub fn require_version(&mut self, now: Instant, version: VersionNumber) -> bool {
        let mut unseen = self.named.iter_mut().filter(|named| !named.seen);
        if let Some(found) = unseen.find(|named| named.version == version) {
            found.at = now;
            found.seen = true;
        }
        self.insert(Named {
            version,
            at: now,
            seen: true,
        })
    }

    /// Takes a version that was named at an unknown time before `now`, and returns whether it is newer than those known.
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

    /// Returns the versions from the engine's own on whose time this process knows, and the time since each was named.
    pub fn observed_versions(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (VersionNumber, Duration)> {
        self.named
            .iter()
            .filter(|named| named.seen)
            .map(move |named| (named.version, now.saturating_duration_since(named.at)))
    }

    /// Returns the version whose parts are to be got now; `None` when no named one is missing.
    ///
    /// That is the newest one whose parts can be there before the oldest one that the engine doesn't serve is due. A
    /// newer one that would come too late waits: the engine loads the older one first. Once the older one is late itself,
    /// nothing is won by it.
    pub fn wanted(&self, now: Instant) -> Option<VersionNumber> {
        let got = self
            .held
            .max(self.complete.last_key_value().map(|(version, _)| *version));
        let missing = self
            .named
            .iter()
            .filter(|named| got.is_none_or(|got| got < named.version));
        let oldest = missing.clone().next()?.at;
        let due = oldest + self.bound.mul_f64(LAST_TURN - TURNS);
        let in_time = |at: Instant| at + self.expected <= due || due <= now;
        let newest = missing
            .rev()
            .find(|named| named.at == oldest || in_time(named.at));
        newest.map(|named| named.version)
    }

    /// Notes that every part of `version` is held and verified at `now`.
    pub fn chunks_complete(&mut self, now: Instant, version: VersionNumber) {
        self.complete.entry(version).or_insert(now);
        while self.complete.len() > 2 {
            self.complete.pop_first();
        }
    }

    /// Takes the engine's state: the version that it serves, and whether an order is in progress.
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

    /// Notes that the order to load `version` was given.
    pub fn order_sent(&mut self, now: Instant, version: VersionNumber) {
        self.ordered = Some((version, now));
    }

    /// Notes that the engine refused the order or lost it.
    pub fn order_failed(&mut self) {
        self.ordered = None;
    }

    /// Tells whether the engine is about to load or loads, and should get no new requests.
    pub fn is_switching(&self) -> bool {
        self.busy || self.ordered.is_some()
    }

    /// Returns what to do at `now`.
    pub fn next_step(&self, now: Instant) -> Step {
        if self.busy {
            return Step::Wait(None);
        }
        if let Some((_, at)) = self.ordered
            && now < at + ORDER_TIME
        {
            return Step::Wait(Some(at + ORDER_TIME));
        }
        let Some((version, since)) = self.loadable() else {
            return Step::Wait(None);
        };
        match self.turn(since) {
            Some(turn) if self.held.is_some() && now < turn => Step::Wait(Some(turn)),
            _ => Step::Load(version),
        }
    }

    /// Returns the time from which the engine is expected to serve nothing for a while, if a load lies ahead.
    pub fn closes_at(&self, now: Instant) -> Option<Instant> {
        if self.is_switching() {
            return Some(now);
        }
        self.held?;
        // Parts that come later than usual postpone the load; an engine that stopped to take work before would idle.
        let expected = now + self.expected.mul_f64(self.missing);
        let since = self.loadable().map_or(expected, |(_, since)| since);
        self.turn(since).map(|turn| turn.max(now))
    }

    /// Inserts a version that isn't known, and returns whether it is the newest one.
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

    /// Returns the time of the engine's turn when it can load since `since`.
    ///
    /// The turns of all engines are spread over the time that is left of the bound.
    fn turn(&self, since: Instant) -> Option<Instant> {
        let last = self.due()?.at + self.bound.mul_f64(LAST_TURN);
        let window = last.saturating_duration_since(since);
        Some(since + window.mul_f64(self.place.fraction()))
    }
}

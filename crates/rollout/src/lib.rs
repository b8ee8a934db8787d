//! Decides when an engine loads which version of its weights.
//!
//! Every engine must serve a named version within a bound, and an engine that loads serves nothing. The [`Rollout`] of
//! each agent therefore gives its engine a turn within the bound, at a place in an order that all agents compute alike
//! from the ids of the live targets, without asking each other.

mod turn;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

pub use turn::Place;

/// Share of the bound after which the first turn comes; the weights are on their way until then.
const FIRST_TURN: f64 = 0.35;
/// Share of the bound at which the last turn comes; what remains is for an order that has to be repeated.
const LAST_TURN: f64 = 0.85;
/// Time from an order until it is taken for lost when the engine shows nothing of it.
const ORDER_TIME: Duration = Duration::from_millis(700);

/// Number of a version, as operators count them.
pub type VersionNumber = u64;

/// Versions of one model on their way into one engine.
#[derive(Clone, Debug)]
pub struct Rollout {
    bound: Duration,
    place: Place,
    named: Vec<(VersionNumber, Instant)>,
    complete: BTreeSet<VersionNumber>,
    held: Option<VersionNumber>,
    busy: bool,
    ordered: Option<(VersionNumber, Instant)>,
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
            place: Place::default(),
            named: Vec::new(),
            complete: BTreeSet::new(),
            held: None,
            busy: false,
            ordered: None,
        }
    }

    /// Sets the engine's place among those that load one after the other.
    pub fn set_place(&mut self, place: Place) {
        self.place = place;
    }

    /// Takes a version as named at `now`, and returns whether it is newer than those known.
    pub fn name(&mut self, now: Instant, version: VersionNumber) -> bool {
        let newest = self.newest();
        if newest.is_some_and(|newest| newest >= version) {
            return false;
        }
        self.named.push((version, now));
        true
    }

    /// Returns the newest named version.
    pub fn newest(&self) -> Option<VersionNumber> {
        self.named.last().map(|(version, _)| *version)
    }

    /// Notes that every part of `version` is held and verified.
    pub fn complete(&mut self, version: VersionNumber) {
        self.complete.insert(version);
        while self.complete.len() > 2 {
            self.complete.pop_first();
        }
    }

    /// Takes the engine's state: the version that it serves, and whether an order is in progress.
    pub fn observe(&mut self, held: Option<VersionNumber>, busy: bool) {
        self.held = held;
        self.busy = busy;
        if let Some(held) = held {
            self.named.retain(|(version, _)| *version >= held);
        }
        if self
            .ordered
            .is_some_and(|(version, _)| held == Some(version))
        {
            self.ordered = None;
        }
    }

    /// Notes that the order to load `version` was given.
    pub fn ordered(&mut self, now: Instant, version: VersionNumber) {
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
    pub fn next(&self, now: Instant) -> Step {
        if self.busy {
            return Step::Wait(None);
        }
        if let Some((_, at)) = self.ordered
            && now < at + ORDER_TIME
        {
            return Step::Wait(Some(at + ORDER_TIME));
        }
        let newer = |version: &&VersionNumber| self.held.is_none_or(|held| held < **version);
        let Some(version) = self.complete.iter().rev().find(newer) else {
            return Step::Wait(None);
        };
        match self.turn() {
            Some(turn) if self.held.is_some() && now < turn => Step::Wait(Some(turn)),
            _ => Step::Load(*version),
        }
    }

    /// Returns the time of the engine's turn for the oldest version that it doesn't serve yet.
    fn turn(&self) -> Option<Instant> {
        let newer =
            |(version, _): &&(VersionNumber, Instant)| self.held.is_none_or(|held| held < *version);
        let (_, named) = self.named.iter().find(newer)?;
        let share = FIRST_TURN + (LAST_TURN - FIRST_TURN) * self.place.share();
        Some(*named + self.bound.mul_f64(share))
    }
}

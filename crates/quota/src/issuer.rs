//! The issuer's side: permits at the rate of a target's limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::permits::Ask;
use crate::statement::{Limit, MIN_LIMIT_PER_S, Statement};

/// Time for which a limit that one entry told holds against a higher one: entries hear of a change one after the other.
const REPORTED_LIMIT_HOLD: Duration = Duration::from_secs(1);
/// Time in which an entry that asks for permits does so again.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after its last question for which a target is remembered.
const TARGET_TIMEOUT: Duration = Duration::from_secs(600);
/// Permits that can be saved up, and the time at the rate of the limit that can be saved up besides.
const BURST_PERMITS: f64 = 1.0;
const BURST_TIME: Duration = Duration::from_millis(100);
/// Questions in the time in which one permit comes up: some are put before it has.
const POLLS_PER_PERMIT: f64 = 2.0;
/// Bounds of the pause between two questions of an entry.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));
/// Part of the limit that an issuer grants where entries may take another process for the issuer for some time.
const CONTESTED_ISSUER_SHARE: f64 = 0.75;

/// An answer to a question for permits.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Grant {
    /// Number of the question.
    pub number: u32,
    /// Requests that may be sent.
    pub permits: u16,
    /// Milliseconds after which there may be more.
    pub pause_ms: u32,
    /// What the issuer knows of the target's own word.
    pub statement: Option<Statement>,
}

/// Whether a target can have another issuer at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Role {
    /// The issuer runs beside the target, and no other one does.
    Sole,
    /// Entries chose the issuer among several, and may differ while these come and go.
    Chosen,
}

/// A start of a target: its id, and the time of the start in milliseconds since 1970 where that is known.
///
/// A limit ends with the process that named it.
pub type Start = (String, Option<u64>);

/// Grants permits for targets.
///
/// `Entry` identifies an entry.
#[derive(Debug)]
pub struct Issuer<Entry>(BTreeMap<Start, Bucket<Entry>>);

/// What is left of one target's limit.
#[derive(Debug)]
struct Bucket<Entry> {
    statement: Option<Statement>,
    /// Lowest limit that entries told lately, and when.
    lowest_reported: Option<(Limit, Instant)>,
    permits: f64,
    /// When permits were last added.
    refilled_at: Instant,
    /// When each entry last asked.
    requesters: BTreeMap<Entry, Instant>,
}

impl<Entry> Default for Issuer<Entry> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<Entry: Ord> Issuer<Entry> {
    /// Answers the question of an entry for permits of `target`.
    pub fn ask(
        &mut self,
        now: Instant,
        target: &Start,
        entry: Entry,
        ask: &Ask,
        role: Role,
    ) -> Grant {
        self.remove_idle_targets(now);
        let bucket = self
            .0
            .entry(target.clone())
            .or_insert_with(|| Bucket::new(now));
        let share = match role {
            Role::Sole => 1.0,
            Role::Chosen => CONTESTED_ISSUER_SHARE,
        };
        bucket.refill(now, share);
        bucket.record_request(now, entry, ask);
        bucket.grant(ask)
    }

    /// Returns what targets said of their limits, for entries that haven't heard it.
    pub fn statements(&self) -> impl Iterator<Item = (&Start, Statement)> {
        let buckets = self.0.iter();
        buckets.filter_map(|(target, bucket)| Some((target, bucket.statement?)))
    }

    fn remove_idle_targets(&mut self, now: Instant) {
        self.0
            .retain(|_, bucket| now.saturating_duration_since(bucket.refilled_at) < TARGET_TIMEOUT);
    }
}

impl<Entry: Ord> Bucket<Entry> {
    /// Returns a bucket without permits: another issuer may have granted some just before.
    fn new(now: Instant) -> Self {
        Self {
            statement: None,
            lowest_reported: None,
            permits: 0.0,
            refilled_at: now,
            requesters: BTreeMap::new(),
        }
    }

    /// Takes what an entry says of the target's limit, and that it asks.
    fn record_request(&mut self, now: Instant, entry: Entry, ask: &Ask) {
        Statement::merge(&mut self.statement, ask.statement);
        if let Some(limit) = ask.limit.map(|limit| limit.max(MIN_LIMIT_PER_S))
            && self.lowest_reported.is_none_or(|(lowest, at)| {
                limit <= lowest || now.saturating_duration_since(at) >= REPORTED_LIMIT_HOLD
            })
        {
            self.lowest_reported = Some((limit, now));
        }
        self.requesters
            .retain(|_, at| now.saturating_duration_since(*at) < REQUESTER_TIMEOUT);
        if ask.wanted > 0 {
            self.requesters.insert(entry, now);
        }
    }

    fn grant(&mut self, ask: &Ask) -> Grant {
        let requesters = self.requesters.len().max(1) as f64;
        let whole_permits = self.permits.floor();
        // What came up meanwhile is for all that ask.
        let permits = f64::from(ask.wanted).min((whole_permits / requesters).ceil());
        self.permits -= permits;
        let pause = self.limit().map_or(Duration::ZERO, |limit| {
            let seconds = requesters / (limit * POLLS_PER_PERMIT);
            Duration::from_secs_f64(seconds.min(PAUSE_BOUNDS.1.as_secs_f64())).max(PAUSE_BOUNDS.0)
        });
        Grant {
            number: ask.number,
            permits: permits as u16,
            pause_ms: pause.as_millis() as u32,
            statement: self.statement,
        }
    }

    /// Adds the permits that came up since the last time.
    fn refill(&mut self, now: Instant, share: f64) {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let Some(limit) = self.limit() else {
            return;
        };
        let max_permits = BURST_PERMITS + limit * BURST_TIME.as_secs_f64();
        self.permits = (self.permits + passed * limit * share).min(max_permits);
    }

    fn limit(&self) -> Option<Limit> {
        let advertised = self.statement.and_then(|statement| statement.limit);
        let reported = self.lowest_reported.map(|(limit, _)| limit);
        match (advertised, reported) {
            (Some(advertised), Some(reported)) => Some(advertised.min(reported)),
            (advertised, reported) => advertised.or(reported),
        }
    }
}

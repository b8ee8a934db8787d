//! The issuer's side: grants permits at the rate of a target's limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::advertised_limit::{AdvertisedLimit, Limit, MIN_LIMIT_PER_S};
use crate::permits::{PAUSE_FACTORS, PermitRequest};

/// Time for which a limit reported by an entry takes precedence over a higher one, because entries learn of a change at
/// different times.
const REPORTED_LIMIT_HOLD: Duration = Duration::from_secs(1);
/// Time after the end of its pause for which an entry counts as a requester: its next request may be lost or late.
const REQUESTER_GRACE: Duration = Duration::from_secs(1);
/// Time after the last request for its permits for which the state of a target is kept.
const TARGET_TIMEOUT: Duration = Duration::from_secs(600);
/// Permits that can accumulate, in addition to those of [`BURST_TIME`].
const BURST_PERMITS: f64 = 1.0;
/// Time at the rate of the limit whose permits can accumulate, in addition to [`BURST_PERMITS`].
const BURST_TIME: Duration = Duration::from_millis(100);
/// Requests for permits in the time in which one permit accrues, because some arrive before it is available.
const POLLS_PER_PERMIT: f64 = 2.0;
/// Bounds of the pause between two requests of an entry for permits.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));
/// Share of the limit that an issuer grants where entries may temporarily use different processes as the issuer.
const CONTESTED_ISSUER_SHARE: f64 = 0.75;

/// Response to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Grant {
    /// Number of the request.
    pub number: u32,
    /// Number of requests that may be sent to the target.
    pub permits: u16,
    /// Milliseconds after which more permits may be available.
    pub pause_ms: u32,
    /// The latest limit advertised by the target that the issuer knows.
    pub statement: Option<AdvertisedLimit>,
}

/// Whether the target may have other issuers at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Role {
    /// The issuer runs on the target's VM and is the only one.
    Sole,
    /// Entries choose the issuer among several, and may choose different ones while these start and stop.
    Chosen,
}

/// One start of a target: its id, and the time of the start in milliseconds since 1970, if known.
///
/// A limit is valid for the process that advertised it, and not after a restart.
pub type TargetStart = (String, Option<u64>);

/// Grants permits for targets. `Entry` is the type of the ids of entries.
#[derive(Debug)]
pub struct Issuer<Entry>(BTreeMap<TargetStart, Bucket<Entry>>);

/// Token bucket of one target's limit.
#[derive(Debug)]
struct Bucket<Entry> {
    statement: Option<AdvertisedLimit>,
    /// Lowest limit that entries reported recently, and when.
    lowest_reported: Option<(Limit, Instant)>,
    permits: f64,
    /// Time at which permits were last added.
    refilled_at: Instant,
    /// Entries that want permits, each with the time until which it counts as a requester.
    requesters: BTreeMap<Entry, Instant>,
}

impl<Entry> Default for Issuer<Entry> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<Entry: Ord> Issuer<Entry> {
    /// Handles an entry's request for permits of `target`.
    pub fn handle_request(
        &mut self,
        now: Instant,
        target: &TargetStart,
        entry: Entry,
        request: &PermitRequest,
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
        bucket.record_limit(now, request);
        bucket.grant(now, entry, request)
    }

    /// Returns the limits that targets advertised, to forward them to entries that don't know them yet.
    pub fn advertised_limits(&self) -> impl Iterator<Item = (&TargetStart, AdvertisedLimit)> {
        let buckets = self.0.iter();
        buckets.filter_map(|(target, bucket)| Some((target, bucket.statement?)))
    }

    fn remove_idle_targets(&mut self, now: Instant) {
        self.0
            .retain(|_, bucket| now.saturating_duration_since(bucket.refilled_at) < TARGET_TIMEOUT);
    }
}

impl<Entry: Ord> Bucket<Entry> {
    /// Returns an empty bucket, because another issuer may have granted permits just before.
    fn new(now: Instant) -> Self {
        Self {
            statement: None,
            lowest_reported: None,
            permits: 0.0,
            refilled_at: now,
            requesters: BTreeMap::new(),
        }
    }

    /// Records the limit that an entry reports.
    fn record_limit(&mut self, now: Instant, request: &PermitRequest) {
        AdvertisedLimit::merge(&mut self.statement, request.statement);
        if let Some(limit) = request.limit.map(|limit| limit.max(MIN_LIMIT_PER_S))
            && self.lowest_reported.is_none_or(|(lowest, at)| {
                limit <= lowest || now.saturating_duration_since(at) >= REPORTED_LIMIT_HOLD
            })
        {
            self.lowest_reported = Some((limit, now));
        }
    }

    /// Grants the available permits, up to the entry's share of them.
    fn grant(&mut self, now: Instant, entry: Entry, request: &PermitRequest) -> Grant {
        self.requesters.remove(&entry);
        self.requesters.retain(|_, until| now < *until);
        let is_requester = request.wanted > 0;
        let requesters = self.requesters.len() + usize::from(is_requester);
        let requesters = requesters.max(1) as f64;
        let whole_permits = self.permits.floor();
        // The accrued permits are shared among all requesters.
        let permits = f64::from(request.wanted).min((whole_permits / requesters).ceil());
        self.permits -= permits;
        let pause = self.pause(requesters);
        if is_requester {
            let until = now + pause.mul_f64(PAUSE_FACTORS.end) + REQUESTER_GRACE;
            self.requesters.insert(entry, until);
        }
        Grant {
            number: request.number,
            permits: permits as u16,
            pause_ms: pause.as_millis() as u32,
            statement: self.statement,
        }
    }

    /// Returns the pause between two requests of an entry for permits.
    fn pause(&self, requesters: f64) -> Duration {
        self.limit().map_or(Duration::ZERO, |limit| {
            let seconds = requesters / (limit * POLLS_PER_PERMIT);
            Duration::from_secs_f64(seconds.min(PAUSE_BOUNDS.1.as_secs_f64())).max(PAUSE_BOUNDS.0)
        })
    }

    /// Adds the permits that accrued since the last refill.
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

    /// Returns the lower of the advertised limit and the one reported by entries.
    fn limit(&self) -> Option<Limit> {
        let advertised = self.statement.and_then(|statement| statement.limit);
        let reported = self.lowest_reported.map(|(limit, _)| limit);
        match (advertised, reported) {
            (Some(advertised), Some(reported)) => Some(advertised.min(reported)),
            (advertised, reported) => advertised.or(reported),
        }
    }
}

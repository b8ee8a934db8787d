//! Recent rejections by urgency, and how many of the less urgent requests are held back because of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::request::RequestId;

/// Time constant of the counts. It bridges the gaps between the few requests per second that one entry gets, and ends
/// the effects of an overload within seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Requests held back per rejected share of the more urgent ones. Holding back just the rejected share would leave both
/// equally well served.
const HOLD_FACTOR: f64 = 2.0;
/// Time constant of the counts that show whether an urgency starves: about the time that callers keep trying.
const FAIRNESS_TIME_CONSTANT: Duration = Duration::from_secs(6);
/// Ratio to the placed share of all requests below which those of one urgency are served as the most urgent ones.
const MIN_PLACED_RATIO: f64 = 0.5;
/// Maximum share of the requests of one urgency that is held back; the rest keeps every rank from starving.
const MAX_HELD_SHARE: f64 = 0.75;
/// Rejected share of more urgent requests below which an engine's queue is open to less urgent ones.
const NEGLIGIBLE_SHARE: f64 = 0.02;
/// Conjugate of the golden ratio: its multiples by consecutive ids are spread evenly between 0 and 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Order in which requests of a service are served under overload; the least is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    /// Priority; 0 is the most urgent.
    pub(crate) rank: u8,
    /// Whether the workspace exceeds its share of the service.
    pub(crate) over_share: bool,
}

/// Decaying counts of the requests that were placed and rejected, by urgency.
#[derive(Debug, Default)]
pub(crate) struct Pressure(BTreeMap<Urgency, Counts>);

#[derive(Clone, Copy, Debug)]
struct Counts {
    decided: Decaying,
    rejected: Decaying,
    /// The same over [`FAIRNESS_TIME_CONSTANT`].
    asked: Decaying,
    placed: Decaying,
}

/// Sum whose parts lose weight with their age.
#[derive(Clone, Copy, Debug)]
struct Decaying {
    sum: f64,
    updated: Instant,
    constant: Duration,
}

impl Pressure {
    /// Counts a request that was placed, or rejected because of overload.
    pub(crate) fn record(&mut self, now: Instant, urgency: Urgency, rejected: bool) {
        let counts = self.0.entry(urgency).or_insert_with(|| Counts::new(now));
        let rejected = f64::from(u8::from(rejected));
        counts.decided.add(now, 1.0);
        counts.rejected.add(now, rejected);
        counts.asked.add(now, 1.0);
        counts.placed.add(now, 1.0 - rejected);
    }

    /// Returns the urgency under which a request of `urgency` waits: that of the most urgent ones if its own were placed
    /// less than [`MIN_PLACED_RATIO`] as often as all.
    pub(crate) fn promoted(&self, now: Instant, urgency: Urgency) -> Urgency {
        let Some((first, own)) = self.0.keys().next().zip(self.0.get(&urgency)) else {
            return urgency;
        };
        let (mut asked, mut placed) = (0.0, 0.0);
        for counts in self.0.values() {
            asked += counts.asked.at(now);
            placed += counts.placed.at(now);
        }
        let starves = own.placed.at(now) * asked < own.asked.at(now) * placed * MIN_PLACED_RATIO;
        match starves {
            true => *first,
            false => urgency,
        }
    }

    /// Returns the largest rejected share among the requests more urgent than `urgency`.
    fn rejected_before(&self, now: Instant, urgency: Urgency) -> f64 {
        let before = self.0.range(..urgency);
        before
            .map(|(_, counts)| counts.rejected_share(now))
            .fold(0.0, f64::max)
    }

    /// Returns whether more urgent requests than those of `urgency` were rejected recently.
    pub(crate) fn is_urgent_rejected(&self, now: Instant, urgency: Urgency) -> bool {
        self.rejected_before(now, urgency) > NEGLIGIBLE_SHARE
    }

    /// Returns whether more than a negligible share of recent requests was rejected.
    pub(crate) fn is_overloaded(&self, now: Instant) -> bool {
        let mut counts = self.0.values();
        counts.any(|counts| counts.rejected_share(now) > NEGLIGIBLE_SHARE)
    }

    /// Returns whether the request `id` leaves free places to more urgent ones.
    ///
    /// The answer for one request only changes with the rejected share, so a request that is polled often has no better
    /// chance than one that is polled once.
    pub(crate) fn is_held_back(&self, now: Instant, urgency: Urgency, id: RequestId) -> bool {
        let held = (HOLD_FACTOR * self.rejected_before(now, urgency)).min(MAX_HELD_SHARE);
        (id as f64 * GOLDEN_RATIO).fract() < held
    }
}

impl Counts {
    fn new(now: Instant) -> Self {
        let decaying = |constant| Decaying {
            sum: 0.0,
            updated: now,
            constant,
        };
        Self {
            decided: decaying(TIME_CONSTANT),
            rejected: decaying(TIME_CONSTANT),
            asked: decaying(FAIRNESS_TIME_CONSTANT),
            placed: decaying(FAIRNESS_TIME_CONSTANT),
        }
    }

    /// Returns the rejected share as if one more request had been placed, so that few requests prove little.
    fn rejected_share(&self, now: Instant) -> f64 {
        self.rejected.at(now) / (self.decided.at(now) + 1.0)
    }
}

impl Decaying {
    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.sum * (-elapsed.as_secs_f64() / self.constant.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, value: f64) {
        self.sum = self.at(now) + value;
        self.updated = now;
    }
}

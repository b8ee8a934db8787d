//! Keeps requests away from targets that fail.

use std::time::{Duration, Instant};

/// Bounds of the time for which a failing target is ejected; it doubles with each ejection.
const EJECTION_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Weight of the newest outcome in the failure rate.
const NEWEST_WEIGHT: f64 = 0.15;
/// Failure rate from which a target is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Failures in a row from which a target is ejected.
const EJECTION_STREAK: u32 = 3;
/// Time without ejection after which the next one is short again.
const EJECTION_RESET: Duration = Duration::from_secs(10);

/// How a target failed a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// No connection came about: the target's VM refused it.
    NotConnected,
    /// No connection came about in time.
    Unreachable,
    /// The target said that it did not run the request.
    Refused,
    /// Another target, or one with other weights, has the address.
    Misdirected,
    /// The connection broke, or the answer was malformed or belongs to another request.
    Broken,
    /// The answer did not come in time.
    Late,
    /// The answer had not begun when the target's weights became too old to begin it.
    Outdated,
    /// The target answered with a server error of its own.
    Error,
}

/// Record of a target's outcomes.
#[derive(Clone, Debug, Default)]
pub struct Health {
    rate: f64,
    streak: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether no request succeeded since the last ejection.
    probing: bool,
}

impl Failure {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not-connected",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Late => "late",
            Self::Outdated => "outdated",
            Self::Error => "error",
        }
    }

    /// Tells whether the request was not sent at all.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotConnected | Self::Unreachable)
    }

    /// Tells whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        self.is_unsent() || matches!(self, Self::Refused | Self::Misdirected)
    }
}

impl Health {
    /// Returns the share of failures among the latest outcomes.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tells whether the target gets no requests at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Tells whether one request at a time should show first that the target works again.
    ///
    /// Without this, all requests that come until the first one fails would go to a target that still doesn't work.
    pub fn is_probing(&self) -> bool {
        self.probing
    }

    /// Notes that the target works, as far as the start of an answer shows.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    /// Counts a success.
    pub fn success(&mut self, now: Instant) {
        self.rate *= 1.0 - NEWEST_WEIGHT;
        self.streak = 0;
        self.probing = false;
        if self
            .ejected_until
            .is_some_and(|until| until + EJECTION_RESET < now)
        {
            self.ejections = 0;
        }
    }

    /// Keeps requests away for a short time after a failure that says little about the target.
    pub(crate) fn suspend(&mut self, now: Instant) {
        let until = now + EJECTION_BOUNDS.0;
        self.ejected_until = Some(self.ejected_until.map_or(until, |known| known.max(until)));
    }

    /// Counts a failure; returns whether the target was ejected for it.
    pub fn failure(&mut self, now: Instant, failure: Failure) -> bool {
        match failure {
            // The target is busy or changed its weights; its load tells whether it takes work.
            Failure::Refused | Failure::Misdirected | Failure::Outdated => return false,
            Failure::NotConnected | Failure::Unreachable => self.streak = EJECTION_STREAK,
            Failure::Broken | Failure::Late | Failure::Error => self.streak += 1,
        }
        self.rate += (1.0 - self.rate) * NEWEST_WEIGHT;
        let eject = self.streak >= EJECTION_STREAK || self.rate >= EJECTION_FAILURE_RATE;
        if eject && !self.is_ejected(now) {
            let time = EJECTION_BOUNDS.0 * 2u32.pow(self.ejections.min(8));
            self.ejected_until = Some(now + time.min(EJECTION_BOUNDS.1));
            self.ejections += 1;
            self.probing = true;
            self.streak = EJECTION_STREAK - 1;
            return true;
        }
        false
    }
}

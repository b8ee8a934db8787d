//! Outlier detection: ejects targets that fail from the set that receives requests.

use std::time::{Duration, Instant};

/// Shortest and longest ejection of a failing target; the duration doubles with each ejection.
const EJECTION_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Weight of the newest outcome in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.15;
/// Failure rate at which a target is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Number of consecutive failures at which a target is ejected.
const EJECTION_STREAK: u32 = 3;
/// Time since the end of the last ejection after which the next one starts from the shortest duration.
const EJECTION_RESET: Duration = Duration::from_secs(10);

/// How a target failed a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// The target's VM refused the connection.
    NotConnected,
    /// The connection was not established in time.
    Unreachable,
    /// The target reported that it did not run the request.
    Refused,
    /// The address belongs to another target, or the target refused because it holds other weights than expected.
    Misdirected,
    /// The connection broke, or the answer was malformed or belonged to another request.
    Broken,
    /// The answer did not arrive in time.
    Late,
    /// The answer had not begun when the target's weights became too old to begin it.
    Outdated,
    /// A part of the request's prompt was quarantined before the answer had begun.
    Quarantined,
    /// The entry had to stop before the answer arrived.
    Stopped,
    /// The target ran the request with other weights than expected.
    OtherWeights,
    /// The target answered with a server error.
    Error,
    /// The target answered with a client error.
    Rejected,
}

/// Failure statistics and ejection state of a target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    rate: f64,
    streak: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether no request has succeeded since the last ejection.
    probing: bool,
}

impl Failure {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not-connected",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Late => "late",
            Self::Outdated => "outdated",
            Self::Quarantined => "quarantined",
            Self::Stopped => "stopped",
            Self::OtherWeights => "other-weights",
            Self::Error => "error",
            Self::Rejected => "rejected",
        }
    }

    /// Returns whether the request was never sent.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotConnected | Self::Unreachable)
    }

    /// Returns whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        self.is_unsent() || matches!(self, Self::Refused | Self::Misdirected)
    }
}

impl Health {
    /// Returns the moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Returns whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target should get only one request at a time until one succeeds.
    ///
    /// Otherwise every request that arrives before the first one fails would go to a target that is still broken.
    pub fn is_probing(&self) -> bool {
        self.probing
    }

    /// Ends probing because an answer has begun, before its outcome is known.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    /// Counts a success.
    pub fn record_success(&mut self, now: Instant) {
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

    /// Ejects the target for the shortest duration, without counting a failure: the fault may lie elsewhere.
    pub(crate) fn suspend(&mut self, now: Instant) {
        let until = now + EJECTION_BOUNDS.0;
        self.ejected_until = Some(self.ejected_until.map_or(until, |known| known.max(until)));
    }

    /// Counts a failure; returns whether it caused an ejection.
    pub fn record_failure(&mut self, now: Instant, failure: Failure) -> bool {
        match failure {
            // The target works, but is busy, has changed its weights, or the attempt ended for another reason.
            Failure::Refused
            | Failure::Misdirected
            | Failure::Outdated
            | Failure::Quarantined
            | Failure::Stopped
            | Failure::OtherWeights
            | Failure::Rejected => {
                return false;
            }
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

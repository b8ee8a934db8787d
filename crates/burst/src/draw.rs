//! Permit state of a stripe, and retry backoff for calls to the origin.

use std::time::{Duration, Instant};

/// Delay before a failed call to the platform or the origin is retried for the first time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay before a failed call to the origin is retried, for transfers that may take minutes.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The permit object lists the holder.
    Granted,
    /// All grants belong to other holders.
    Refused,
    /// The platform didn't accept the request.
    Unavailable,
    /// No answer arrived; the grant may have been written.
    Lost,
}

/// Permit state of one stripe. The attempt number counts the grants that this transfer has requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
    /// Not requested. A request may be sent from `not_before` on; `read_first` states whether to read the object first.
    Wanted {
        attempt: u32,
        read_first: bool,
        not_before: Option<Instant>,
    },
    /// Requested; the answer is pending.
    Asked { attempt: u32 },
    /// The stripe may be drawn.
    Granted { attempt: u32 },
    /// Refused for good: the number of grants in an object never decreases.
    Refused,
}

impl Permit {
    pub(crate) const NEW: Self = Self::Wanted {
        attempt: 0,
        read_first: false,
        not_before: None,
    };

    /// Handles the answer to the pending request; without one, the answer is ignored.
    pub(crate) fn handle_grant(&mut self, grant: Grant, now: Instant) {
        let Self::Asked { attempt } = *self else {
            return;
        };
        *self = match grant {
            Grant::Granted => Self::Granted { attempt },
            Grant::Refused => Self::Refused,
            Grant::Unavailable | Grant::Lost => Self::Wanted {
                attempt,
                read_first: true,
                not_before: Some(now + INITIAL_RETRY_DELAY * 2),
            },
        };
    }

    /// Ends the grant of `attempt` after a drawn chunk was corrupted: drawing it again requires another grant.
    pub(crate) fn end_attempt(&mut self, attempt: u32) {
        if *self == (Self::Granted { attempt }) {
            *self = Self::Wanted {
                attempt: attempt + 1,
                read_first: true,
                not_before: None,
            };
        }
    }
}

/// Exponential backoff for calls to the origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    max_delay: Duration,
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    pub(crate) fn new(max_delay: Duration) -> Self {
        Self {
            max_delay,
            failures: 0,
            until: None,
        }
    }

    /// Returns the time of the next allowed attempt, or `None` if one is allowed now.
    pub(crate) fn blocked(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }

    /// Records a failure; each consecutive failure doubles the delay.
    ///
    /// The delay doesn't grow beyond `interval` unless that is zero: once the origin is available again, it should send
    /// the missing chunks soon.
    pub(crate) fn fail(&mut self, interval: Duration, now: Instant) {
        // Failures of requests that were sent before the backoff began count once.
        if self.blocked(now).is_some() {
            return;
        }
        let delay = INITIAL_RETRY_DELAY * 2u32.pow(self.failures.min(5));
        let max_delay = match interval.is_zero() {
            true => self.max_delay,
            false => interval.max(INITIAL_RETRY_DELAY).min(self.max_delay),
        };
        self.until = Some(now + delay.min(max_delay));
        self.failures += 1;
    }

    /// Delays the next attempt by the time that the origin requested, within bounds.
    pub(crate) fn wait_for(&mut self, time: Duration, now: Instant) {
        self.until =
            Some(now + time.clamp(INITIAL_RETRY_DELAY.min(self.max_delay), self.max_delay));
    }

    /// Resets the backoff after a success.
    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.max_delay);
    }
}

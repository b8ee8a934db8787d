//! State of the permission to draw a stripe from the origin.

use std::time::{Duration, Instant};

/// Time before a failed call to the platform or the store is repeated for the first time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest time before a failed call to the store is repeated, where a transfer may take minutes.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The permit object lists the holder.
    Granted,
    /// All grants are taken by others.
    Refused,
    /// The platform didn't take the request.
    Unavailable,
    /// No answer came; the grant may have been written.
    Lost,
}

/// Permit of one stripe. The attempt numbers the grants that this transfer asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
    /// To be asked for at `not_before` or later; `read_first` tells to read the object first.
    Wanted {
        attempt: u32,
        read_first: bool,
        not_before: Option<Instant>,
    },
    /// Asked for; the answer is outstanding.
    Asked { attempt: u32 },
    /// Draws are allowed.
    Granted { attempt: u32 },
    /// Never granted again: the grants of an object only increase.
    Refused,
}

impl Permit {
    pub(crate) const NEW: Self = Self::Wanted {
        attempt: 0,
        read_first: false,
        not_before: None,
    };

    /// Takes the answer to the outstanding request; other answers are ignored.
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

    /// Ends the grant of `attempt` after a drawn chunk was corrupted: its second draw needs a grant of its own.
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

/// Exponential backoff of the store.
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

    /// Returns when the next attempt is allowed, if not yet at `now`.
    pub(crate) fn blocked(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }

    /// Waits twice as long after each failure in a row.
    pub(crate) fn fail(&mut self, now: Instant) {
        // Failures of requests that were sent before the backoff began count once.
        if self.blocked(now).is_some() {
            return;
        }
        let delay = INITIAL_RETRY_DELAY * 2u32.pow(self.failures.min(5));
        self.until = Some(now + delay.min(self.max_delay));
        self.failures += 1;
    }

    /// Waits as long as the store asked for.
    pub(crate) fn wait_for(&mut self, time: Duration, now: Instant) {
        self.until =
            Some(now + time.clamp(INITIAL_RETRY_DELAY.min(self.max_delay), self.max_delay));
    }

    /// Ends the backoff after a success.
    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.max_delay);
    }
}

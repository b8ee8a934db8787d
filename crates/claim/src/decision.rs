//! Decisions about calls with an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use crate::Answer;

/// How to handle a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run the call, and report its end with [`Owner::finish`](crate::Owner::finish).
    Run,
    /// A call with this key is in progress; wait for it and return the same outcome.
    Wait,
    /// The call ran; return this stored answer.
    Stored(Arc<Answer>),
    /// The call may have run, and its answer is not known.
    Unknown(Reason),
    /// The call was not run here, so it is safe to retry after `retry_after`.
    NotRun {
        /// Why the call was rejected.
        reason: Reason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The named agent may run the call or know its outcome; this one doesn't run it.
    Redirect(String),
}

/// Why a keyed call was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The key is not a UUIDv7.
    Malformed,
    /// An earlier owner may have run the call, or this one ran it and the key has expired.
    Early,
    /// The issue time of the key is at or after the end of the interval.
    Late,
    /// The call ran, and its answer was not stored.
    NotStored,
    /// No agent is known to own the slot of the key.
    NoOwner,
    /// The backend doesn't accept calls.
    Closed,
}

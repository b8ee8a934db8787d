//! Decisions about keyed calls.

use std::sync::Arc;
use std::time::Duration;

use crate::Answer;

/// What to do with a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run it; report the end with [`Owner::finish`](crate::Owner::finish).
    Run,
    /// The key is running; answer with the same outcome.
    Wait,
    /// The key ran; send this answer again.
    Stored(Arc<Answer>),
    /// The key may have run and its answer is not known.
    Unknown(Reason),
    /// The key didn't run here; the call is safe to repeat after `retry_after`.
    NotRun {
        /// Why it is refused.
        reason: Reason,
        /// Time after which a repetition may succeed.
        retry_after: Duration,
    },
    /// Another agent may run the key or know its outcome; this one doesn't run it.
    Elsewhere(String),
}

/// Why a keyed call is not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The key is not a UUIDv7.
    Malformed,
    /// An earlier owner may have run it, or this one ran it and forgot it.
    Early,
    /// Its issue time is at or after the end of the interval.
    Late,
    /// It ran, and its answer was not stored.
    NotStored,
    /// No agent is known to own its slot.
    NoOwner,
    /// The backend takes no calls.
    Closed,
}

//! A request as the scheduler sees it.

use std::time::{Duration, Instant};

use crate::config::Kind;
use crate::target::TargetId;

/// Number of a request, unique within an entry's process.
pub type RequestId = u64;

/// What a request asks for and what was tried for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Id that the caller gave the request; logs name it.
    pub id: String,
    /// Service that is to serve it.
    pub service: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time of arrival at the entry.
    pub arrived: Instant,
    /// Time for which the caller had waited before, in earlier attempts.
    pub waited: Duration,
    /// Time from arrival within which the first byte counts as in time.
    pub objective: Duration,
    /// Time at which the caller gives up or the route's time is over.
    pub deadline: Instant,
    /// Prompt tokens; 0 for requests of plain services.
    pub prompt: u32,
    /// Tokens that the answer is expected to have.
    pub output: u32,
    /// Model whose weights the target must hold.
    pub model: Option<String>,
    /// The only version of the weights that may go on with a stream.
    pub version: Option<u64>,
    /// Targets that the request may still be sent to.
    pub attempts: u32,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// No target of the service takes work.
    NoTarget,
    /// All targets are busy and the request would not be served in time.
    Overload,
    /// Every target that it may be sent to wants no requests for a while, or no more than it gets.
    Paused,
    /// Every target that it may be sent to refused it.
    Refused,
    /// The deadline passed while it waited.
    Expired,
}

impl Reason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::Overload => "overload",
            Self::Paused => "paused",
            Self::Refused => "refused",
            Self::Expired => "expired",
        }
    }
}

impl Work {
    /// Returns the time by which the first byte is in time.
    pub fn objective_at(&self) -> Instant {
        self.arrived + self.objective
    }

    /// Tells whether the answer comes too late to be in time, whatever is done: the caller came back after refusals.
    pub fn is_overdue(&self) -> bool {
        self.waited >= self.objective
    }

    /// Tells whether the request may be sent to another target although it may have run.
    pub fn may_repeat(&self) -> bool {
        self.attempts > 0 && self.is_repeatable()
    }

    /// Tells whether a target may run the request again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming { resumable } => resumable,
        }
    }
}

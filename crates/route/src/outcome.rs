//! Outcomes of requests and the reasons for refusals.
//!
//! The display texts of [`Unknown`] and [`Reason`] are values on the wire and in metrics.

use std::time::Duration;

/// Final outcome of a request, as reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend's complete response was forwarded.
    Answered,
    /// Nothing was written to a backend.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

/// Proof that nothing was written to a backend.
///
/// It can only be created from a request that was never sent in full, or that was refused by every agent that it was
/// sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRun(Refusal);

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Unknown {
    /// `lost`: the connection to the target broke.
    #[error("lost")]
    Lost,
    /// `timed-out`: the deadline passed.
    #[error("timed-out")]
    TimedOut,
    /// `reported`: the target's agent reports that it doesn't know the outcome.
    #[error("reported")]
    Reported,
    /// `stopped`: the entry had to stop before the response arrived.
    #[error("stopped")]
    Stopped,
    /// `cut`: the response was truncated after its first byte.
    #[error("cut")]
    Cut,
}

/// Why a request is refused, and when it may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("{reason}")]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the same request may succeed; `None` if it can't succeed unchanged.
    pub retry_after: Option<Duration>,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(thiserror::Error)]
pub enum Reason {
    /// `malformed`: the request is malformed.
    #[error("malformed")]
    Malformed,
    /// `workspace`: the catalogue has no such workspace, or the workspace may not call the service.
    #[error("workspace")]
    Workspace,
    /// `service`: the catalogue has no such service.
    #[error("service")]
    Service,
    /// `catalogue`: the entry has not received the catalogue yet, or not the class of the workspace or service.
    #[error("catalogue")]
    Catalogue,
    /// `size`: the head or the body is too large.
    #[error("size")]
    Size,
    /// `rate`: the rate limit of the workspace is reached.
    #[error("rate")]
    Rate,
    /// `concurrency`: the concurrency limit of the workspace is reached.
    #[error("concurrency")]
    Concurrency,
    /// `shared-rate`: the rate limit of the class or service, which all workspaces share, is reached.
    #[error("shared-rate")]
    SharedRate,
    /// `shared-concurrency`: the concurrency limit of the class, which all workspaces share, is reached.
    #[error("shared-concurrency")]
    SharedConcurrency,
    /// `queue`: the queue of the service is full.
    #[error("queue")]
    Queue,
    /// `wait`: the expected wait exceeds the deadline.
    #[error("wait")]
    Wait,
    /// `deadline`: the request waited until its deadline could no longer be met.
    #[error("deadline")]
    Deadline,
    /// `target`: no target is open for the request.
    #[error("target")]
    Target,
    /// `refused`: the target's agent refused, and no retry was left.
    #[error("refused")]
    Refused,
    /// `rejected`: the target's agent refused, and every other one would refuse as well.
    #[error("rejected")]
    Rejected,
    /// `draining`: the entry is draining and accepts no new requests.
    #[error("draining")]
    Draining,
}

impl NotRun {
    /// Creates the proof. Only `Request<Queued>` calls this.
    pub(crate) fn new(refusal: Refusal) -> Self {
        Self(refusal)
    }

    /// Returns the refusal that ended the request.
    pub fn refusal(&self) -> Refusal {
        self.0
    }
}

impl Unknown {
    /// Returns the HTTP status code of the outcome.
    pub fn status(self) -> u16 {
        match self {
            Self::TimedOut | Self::Stopped => 504,
            Self::Lost | Self::Reported | Self::Cut => 502,
        }
    }
}

impl Refusal {
    /// Returns a refusal of a request that can't succeed unchanged.
    pub fn permanent(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that may succeed after `wait`, rounded up to whole seconds between 1 and 60.
    pub fn retry(reason: Reason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(Duration::from_secs(
                wait.as_secs_f64().ceil().clamp(1.0, 60.0) as u64,
            )),
        }
    }
}

impl Reason {
    /// Returns the HTTP status code of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::Rejected => 400,
            Self::Workspace => 403,
            Self::Service => 404,
            Self::Size => 413,
            Self::Rate | Self::Concurrency | Self::SharedRate | Self::SharedConcurrency => 429,
            Self::Catalogue
            | Self::Queue
            | Self::Wait
            | Self::Deadline
            | Self::Target
            | Self::Refused
            | Self::Draining => 503,
        }
    }
}

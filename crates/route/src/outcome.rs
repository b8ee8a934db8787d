//! Outcomes of requests and the reasons for refusals.

use std::time::Duration;

/// How a request ended, as the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend's whole answer was passed on.
    Answered,
    /// Nothing was written to a backend.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

/// Proof that nothing was written to a backend; only a request that was never sent in full or was refused by every
/// agent that it was sent to can make one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRun(Refusal);

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Unknown {
    /// The connection to the target broke.
    #[error("lost")]
    Lost,
    /// The deadline passed.
    #[error("timed-out")]
    TimedOut,
    /// The target's agent doesn't know.
    #[error("reported")]
    Reported,
    /// The answer was cut off after its first byte.
    #[error("cut")]
    Cut,
}

/// Why a request is refused, and when to try again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("{reason}")]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time after which the same request may succeed; `None` when it won't run as it is.
    pub retry_after: Option<Duration>,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(thiserror::Error)]
pub enum Reason {
    /// The request is malformed.
    #[error("malformed")]
    Malformed,
    /// The catalogue has no such workspace, or it may not call the service.
    #[error("workspace")]
    Workspace,
    /// The catalogue has no such service.
    #[error("service")]
    Service,
    /// The entry doesn't hold the catalogue, or not the class of the workspace or service, yet.
    #[error("catalogue")]
    Catalogue,
    /// The head or the body is too large.
    #[error("size")]
    Size,
    /// The rate limit of the workspace is reached.
    #[error("rate")]
    Rate,
    /// The concurrency limit of the workspace is reached.
    #[error("concurrency")]
    Concurrency,
    /// The rate limit of the class or service, which all workspaces share, is reached.
    #[error("shared-rate")]
    SharedRate,
    /// The concurrency limit of the class, which all workspaces share, is reached.
    #[error("shared-concurrency")]
    SharedConcurrency,
    /// The queue is full.
    #[error("queue")]
    Queue,
    /// The expected wait exceeds the deadline.
    #[error("wait")]
    Wait,
    /// The request waited until its deadline could no longer be met.
    #[error("deadline")]
    Deadline,
    /// No target is open for the request.
    #[error("target")]
    Target,
    /// The target's agent refused, and no retry was left.
    #[error("refused")]
    Refused,
    /// The target's agent refused, and so would every other.
    #[error("rejected")]
    Rejected,
    /// The entry is draining.
    #[error("draining")]
    Draining,
}

impl NotRun {
    /// Only `Request<Queued>` calls this.
    pub(crate) fn new(refusal: Refusal) -> Self {
        Self(refusal)
    }

    /// Returns why the request did not run.
    pub fn refusal(&self) -> Refusal {
        self.0
    }
}

impl Unknown {
    /// Returns the HTTP status of the outcome.
    pub fn status(self) -> u16 {
        match self {
            Self::TimedOut => 504,
            Self::Lost | Self::Reported | Self::Cut => 502,
        }
    }
}

impl Refusal {
    /// Returns a refusal of a request that won't run as it is.
    pub fn permanent(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that may run after `wait`, rounded up to whole seconds.
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
    /// Returns the HTTP status of the refusal.
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

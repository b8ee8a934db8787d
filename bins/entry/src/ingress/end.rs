//! Ends of requests that no target answered.

use std::time::Duration;

use dispatch::Failure;
use node::http::StatusCode;

use super::call::Refusal;

/// A request that got no place at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    pub(super) reason: &'static str,
    /// Time after which the caller may come back.
    pub(super) retry_after: Duration,
}

/// How a request ended that no target answered.
#[derive(Clone, Copy, Debug)]
pub(super) enum End {
    /// No attempt ran it.
    NotRun(Rejection),
    /// An attempt may have run it.
    MayHaveRun(Failure),
}

impl End {
    /// Returns the end of a request that got no further place; `ran` is the last failure after which it may have run.
    pub(super) fn after(ran: Option<Failure>, rejection: Rejection) -> Self {
        match ran {
            Some(failure) => Self::MayHaveRun(failure),
            None => Self::NotRun(rejection),
        }
    }

    /// Returns what the caller is told.
    pub(super) fn refusal(self) -> Refusal {
        match self {
            Self::NotRun(rejection) => {
                Refusal::unavailable(rejection.reason, rejection.retry_after)
            }
            Self::MayHaveRun(failure @ (Failure::Late | Failure::Outdated)) => {
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, failure.name())
            }
            Self::MayHaveRun(failure) => Refusal::new(StatusCode::BAD_GATEWAY, failure.name()),
        }
    }
}

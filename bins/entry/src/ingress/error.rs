//! Errors of requests that no target answered.

use std::time::Duration;

use dispatch::Failure;
use node::http::StatusCode;

use super::call::Refusal;

/// The rejection of a request that was not placed on a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    pub(super) reason: &'static str,
    /// Time after which the caller may retry.
    pub(super) retry_after: Duration,
}

/// Why no target answered a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestError {
    /// No attempt ran the request.
    NotRun(Rejection),
    /// An attempt may have run the request.
    MayHaveRun(Failure),
}

impl RequestError {
    /// Returns the error of a request that was not placed again; `last_possible_run` is the last failure after which it
    /// may have run.
    pub(super) fn after(last_possible_run: Option<Failure>, rejection: Rejection) -> Self {
        match last_possible_run {
            Some(failure) => Self::MayHaveRun(failure),
            None => Self::NotRun(rejection),
        }
    }

    /// Returns the refusal to send to the caller.
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

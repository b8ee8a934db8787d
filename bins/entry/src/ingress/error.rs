//! Errors of requests that no target answered.

use std::time::Duration;

use dispatch::{Failure, RequestContext, TargetId};
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
#[derive(Clone, Debug)]
pub(super) struct RequestError {
    cause: Cause,
    pub(super) last_attempt: Option<LastAttempt>,
}

/// What is known of the request.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// No attempt ran the request.
    NotRun(Rejection),
    /// An attempt may have run the request.
    MayHaveRun(Failure),
}

/// The last attempt of a request that failed.
#[derive(Clone, Debug)]
pub(super) struct LastAttempt {
    pub(super) target: TargetId,
    /// Number of the attempt, from 1.
    pub(super) number: usize,
    pub(super) failure: Failure,
}

impl RequestError {
    /// Returns the error of a request that was rejected before its first attempt.
    pub(super) fn unsent(rejection: Rejection) -> Self {
        Self {
            cause: Cause::NotRun(rejection),
            last_attempt: None,
        }
    }

    /// Returns the error of a request that was not placed again; `last_possible_run` is the last failure after which it
    /// may have run.
    pub(super) fn after(
        last_attempt: Option<LastAttempt>,
        last_possible_run: Option<Failure>,
        rejection: Rejection,
    ) -> Self {
        Self {
            cause: last_possible_run.map_or(Cause::NotRun(rejection), Cause::MayHaveRun),
            last_attempt,
        }
    }

    /// Returns the refusal to send to the caller.
    pub(super) fn refusal(&self) -> Refusal {
        match self.cause {
            Cause::NotRun(rejection) => {
                Refusal::unavailable(rejection.reason, rejection.retry_after)
            }
            Cause::MayHaveRun(failure @ (Failure::Late | Failure::Outdated | Failure::Stopped)) => {
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, failure.name())
            }
            Cause::MayHaveRun(failure) => Refusal::new(StatusCode::BAD_GATEWAY, failure.name()),
        }
    }
}

impl LastAttempt {
    /// Returns the last attempt of `work`, which ended with `failure`.
    pub(super) fn new(work: &RequestContext, failure: Failure) -> Option<Self> {
        Some(Self {
            target: work.tried_targets.last()?.clone(),
            number: work.tried_targets.len(),
            failure,
        })
    }
}

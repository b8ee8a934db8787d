//! Answers to callers.

use node::http::header::{HeaderValue, RETRY_AFTER};
use node::http::{Body, HeaderMap, Response, StatusCode, response};
use route::{Outcome, Refusal, Unknown};
use wire::header as name;

use crate::call::forwarded;

/// Value of the outcome header of an answered request.
pub const ANSWERED: &str = "answered";
/// Value of the outcome header of a request that did not run.
pub const NOT_RUN: &str = "not-run";
/// Value of the outcome header of a request that may have run.
pub const UNKNOWN: &str = "unknown";

/// Returns the answer to a request that did not run; `detail` names the malformed part.
pub fn refused(refusal: &Refusal, detail: Option<&str>) -> Response<Body> {
    let text = match detail {
        Some(detail) => format!("{}: {detail}\n", refusal.reason),
        None => format!("{}\n", refusal.reason),
    };
    let mut answer = plain(
        refusal.reason.status(),
        NOT_RUN,
        &refusal.reason.to_string(),
        text,
    );
    if let Some(wait) = refusal.retry_after {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(wait.as_secs()));
    }
    answer
}

/// Returns the answer to a request that ended without one of a backend.
///
/// An answered request has its answer already; it gives an empty one here.
pub fn ended(outcome: &Outcome) -> Response<Body> {
    match outcome {
        Outcome::Answered => response(StatusCode::NO_CONTENT, Body::empty()),
        Outcome::NotRun(not_run) => refused(&not_run.refusal(), None),
        Outcome::Unknown(why) => unknown(*why),
    }
}

/// Returns the head of an answer that a backend gave.
pub fn answered(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut answer = response(status, body);
    *answer.headers_mut() = forwarded(headers);
    set(&mut answer, name::OUTCOME, ANSWERED);
    if let Some(weights) = headers.get(name::WEIGHTS) {
        answer.headers_mut().insert(name::WEIGHTS, weights.clone());
    }
    answer
}

/// Returns the outcome that the caller is told, as metrics name it.
pub fn label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => ANSWERED,
        Outcome::NotRun(_) => NOT_RUN,
        Outcome::Unknown(Unknown::Cut) => "cut",
        Outcome::Unknown(_) => UNKNOWN,
    }
}

/// Returns the reason that the caller is told, as metrics name it; empty when the request has an answer.
pub fn reason(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered | Outcome::Unknown(Unknown::Cut) => String::new(),
        Outcome::NotRun(not_run) => not_run.refusal().reason.to_string(),
        Outcome::Unknown(why) => why.to_string(),
    }
}

fn unknown(why: Unknown) -> Response<Body> {
    plain(why.status(), UNKNOWN, &why.to_string(), format!("{why}\n"))
}

fn plain(status: u16, outcome: &'static str, reason: &str, text: String) -> Response<Body> {
    let status = StatusCode::from_u16(status).expect("all outcomes have valid statuses");
    let mut answer = response(status, text);
    set(&mut answer, name::OUTCOME, outcome);
    set(&mut answer, name::REASON, reason);
    answer
}

fn set(answer: &mut Response<Body>, name: &'static str, value: &str) {
    let value = HeaderValue::try_from(value).expect("outcomes and reasons are ASCII");
    answer.headers_mut().insert(name, value);
}

//! Responses to callers.

use node::http::header::{HeaderValue, RETRY_AFTER};
use node::http::{Body, HeaderMap, Response, StatusCode, response};
use route::{Outcome, Refusal, Unknown};
use wire::header as wire_header;

use crate::call::forwarded_headers;

/// Outcome header value of an answered request.
pub const ANSWERED: &str = "answered";
/// Outcome header value of a request that did not run.
pub const NOT_RUN: &str = "not-run";
/// Outcome header value of a request that may have run.
pub const UNKNOWN: &str = "unknown";

/// Returns the response to a refused request; `detail` names the malformed part.
pub fn refused(refusal: &Refusal, detail: Option<&str>) -> Response<Body> {
    let text = match detail {
        Some(detail) => format!("{}: {detail}\n", refusal.reason),
        None => format!("{}\n", refusal.reason),
    };
    let mut response = text_response(
        refusal.reason.status(),
        NOT_RUN,
        &refusal.reason.to_string(),
        text,
    );
    if let Some(wait) = refusal.retry_after {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(wait.as_secs()));
    }
    response
}

/// Returns the response for the final outcome of a request that got no response from a backend.
///
/// For [`Outcome::Answered`], where the backend's response was already relayed, it is empty.
pub fn from_outcome(outcome: &Outcome) -> Response<Body> {
    match outcome {
        Outcome::Answered => response(StatusCode::NO_CONTENT, Body::empty()),
        Outcome::NotRun(not_run) => refused(&not_run.refusal(), None),
        Outcome::Unknown(reason) => unknown(*reason),
    }
}

/// Returns the response that relays a backend's response to the caller.
pub fn answered(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = response(status, body);
    *response.headers_mut() = forwarded_headers(headers);
    set_header(&mut response, wire_header::OUTCOME, ANSWERED);
    if let Some(weights) = headers.get(wire_header::WEIGHTS) {
        response
            .headers_mut()
            .insert(wire_header::WEIGHTS, weights.clone());
    }
    response
}

/// Returns the value of the metric label `outcome`.
pub fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => ANSWERED,
        Outcome::NotRun(_) => NOT_RUN,
        Outcome::Unknown(Unknown::Cut) => "cut",
        Outcome::Unknown(_) => UNKNOWN,
    }
}

/// Returns the value of the metric label `reason`; empty when the request has a response or was cut.
pub fn reason_label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered | Outcome::Unknown(Unknown::Cut) => String::new(),
        Outcome::NotRun(not_run) => not_run.refusal().reason.to_string(),
        Outcome::Unknown(reason) => reason.to_string(),
    }
}

fn unknown(reason: Unknown) -> Response<Body> {
    text_response(
        reason.status(),
        UNKNOWN,
        &reason.to_string(),
        format!("{reason}\n"),
    )
}

fn text_response(status: u16, outcome: &'static str, reason: &str, text: String) -> Response<Body> {
    let status = StatusCode::from_u16(status).expect("all outcomes have valid statuses");
    let mut response = response(status, text);
    set_header(&mut response, wire_header::OUTCOME, outcome);
    set_header(&mut response, wire_header::REASON, reason);
    response
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    let value = HeaderValue::try_from(value).expect("outcomes and reasons are ASCII");
    response.headers_mut().insert(name, value);
}

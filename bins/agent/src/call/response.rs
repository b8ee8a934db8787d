//! Responses of the call port.

use gate::Refusal;
use node::http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use node::http::{Body, Response, StatusCode, response};
use weights::Pin;
use wire::header::{ENGINE_WEIGHTS, OUTCOME, OWNER, PIN, REASON, REQUEST, WEIGHTS};

/// Headers that apply to one connection only (RFC 9110, section 7.6.1), and headers that the HTTP library sets itself.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
    HOST,
];

/// Why a call did not run; nothing was written to the backend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// The named header or the path is malformed.
    Malformed(&'static str),
    /// The target serves another service.
    Service,
    /// The catalogue entry of the service is not known yet.
    NoCatalogue,
    /// The gate refused the call.
    Refused(Refusal),
    /// The gate is open for other weights, which are named.
    Version(Pin),
    /// The backend is unreachable.
    Backend,
    /// The call must run at most once but has no idempotency key.
    NoKey,
    /// This agent doesn't hold the claim interval of the key.
    Claim {
        /// Value of the header `carobport-reason`.
        reason: &'static str,
        /// Name of the agent that holds the interval, if known.
        owner: Option<String>,
    },
}

/// Why the outcome of a call is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unknown {
    /// The connection to the backend failed after the request was sent, or the backend failed.
    Backend,
    /// The caller's deadline passed.
    Deadline,
    /// The response was made from other weights and was dropped.
    Weights,
    /// The call may have run before, and its response is not stored.
    Claim(&'static str),
}

impl NotRun {
    /// Returns the value of the header `carobport-reason`.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::Service => "service",
            Self::NoCatalogue => "catalogue",
            Self::Refused(Refusal::Closed) => "closed",
            Self::Refused(Refusal::Version) | Self::Version(_) => "version",
            Self::Refused(Refusal::Draining) => "draining",
            Self::Refused(Refusal::Leaving) => "leaving",
            Self::Backend => "backend",
            Self::NoKey => "key",
            Self::Claim { reason, .. } => reason,
        }
    }

    /// Returns the response to the entry.
    pub fn response(&self) -> Response<Body> {
        let (status, text) = match self {
            Self::Malformed(name) => (StatusCode::BAD_REQUEST, format!("`{name}` can't be read\n")),
            Self::NoKey => (
                StatusCode::BAD_REQUEST,
                "an idempotency key is required\n".into(),
            ),
            _ => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        };
        let mut response = outcome(status, "not-run", self.reason(), text);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        if let Self::Version(pin) = self
            && let Ok(pin) = HeaderValue::try_from(pin.to_string())
        {
            response.headers_mut().insert(PIN, pin);
        }
        if let Self::Claim {
            owner: Some(owner), ..
        } = self
            && let Ok(owner) = HeaderValue::from_str(owner)
        {
            response.headers_mut().insert(OWNER, owner);
        }
        response
    }
}

impl Unknown {
    /// Returns the value of the header `carobport-reason`.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Backend => "backend",
            Self::Deadline => "deadline",
            Self::Weights => "weights",
            Self::Claim(reason) => reason,
        }
    }

    /// Returns the response to the entry.
    pub fn response(&self) -> Response<Body> {
        let status = match self {
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Backend | Self::Weights | Self::Claim(_) => StatusCode::BAD_GATEWAY,
        };
        outcome(status, "unknown", self.reason(), String::new())
    }
}

/// Returns the backend's response with the headers of the call port.
pub fn from_backend<B>(mut response: Response<B>) -> Response<B> {
    let headers = response.headers_mut();
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    // Headers that only the agent may set.
    for name in [OUTCOME, REASON, REQUEST, OWNER, PIN, WEIGHTS] {
        headers.remove(name);
    }
    if let Some(weights) = headers.remove(ENGINE_WEIGHTS) {
        headers.insert(WEIGHTS, weights);
    }
    headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    response
}

/// Returns whether a header is forwarded: it is neither hop-by-hop nor set by the HTTP library.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP_BY_HOP.contains(name) && name != "keep-alive" && name != "proxy-connection"
}

/// Returns a response with the headers `carobport-outcome` and `carobport-reason`.
fn outcome(
    status: StatusCode,
    outcome: &'static str,
    reason: &'static str,
    text: String,
) -> Response<Body> {
    let mut response = response(status, text);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    headers.insert(REASON, HeaderValue::from_static(reason));
    response
}

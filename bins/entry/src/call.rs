//! A caller's request: its checks and the request that an agent gets for it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::header::{self, HeaderName, HeaderValue};
use node::http::{Body, HeaderMap, Method, Request};
use route::InFlight;
use uuid::Uuid;
use wire::header as name;

/// Bytes of a body whose hash is the prefix affinity: past the first fields, before most prompts differ.
const PREFIX: usize = 256;
/// Headers that concern one connection alone (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request of the form `/v1/{service}/{path}` that passed the checks that need no catalogue.
#[derive(Clone, Debug)]
pub struct Call {
    /// Workspace of the caller.
    pub workspace: String,
    /// Service that is called.
    pub service: String,
    /// Time until the deadline, if the caller names one.
    pub deadline: Option<Duration>,
    /// Key of a call that must not be repeated; `None` when absent or no UUIDv7.
    pub key: Option<Uuid>,
    method: Method,
    rest: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is malformed.
    pub fn parse(request: Request<Bytes>) -> Result<Self, &'static str> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let path = path.strip_prefix("/v1/").ok_or("path")?;
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        if service.is_empty() {
            return Err("path");
        }
        let rest = match parts.uri.query() {
            Some(query) => format!("{rest}?{query}"),
            None => rest.to_owned(),
        };
        let text = |name: &str| parts.headers.get(name).map(HeaderValue::to_str).transpose();
        let workspace = text(name::WORKSPACE)
            .ok()
            .flatten()
            .ok_or(name::WORKSPACE)?
            .to_owned();
        let deadline = match text(name::DEADLINE_MS).map_err(|_| name::DEADLINE_MS)? {
            Some(text) => {
                let millis = text.parse().map_err(|_| name::DEADLINE_MS)?;
                Some(Duration::from_millis(millis))
            }
            None => None,
        };
        let key = text(name::IDEMPOTENCY_KEY)
            .ok()
            .flatten()
            .and_then(|text| text.parse().ok());
        Ok(Self {
            workspace,
            service: service.to_owned(),
            deadline,
            key: key.filter(|key| claim::issue_time(*key).is_some()),
            method: parts.method,
            rest,
            headers: parts.headers,
            body,
        })
    }

    /// Returns the claim slot of the key.
    pub fn slot(&self) -> Option<u8> {
        self.key.map(|key| claim::slot(&self.workspace, key))
    }

    /// Returns the hash of the start of the body, which prompts with a common prefix share.
    pub fn affinity(&self) -> Option<u64> {
        if self.body.is_empty() {
            return None;
        }
        let hash = blake3::hash(&self.body[..self.body.len().min(PREFIX)]);
        let (head, _) = hash
            .as_bytes()
            .split_first_chunk()
            .expect("a hash has 32 bytes");
        Some(u64::from_be_bytes(*head))
    }

    /// Returns the request to the agent of the target of `sent`, with `id` to be echoed.
    pub fn to_agent(&self, id: &str, sent: &InFlight) -> Request<Body> {
        let mut request = Request::new(Body::from(self.body.clone()));
        *request.method_mut() = self.method.clone();
        let uri = format!("/call/{}/{}", self.service, self.rest);
        *request.uri_mut() = uri.parse().expect("the parts come from a valid URI");
        let headers = request.headers_mut();
        *headers = forwarded(&self.headers);
        headers.remove(header::HOST);
        headers.remove(header::EXPECT);
        let left = sent.deadline().saturating_duration_since(Instant::now());
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).expect("the value was a header or is ASCII");
            headers.insert(name, value);
        };
        set(name::REQUEST, id.to_owned());
        set(name::WORKSPACE, self.workspace.clone());
        set(name::RANK, sent.admission().rank.to_string());
        set(name::DEADLINE_MS, left.as_millis().to_string());
        if let Some(pin) = sent.pin() {
            set(name::PIN, pin.to_string());
        }
        request
    }
}

/// Returns the headers that pass from one connection to the next.
///
/// The system's own headers are left out: each side sets those that it vouches for.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase())
        })
        .collect();
    let passes = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && !name.as_str().starts_with("carobport-")
            && !named.iter().any(|other| other == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

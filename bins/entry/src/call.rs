//! Parsing of a caller's request, and the request that is sent to an agent for it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::header::{self, HeaderName, HeaderValue};
use node::http::{Body, HeaderMap, Method, Request};
use route::InFlight;
use uuid::Uuid;
use wire::header as wire_header;

/// Length of the body prefix that is hashed for prefix affinity, in bytes.
///
/// The prefix extends past the first JSON fields but ends before most prompts differ.
const HASHED_PREFIX_BYTES: usize = 256;
/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request to `/v1/{service}/{path}` that passed the checks that don't need the catalogue.
#[derive(Clone, Debug)]
pub struct Call {
    /// Workspace of the caller.
    pub workspace: String,
    /// Requested service.
    pub service: String,
    /// Time until the deadline, if the caller sets one.
    pub deadline: Option<Duration>,
    /// Idempotency key, required by services that aren't repeatable; `None` when absent or not a UUIDv7.
    pub key: Option<Uuid>,
    method: Method,
    /// Path after the service, and the query.
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Parses a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the name of the malformed part: `path` or a header.
    pub fn parse(request: Request<Bytes>) -> Result<Self, &'static str> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let path = path.strip_prefix("/v1/").ok_or("path")?;
        let (service, path) = path.split_once('/').unwrap_or((path, ""));
        if service.is_empty() {
            return Err("path");
        }
        let path_and_query = match parts.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        let text = |name: &str| parts.headers.get(name).map(HeaderValue::to_str).transpose();
        let workspace = text(wire_header::WORKSPACE)
            .ok()
            .flatten()
            .ok_or(wire_header::WORKSPACE)?
            .to_owned();
        let deadline = match text(wire_header::DEADLINE_MS).map_err(|_| wire_header::DEADLINE_MS)? {
            Some(text) => {
                let millis = text.parse().map_err(|_| wire_header::DEADLINE_MS)?;
                Some(Duration::from_millis(millis))
            }
            None => None,
        };
        let key = text(wire_header::IDEMPOTENCY_KEY)
            .ok()
            .flatten()
            .and_then(|text| text.parse().ok());
        Ok(Self {
            workspace,
            service: service.to_owned(),
            deadline,
            key: key.filter(|key| claim::issue_time(*key).is_some()),
            method: parts.method,
            path_and_query,
            headers: parts.headers,
            body,
        })
    }

    /// Returns the claim slot of the idempotency key.
    pub fn claim_slot(&self) -> Option<u8> {
        self.key.map(|key| claim::slot(&self.workspace, key))
    }

    /// Returns the hash of the first bytes of the body, which is equal for prompts with a common prefix.
    pub fn prefix_hash(&self) -> Option<u64> {
        if self.body.is_empty() {
            return None;
        }
        let hash = blake3::hash(&self.body[..self.body.len().min(HASHED_PREFIX_BYTES)]);
        let (prefix, _) = hash
            .as_bytes()
            .split_first_chunk()
            .expect("a hash has 32 bytes");
        Some(u64::from_be_bytes(*prefix))
    }

    /// Builds the request to the agent of the target of `in_flight`; the agent must echo `id`.
    pub fn agent_request(&self, id: &str, in_flight: &InFlight) -> Request<Body> {
        let mut request = Request::new(Body::from(self.body.clone()));
        *request.method_mut() = self.method.clone();
        let uri = format!("/call/{}/{}", self.service, self.path_and_query);
        *request.uri_mut() = uri.parse().expect("the parts come from a valid URI");
        let headers = request.headers_mut();
        *headers = forwarded_headers(&self.headers);
        headers.remove(header::HOST);
        headers.remove(header::EXPECT);
        let remaining = in_flight
            .deadline()
            .saturating_duration_since(Instant::now());
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).expect("the value was a header or is ASCII");
            headers.insert(name, value);
        };
        set(wire_header::REQUEST, id.to_owned());
        set(wire_header::WORKSPACE, self.workspace.clone());
        set(wire_header::RANK, in_flight.admission().rank.to_string());
        set(wire_header::DEADLINE_MS, remaining.as_millis().to_string());
        if let Some(pin) = in_flight.pin() {
            set(wire_header::PIN, pin.to_string());
        }
        request
    }
}

/// Returns the end-to-end headers, without those named in `Connection`.
///
/// The `carobport-` headers are removed too: each hop sets only those that it vouches for.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase())
        })
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && !name.as_str().starts_with("carobport-")
            && !connection_options
                .iter()
                .any(|other| other == name.as_str())
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

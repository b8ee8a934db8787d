//! Parses requests of entries and converts them to requests to the backend.

use std::time::{Duration, Instant};

use bytes::Bytes;
use catalog::Service;
use node::http::{Body, HeaderMap, Request, Uri};
use uuid::Uuid;
use weights::Pin;
use wire::header;

use super::response::{NotRun, is_end_to_end};

/// Headers between entry and agent that are not sent to the backend.
const AGENT_HEADERS: [&str; 3] = [header::REQUEST, header::PIN, header::DEADLINE_MS];

/// A call with its parsed headers.
pub struct CallRequest {
    /// Weights that the request must be answered from.
    pub pin: Option<Pin>,
    /// Idempotency key of a call that must run at most once.
    pub key: Option<Uuid>,
    /// Workspace of the caller.
    pub workspace: String,
    received: Instant,
    timeout: Option<Duration>,
    path: Uri,
    request: Request<Bytes>,
}

impl CallRequest {
    /// Parses a request to `/call/{service}/{path}`.
    ///
    /// # Errors
    ///
    /// Returns [`NotRun::Service`] for another service and [`NotRun::Malformed`] for a malformed header or path.
    pub fn read(request: Request<Bytes>, service: &str) -> Result<Self, NotRun> {
        let headers = request.headers();
        if !headers.contains_key(header::REQUEST) {
            return Err(NotRun::Malformed(header::REQUEST));
        }
        Ok(Self {
            pin: parse_header(headers, header::PIN)?,
            key: parse_header(headers, header::IDEMPOTENCY_KEY)?,
            workspace: parse_header(headers, header::WORKSPACE)?.unwrap_or_default(),
            received: Instant::now(),
            timeout: parse_header(headers, header::DEADLINE_MS)?.map(Duration::from_millis),
            path: backend_path(request.uri(), service)?,
            request,
        })
    }

    /// Returns the time at which the caller stops waiting.
    pub fn deadline(&self, service: &Service) -> Instant {
        let default = Duration::from_millis(service.deadline_ms);
        self.received + self.timeout.unwrap_or(default)
    }

    /// Returns the request to send to the backend.
    pub fn into_backend_request(self) -> Request<Body> {
        let (parts, body) = self.request.into_parts();
        let mut request = Request::new(Body::from(body));
        *request.method_mut() = parts.method;
        *request.uri_mut() = self.path;
        for (name, value) in &parts.headers {
            if is_end_to_end(name) && !AGENT_HEADERS.contains(&name.as_str()) {
                request.headers_mut().append(name, value.clone());
            }
        }
        request
    }
}

/// Parses a header; returns `None` if it is absent.
fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, NotRun> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(NotRun::Malformed(name))
}

/// Returns the path after `/call/{service}`, with the query.
fn backend_path(uri: &Uri, service: &str) -> Result<Uri, NotRun> {
    let text = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = text
        .strip_prefix("/call/")
        .ok_or(NotRun::Malformed("path"))?;
    let path = rest.strip_prefix(service).ok_or(NotRun::Service)?;
    match path.bytes().next() {
        None => Ok(Uri::from_static("/")),
        Some(b'/') => path.parse().map_err(|_| NotRun::Malformed("path")),
        Some(b'?') => format!("/{path}")
            .parse()
            .map_err(|_| NotRun::Malformed("path")),
        Some(_) => Err(NotRun::Service),
    }
}

//! Calls of the object API over HTTP.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{self, Answer, Body, HeaderMap, Method, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::object::{Condition, Listing, Object, Put, State, Vm};

/// Largest value that the platform accepts, in bytes.
pub const MAX_VALUE: usize = 1 << 20;
/// Largest answer that is read, in bytes: a list of a few hundred objects.
const MAX_ANSWER: usize = 64 << 20;

/// A client of the object API; clones share connections.
#[derive(Clone)]
pub struct Client {
    platform: SocketAddr,
    timeout: Duration,
    http: http::Client,
}

/// A call without a result.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The platform didn't take the call: a write took no effect.
    #[error("platform unavailable for {call}: {reason}")]
    Unavailable {
        /// Method and path.
        call: String,
        /// What failed.
        reason: String,
    },
    /// The answer was lost: a write may have taken effect, and the caller has to read the object back.
    #[error("outcome of {call} unknown: {reason}")]
    Unknown {
        /// Method and path.
        call: String,
        /// What failed.
        reason: String,
    },
    /// The platform refused the call as it is: a write took no effect, and a repetition will fail too.
    #[error("platform refused {call}: {reason}")]
    Refused {
        /// Method and path.
        call: String,
        /// Status and text of the answer.
        reason: String,
    },
}

impl Client {
    /// Returns a client of the platform at `platform` whose calls take at most `timeout`.
    pub fn new(platform: SocketAddr, timeout: Duration) -> Self {
        Self {
            platform,
            timeout,
            http: http::Client::new(),
        }
    }

    /// Returns an object, or `None` when it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`], never [`Error::Unknown`]: a read has no effect.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let call = Call::new(self.platform, Method::GET, object_path(kind, name));
        let (parts, body) = self.send(&call, Body::empty(), Duration::ZERO).await?;
        match parts.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(Object {
                name: name.into(),
                revision: revision(&parts.headers)
                    .ok_or_else(|| call.unknown(&"the answer has no revision in its ETag"))?,
                value: call.parse(&body)?,
            })),
            status => Err(call.failed(status, &body)),
        }
    }

    /// Writes an object if `condition` holds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] or [`Error::Refused`] when the write took no effect, and [`Error::Unknown`] when
    /// it may have.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &impl Serialize,
        condition: Condition,
    ) -> Result<Put, Error> {
        let mut call = Call::new(self.platform, Method::PUT, object_path(kind, name));
        call.condition = match condition {
            Condition::Absent => Some((header::IF_NONE_MATCH, "*".into())),
            Condition::Revision(revision) => Some((header::IF_MATCH, format!("\"{revision}\""))),
            Condition::Any => None,
        };
        let value = serde_json::to_vec(value).map_err(|error| call.refused(&error))?;
        if value.len() > MAX_VALUE {
            let reason = format!("a value of {} bytes exceeds {MAX_VALUE}", value.len());
            return Err(call.refused(&reason));
        }
        let (parts, body) = self.send(&call, value.into(), Duration::ZERO).await?;
        match parts.status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
                revision(&parts.headers)
                    .map(Put::Accepted)
                    .ok_or_else(|| call.unknown(&"the answer has no revision in its ETag"))
            }
            StatusCode::PRECONDITION_FAILED => Ok(Put::Conflict(revision(&parts.headers))),
            status => Err(call.failed(status, &body)),
        }
    }

    /// Returns all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`], never [`Error::Unknown`]: a read has no effect.
    pub async fn list(&self, kind: &str) -> Result<Listing, Error> {
        self.read(format!("/objects/{}", encode(kind)), Duration::ZERO)
            .await
    }

    /// Waits up to `wait` for changes of a kind after revision `after`, and returns the changed objects.
    ///
    /// The list is empty when nothing changed.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`], never [`Error::Unknown`]: a read has no effect.
    pub async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Listing, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch/{}?after={after}&wait_ms={wait_ms}", encode(kind));
        self.read(path, wait).await
    }

    /// Returns the VMs that leave.
    ///
    /// The whole list of 7,100 VMs would take more than the 6 KB/s of control traffic. From a platform that ignores the
    /// query, the leaving ones are picked here.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`], never [`Error::Unknown`]: a read has no effect.
    pub async fn leaving_vms(&self) -> Result<Vec<Vm>, Error> {
        let path = "/vms?state=leaving".into();
        let mut vms: Vec<Vm> = self.read(path, Duration::ZERO).await?;
        vms.retain(|vm| vm.state == State::Leaving);
        Ok(vms)
    }

    async fn read<T: DeserializeOwned>(&self, path: String, wait: Duration) -> Result<T, Error> {
        let call = Call::new(self.platform, Method::GET, path);
        let (parts, body) = self.send(&call, Body::empty(), wait).await?;
        match parts.status {
            StatusCode::OK => call.parse(&body),
            status => Err(call.failed(status, &body)),
        }
    }

    async fn send(
        &self,
        call: &Call,
        body: Body,
        wait: Duration,
    ) -> Result<(hyper::http::response::Parts, Bytes), Error> {
        let mut request = Request::builder().method(&call.method).uri(&call.path);
        if let Some((name, value)) = &call.condition {
            request = request.header(name, value);
        }
        let request = request.body(body).map_err(|error| call.refused(&error))?;
        let deadline = Instant::now() + self.timeout + wait;
        let answer: Response<Answer> = self
            .http
            .send(self.platform, request, deadline)
            .await
            .map_err(|error| call.lost(&error))?;
        let (parts, body) = answer.into_parts();
        let body = body
            .bytes(MAX_ANSWER)
            .await
            .map_err(|error| call.lost(&error))?;
        Ok((parts, body))
    }
}

/// A call as its errors name it.
struct Call {
    platform: SocketAddr,
    method: Method,
    path: String,
    condition: Option<(header::HeaderName, String)>,
}

impl Call {
    fn new(platform: SocketAddr, method: Method, path: String) -> Self {
        Self {
            platform,
            method,
            path,
            condition: None,
        }
    }

    fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Error> {
        serde_json::from_slice(body)
            .map_err(|error| self.unknown(&format_args!("the answer is malformed: {error}")))
    }

    /// Classifies an answer without a result: of the server errors only 503 says that nothing was done.
    fn failed(&self, status: StatusCode, body: &[u8]) -> Error {
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
        let reason = format!("{status}: {}", text.trim());
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                self.unavailable(&reason)
            }
            status if status.is_client_error() => self.refused(&reason),
            _ => self.unknown(&reason),
        }
    }

    fn lost(&self, error: &http::Error) -> Error {
        match error {
            http::Error::NotWritten { .. } => self.unavailable(&error),
            http::Error::Unknown { .. } => self.unknown(&error),
        }
    }

    fn unavailable(&self, reason: &dyn Display) -> Error {
        Error::Unavailable {
            call: self.to_string(),
            reason: reason.to_string(),
        }
    }

    /// Returns the error of a call whose answer says nothing; a read changes nothing, so its outcome is known.
    fn unknown(&self, reason: &dyn Display) -> Error {
        if self.method == Method::GET {
            return self.unavailable(reason);
        }
        Error::Unknown {
            call: self.to_string(),
            reason: reason.to_string(),
        }
    }

    fn refused(&self, reason: &dyn Display) -> Error {
        Error::Refused {
            call: self.to_string(),
            reason: reason.to_string(),
        }
    }
}

impl std::fmt::Display for Call {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} at {}", self.method, self.path, self.platform)
    }
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/objects/{}/{}", encode(kind), encode(name))
}

/// Percent-encodes a path segment (RFC 3986): names such as `service/assistant` contain slashes.
fn encode(segment: &str) -> String {
    let mut encoded = String::with_capacity(segment.len());
    for byte in segment.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

/// Reads the revision from an `ETag` such as `"17"`.
fn revision(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

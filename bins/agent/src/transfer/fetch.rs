//! Requests for chunks and manifests, to other agents and to the weight store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Answer, TokenBucket, Version};
use bytes::{Bytes, BytesMut};
use hyper::http::{HeaderName, response};
use node::event;
use node::http::{self, Body, Client, HeaderMap, Request, Response, StatusCode, header};
use weights::{ChunkIndex, Digest, Manifest, Pin};

use super::{Holdings, Origin, Settings};
use crate::metrics::Remote;

/// Timeout of the response headers and of each read of the body. The downloader cancels stalled requests earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a manifest in bytes; 16,384 digests as text take 1.1 MB.
const MAX_MANIFEST: usize = 2 << 20;

/// Retry delay if a response asks for a retry without a delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Bytes received by interrupted draws, by chunk.
pub(super) type Partials = Rc<RefCell<HashMap<ChunkIndex, BytesMut>>>;

/// Sends the requests for one version.
pub(super) struct Fetcher {
    pub(super) settings: Rc<Settings>,
    pub(super) holdings: Rc<Holdings>,
    pub(super) http: Client,
    /// Client for the origin, whose few connections are shared by all agents.
    pub(super) origin_http: Client,
    pub(super) pin: Pin,
    pub(super) partials: Partials,
}

/// The bytes of a draw received so far. If the draw ends early, they are returned to the partials on drop.
struct Partial {
    chunk: ChunkIndex,
    bytes: BytesMut,
    partials: Partials,
}

impl Fetcher {
    /// Fetches a chunk of `version` from another agent; `progress` is called for each piece received.
    ///
    /// With `no_wait`, the other agent answers at once if it doesn't hold the chunk.
    pub(super) async fn fetch_from_peer(
        &self,
        version: &Version,
        chunk: ChunkIndex,
        (peer, no_wait): (SocketAddr, bool),
        progress: impl Fn(),
    ) -> Answer {
        let Some(len) = version.manifest().chunk_len(chunk) else {
            return Answer::Failed;
        };
        let path = format!("/chunks/{}/{chunk}", version.digest());
        let (slice, _slot) = match &self.holdings.receive_slots {
            Some(slots) => {
                let mut headers = vec![marker(wire::header::ANNOUNCE)];
                headers.extend(no_wait.then(|| marker(wire::header::NO_WAIT)));
                let Some((parts, _)) = self.send_to_peer(peer, &path, headers).await else {
                    return Answer::Failed;
                };
                progress();
                if parts.status != StatusCode::NO_CONTENT {
                    return answer_without_chunk(&parts);
                }
                (slots.slice_bytes(), Some(slots.acquire(&progress).await))
            }
            None => (len as usize, None),
        };
        let answer = self
            .fetch_slices(peer, &path, (len as usize, slice), &progress)
            .await;
        if let Answer::Bytes(_) = answer {
            self.holdings
                .record_traffic(|traffic| traffic.from_peers += u64::from(len));
        }
        answer
    }

    /// Fetches the `len` bytes of the chunk at `path` from another agent in slices of `slice` bytes.
    async fn fetch_slices(
        &self,
        peer: SocketAddr,
        path: &str,
        (len, slice): (usize, usize),
        progress: &impl Fn(),
    ) -> Answer {
        let buckets = self.buckets(Some(&peer));
        let from = self.holdings.remote(&peer);
        let mut bytes = BytesMut::with_capacity(len);
        while bytes.len() < len {
            let end = len.min(bytes.len() + slice);
            let range = format!("bytes={}-{}", bytes.len(), end - 1);
            let range = (slice < len).then_some((header::RANGE, range));
            let headers = range.into_iter().collect();
            let Some((parts, body)) = self.send_to_peer(peer, path, headers).await else {
                return Answer::Failed;
            };
            progress();
            match parts.status {
                StatusCode::OK | StatusCode::PARTIAL_CONTENT => {}
                _ => return answer_without_chunk(&parts),
            }
            let read = self.read_body(body, &mut bytes, end, &buckets, (from, progress));
            if read.await.is_err() {
                return Answer::Failed;
            }
        }
        Answer::Bytes(bytes.freeze())
    }

    /// Sends a GET request for `path` to another agent; returns `None` if the request fails.
    async fn send_to_peer(
        &self,
        peer: SocketAddr,
        path: &str,
        headers: Vec<(HeaderName, String)>,
    ) -> Option<(response::Parts, http::ResponseBody)> {
        let local = &self.settings.local;
        let mut request = Request::get(path)
            .header(wire::header::CHUNK_ADDRESS, local.address.to_string())
            .header(wire::header::DOMAIN, &local.domain);
        for (name, value) in headers {
            request = request.header(name, value);
        }
        let request = request.body(Body::empty()).ok()?;
        let response = self
            .http
            .send(peer, request, Instant::now() + READ_TIMEOUT)
            .await;
        response.ok().map(Response::into_parts)
    }

    /// Draws a chunk of `version` from the origin, resuming after the bytes of an interrupted draw if there was one.
    pub(super) async fn draw(
        &self,
        version: &Version,
        chunk: ChunkIndex,
        progress: impl Fn(),
    ) -> Answer {
        match self.try_draw(version, chunk, progress).await {
            Ok(answer) => answer,
            Err(error) => {
                node::event!(event::DRAW_FAILED, chunk = chunk, error = error);
                Answer::Failed
            }
        }
    }

    async fn try_draw(
        &self,
        version: &Version,
        chunk: ChunkIndex,
        progress: impl Fn(),
    ) -> Result<Answer, Error> {
        let manifest = version.manifest();
        let len = manifest.chunk_len(chunk).ok_or(Error::NoChunk(chunk))? as usize;
        let mut partial = Partial::take(&self.partials, chunk);
        if partial.bytes.len() < len {
            let (origin, request) = self.draw_request(version, chunk, &mut partial.bytes)?;
            let _slot = match &self.holdings.draw_slots {
                Some(slots) => Some(slots.acquire(&progress).await),
                None => None,
            };
            let response = self
                .origin_http
                .send(origin, request, Instant::now() + READ_TIMEOUT)
                .await?;
            progress();
            let (parts, body) = response.into_parts();
            match parts.status {
                StatusCode::PARTIAL_CONTENT | StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    return Ok(Answer::NotYet(retry_delay(&parts.headers)));
                }
                status => return Err(Error::Status(status)),
            }
            let before = partial.bytes.len();
            let buckets = self.buckets(None);
            let read = self
                .read_body(
                    body,
                    &mut partial.bytes,
                    len,
                    &buckets,
                    (Remote::Origin, &progress),
                )
                .await;
            let received = (partial.bytes.len() - before) as u64;
            self.holdings
                .record_traffic(|traffic| traffic.from_origin += received);
            read?;
        }
        Ok(Answer::Bytes(partial.bytes.split().freeze()))
    }

    /// Returns the request for the missing bytes of a chunk and the address to send it to.
    ///
    /// The users' origin serves whole chunks only, so the bytes of an interrupted draw are discarded for it.
    fn draw_request(
        &self,
        version: &Version,
        chunk: ChunkIndex,
        received: &mut BytesMut,
    ) -> Result<(SocketAddr, Request<Body>), Error> {
        match &self.settings.origin {
            Origin::Store(address) => {
                let manifest = version.manifest();
                let len = manifest.chunk_len(chunk).ok_or(Error::NoChunk(chunk))?;
                let start = manifest.offset(chunk);
                let first = start + received.len() as u64;
                let last = start + u64::from(len) - 1;
                let path = format!("/weights/{}/{}/data", self.pin.model, self.pin.version);
                let request = Request::get(path)
                    .header(header::RANGE, format!("bytes={first}-{last}"))
                    .body(Body::empty())?;
                Ok((*address, request))
            }
            Origin::Parts(origin) => {
                received.clear();
                let number = self.pin.version.parse().map_err(|_| Error::Version {
                    text: self.pin.version.clone(),
                })?;
                let request = platform::origin::piece(&self.pin.model, number, chunk);
                Ok((origin.address.get(), request))
            }
        }
    }

    /// Fetches the manifest from another agent.
    pub(super) async fn manifest_from_peer(&self, peer: SocketAddr) -> Result<Version, Error> {
        self.fetch_manifest(peer, &format!("/manifests/{}", self.pin.digest))
            .await
    }

    /// Fetches the manifest from the store.
    pub(super) async fn manifest_from_store(&self) -> Result<Version, Error> {
        let path = format!("/weights/{}/{}/manifest", self.pin.model, self.pin.version);
        match &self.settings.origin {
            Origin::Store(address) => self.fetch_manifest(*address, &path).await,
            // For an origin of whole chunks, the manifest is known before the transfer starts.
            Origin::Parts(_) => Err(Error::Status(StatusCode::NOT_FOUND)),
        }
    }

    async fn fetch_manifest(&self, from: SocketAddr, path: &str) -> Result<Version, Error> {
        let request = Request::get(path).body(Body::empty())?;
        let response = self
            .http
            .send(from, request, Instant::now() + super::CALL_TIMEOUT)
            .await?;
        let (parts, body) = response.into_parts();
        if parts.status != StatusCode::OK {
            return Err(Error::Status(parts.status));
        }
        let manifest: Manifest = serde_json::from_slice(&body.collect(MAX_MANIFEST).await?)?;
        Ok(Version::check(self.pin.digest, manifest)?)
    }

    /// Appends a body to `bytes`, which must then have exactly `len` bytes, at the rate that the buckets allow.
    async fn read_body(
        &self,
        mut body: http::ResponseBody,
        bytes: &mut BytesMut,
        len: usize,
        buckets: &[&TokenBucket],
        (from, progress): (Remote, &impl Fn()),
    ) -> Result<(), Error> {
        loop {
            body.set_deadline(Instant::now() + READ_TIMEOUT);
            let Some(piece) = body.next().await? else {
                break;
            };
            progress();
            self.holdings.metrics.record_received(from, piece.len());
            if bytes.len() + piece.len() > len {
                return Err(Error::Length(bytes.len() + piece.len(), len));
            }
            bytes.extend_from_slice(&piece);
            for bucket in buckets {
                consume_tokens(bucket, self.pin.digest, &piece, progress).await;
            }
        }
        match bytes.len() {
            read if read == len => Ok(()),
            read => Err(Error::Length(read, len)),
        }
    }

    /// Returns the buckets for data from `peer`; data from the origin (`None`) counts towards the downlink only.
    fn buckets(&self, peer: Option<&SocketAddr>) -> Vec<&TokenBucket> {
        let mut buckets = vec![&self.holdings.downlink];
        if peer.is_some_and(|peer| !self.holdings.is_in_region(peer)) {
            buckets.push(&self.holdings.inter_region);
        }
        buckets
    }
}

impl Partial {
    fn take(partials: &Partials, chunk: ChunkIndex) -> Self {
        Self {
            chunk,
            bytes: partials.borrow_mut().remove(&chunk).unwrap_or_default(),
            partials: Rc::clone(partials),
        }
    }
}

impl Drop for Partial {
    fn drop(&mut self) {
        if !self.bytes.is_empty() {
            let bytes = std::mem::take(&mut self.bytes);
            self.partials.borrow_mut().insert(self.chunk, bytes);
        }
    }
}

/// Error of a request to another agent, the origin or the engine.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("the version has no chunk {0}")]
    NoChunk(ChunkIndex),
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    #[error("received {0} bytes instead of {1}")]
    Length(usize, usize),
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("invalid manifest: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Manifest(#[from] burst::Error),
    #[error("version `{text}` is not a number")]
    Version { text: String },
}

/// Takes the bytes of `piece` from the bucket. Calls `progress` while it waits, because a local rate limit doesn't mean
/// that the sender stalled.
async fn consume_tokens(
    bucket: &TokenBucket,
    version: Digest,
    piece: &Bytes,
    progress: &impl Fn(),
) {
    let ticket = bucket.enqueue(version, piece.len() as u64);
    while let Err(wait) = ticket.try_take(Instant::now()) {
        compio::time::sleep(wait.min(Duration::from_millis(500))).await;
        progress();
    }
}

/// Returns the header `name`, which has a meaning of its own without a value.
fn marker(name: &'static str) -> (HeaderName, String) {
    (HeaderName::from_static(name), "1".into())
}

/// Converts a response without a chunk to the answer that the downloader handles.
fn answer_without_chunk(parts: &response::Parts) -> Answer {
    match parts.status {
        StatusCode::SEE_OTHER => Answer::Holders(holders(&parts.headers)),
        StatusCode::SERVICE_UNAVAILABLE => unavailable(&parts.headers),
        StatusCode::NOT_FOUND => Answer::Unknown(retry_delay(&parts.headers)),
        _ => Answer::Failed,
    }
}

fn holders(headers: &HeaderMap) -> Vec<SocketAddr> {
    let value = headers
        .get(wire::header::HOLDERS)
        .and_then(|value| value.to_str().ok());
    let addresses = value.unwrap_or("").split(',');
    addresses
        .filter_map(|address| address.trim().parse().ok())
        .collect()
}

fn unavailable(headers: &HeaderMap) -> Answer {
    let wait = retry_delay(headers);
    match number(headers, wire::header::DRAWN_AGE_MS) {
        Some(ms) => Answer::Drawing {
            wait,
            age: Duration::from_millis(ms),
        },
        None => Answer::NotYet(wait),
    }
}

fn retry_delay(headers: &HeaderMap) -> Duration {
    number(headers, wire::header::RETRY_AFTER_MS)
        .map(Duration::from_millis)
        .or_else(|| number(headers, "retry-after").map(Duration::from_secs))
        .unwrap_or(DEFAULT_RETRY_DELAY)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

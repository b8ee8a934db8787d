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

/// Time in which each part of an answer must arrive. The downloader gives up stalled requests earlier.
const PART: Duration = Duration::from_secs(30);

/// Largest manifest that is read, in bytes: 16,384 digests as text are 1.1 MB.
const MAX_MANIFEST: usize = 2 << 20;

/// Longest time between two looks whether this agent may draw.
const TURN_CHECK: Duration = Duration::from_millis(500);

/// Wait when an answer says to wait but not how long.
const DEFAULT_WAIT: Duration = Duration::from_millis(500);

/// Bytes of interrupted draws, by chunk.
pub(super) type Partials = Rc<RefCell<HashMap<ChunkIndex, BytesMut>>>;

/// Makes requests for one version.
pub(super) struct Fetcher {
    pub(super) settings: Rc<Settings>,
    pub(super) holdings: Rc<Holdings>,
    pub(super) http: Client,
    /// Client of the origin, whose few connections all agents share.
    pub(super) origin_http: Client,
    pub(super) pin: Pin,
    pub(super) partials: Partials,
}

/// The received part of a draw; it goes back to the partials when the draw ends early.
struct Partial {
    chunk: ChunkIndex,
    bytes: BytesMut,
    partials: Partials,
}

impl Fetcher {
    /// Requests a chunk of `version` from another agent; `progress` is called for each piece.
    pub(super) async fn request(
        &self,
        version: &Version,
        chunk: ChunkIndex,
        peer: SocketAddr,
        progress: impl Fn(),
    ) -> Answer {
        let Some(len) = version.manifest().chunk_len(chunk) else {
            return Answer::Failed;
        };
        let path = format!("/chunks/{}/{chunk}", version.digest());
        let (slice, _turn) = match &self.holdings.receiving {
            Some(receiving) => {
                let announce = (HeaderName::from_static(wire::header::ANNOUNCE), "1".into());
                let Some((parts, _)) = self.ask(peer, &path, Some(announce)).await else {
                    return Answer::Failed;
                };
                progress();
                if parts.status != StatusCode::NO_CONTENT {
                    return refused(&parts);
                }
                (receiving.slice(), Some(receiving.turn(&progress).await))
            }
            None => (len as usize, None),
        };
        let answer = self
            .slices(peer, &path, (len as usize, slice), &progress)
            .await;
        if let Answer::Bytes(_) = answer {
            self.holdings
                .count(|traffic| traffic.from_peers += u64::from(len));
        }
        answer
    }

    /// Requests `len` bytes of the chunk at `path` from another agent, `slice` at a time.
    async fn slices(
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
            let Some((parts, body)) = self.ask(peer, path, range).await else {
                return Answer::Failed;
            };
            progress();
            match parts.status {
                StatusCode::OK | StatusCode::PARTIAL_CONTENT => {}
                _ => return refused(&parts),
            }
            let read = self.read(body, &mut bytes, end, &buckets, (from, progress));
            if read.await.is_err() {
                return Answer::Failed;
            }
        }
        Answer::Bytes(bytes.freeze())
    }

    /// Asks another agent for what is at `path`; `None` when it doesn't answer.
    async fn ask(
        &self,
        peer: SocketAddr,
        path: &str,
        header: Option<(HeaderName, String)>,
    ) -> Option<(response::Parts, http::ResponseBody)> {
        let me = &self.settings.local;
        let mut request = Request::get(path)
            .header(wire::header::CHUNK_ADDRESS, me.address.to_string())
            .header(wire::header::DOMAIN, &me.domain);
        if let Some((name, value)) = header {
            request = request.header(name, value);
        }
        let request = request.body(Body::empty()).ok()?;
        let answer = self.http.send(peer, request, Instant::now() + PART).await;
        answer.ok().map(Response::into_parts)
    }

    /// Draws a chunk of `version` from the store, after the bytes of an earlier draw that was interrupted.
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
            self.wait_for_turn(&progress).await;
            let (origin, request) = self.draw_request(version, chunk, &mut partial.bytes)?;
            let _turn = match &self.holdings.drawing {
                Some(drawing) => Some(drawing.turn(&progress).await),
                None => None,
            };
            let answer = self
                .origin_http
                .send(origin, request, Instant::now() + PART)
                .await?;
            progress();
            let (parts, body) = answer.into_parts();
            match parts.status {
                StatusCode::PARTIAL_CONTENT | StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    return Ok(Answer::NotYet(wait(&parts.headers)));
                }
                status => return Err(Error::Status(status)),
            }
            let before = partial.bytes.len();
            let buckets = self.buckets(None);
            let read = self
                .read(
                    body,
                    &mut partial.bytes,
                    len,
                    &buckets,
                    (Remote::Origin, &progress),
                )
                .await;
            let received = (partial.bytes.len() - before) as u64;
            self.holdings
                .count(|traffic| traffic.from_origin += received);
            read?;
        }
        Ok(Answer::Bytes(partial.bytes.split().freeze()))
    }

    /// Waits until this agent may draw; the wait counts as progress.
    async fn wait_for_turn(&self, progress: &impl Fn()) {
        let Origin::Parts(origin) = &self.settings.origin else {
            return;
        };
        loop {
            let left = origin
                .not_before
                .get()
                .saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            compio::time::sleep(left.min(TURN_CHECK)).await;
            progress();
        }
    }

    /// Returns the request for what is missing of a chunk, and where to send it.
    ///
    /// The users' origin gives whole parts only, so what came of an interrupted draw is dropped.
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
        self.manifest(peer, &format!("/manifests/{}", self.pin.digest))
            .await
    }

    /// Fetches the manifest from the store.
    pub(super) async fn manifest_from_store(&self) -> Result<Version, Error> {
        let path = format!("/weights/{}/{}/manifest", self.pin.model, self.pin.version);
        match &self.settings.origin {
            Origin::Store(address) => self.manifest(*address, &path).await,
            // The manifest of such an origin is known before the transfer starts.
            Origin::Parts(_) => Err(Error::Status(StatusCode::NOT_FOUND)),
        }
    }

    async fn manifest(&self, from: SocketAddr, path: &str) -> Result<Version, Error> {
        let request = Request::get(path).body(Body::empty())?;
        let answer = self
            .http
            .send(from, request, Instant::now() + super::CALL)
            .await?;
        let (parts, body) = answer.into_parts();
        if parts.status != StatusCode::OK {
            return Err(Error::Status(parts.status));
        }
        let manifest: Manifest = serde_json::from_slice(&body.collect(MAX_MANIFEST).await?)?;
        Ok(Version::check(self.pin.digest, manifest)?)
    }

    /// Reads a body up to `len` bytes in all, at the rate of the buckets.
    async fn read(
        &self,
        mut body: http::ResponseBody,
        bytes: &mut BytesMut,
        len: usize,
        buckets: &[&TokenBucket],
        (from, progress): (Remote, &impl Fn()),
    ) -> Result<(), Error> {
        loop {
            body.set_deadline(Instant::now() + PART);
            let Some(piece) = body.next().await? else {
                break;
            };
            progress();
            self.holdings.metrics.received(from, piece.len());
            if bytes.len() + piece.len() > len {
                return Err(Error::Length(bytes.len() + piece.len(), len));
            }
            bytes.extend_from_slice(&piece);
            for bucket in buckets {
                pace(bucket, self.pin.digest, &piece, progress).await;
            }
        }
        match bytes.len() {
            read if read == len => Ok(()),
            read => Err(Error::Length(read, len)),
        }
    }

    /// Returns the buckets of what `peer` sends; the origin (`None`) uses the downlink only.
    fn buckets(&self, peer: Option<&SocketAddr>) -> Vec<&TokenBucket> {
        let mut buckets = vec![&self.holdings.downlink];
        if peer.is_some_and(|peer| !self.holdings.is_near(peer)) {
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

/// A fetch that failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("the version has no chunk {0}")]
    NoChunk(ChunkIndex),
    #[error("the answer's status is {0}")]
    Status(StatusCode),
    #[error("the answer has {0} bytes, but {1} were expected")]
    Length(usize, usize),
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("the request is invalid: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the manifest is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Manifest(#[from] burst::Error),
    #[error("the version `{text}` is not a number")]
    Version { text: String },
}

/// Takes the bytes of `piece` out of the bucket. The wait counts as progress: the sender is not to blame for it.
async fn pace(bucket: &TokenBucket, version: Digest, piece: &Bytes, progress: &impl Fn()) {
    let ticket = bucket.enqueue(version, piece.len() as u64);
    while let Err(wait) = ticket.try_take(Instant::now()) {
        compio::time::sleep(wait.min(Duration::from_millis(500))).await;
        progress();
    }
}

/// Returns what an answer without a chunk says.
fn refused(parts: &response::Parts) -> Answer {
    match parts.status {
        StatusCode::SEE_OTHER => Answer::Holders(holders(&parts.headers)),
        StatusCode::SERVICE_UNAVAILABLE => not_yet(&parts.headers),
        StatusCode::NOT_FOUND => Answer::Unknown(wait(&parts.headers)),
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

fn not_yet(headers: &HeaderMap) -> Answer {
    let wait = wait(headers);
    match number(headers, wire::header::DRAWN_AGE_MS) {
        Some(ms) => Answer::Drawing {
            wait,
            age: Duration::from_millis(ms),
        },
        None => Answer::NotYet(wait),
    }
}

fn wait(headers: &HeaderMap) -> Duration {
    number(headers, wire::header::RETRY_AFTER_MS)
        .map(Duration::from_millis)
        .or_else(|| number(headers, "retry-after").map(Duration::from_secs))
        .unwrap_or(DEFAULT_WAIT)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

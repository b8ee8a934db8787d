//! The chunk port: manifests and chunks for other agents.
//!
//! `GET /chunks/{manifest digest}/{index}` returns the bytes, a redirect to holders (303) or a retry delay (503, or 404
//! for an unknown version). With the header [`ANNOUNCE`](wire::header::ANNOUNCE) it returns 204 instead of the bytes,
//! and with a range (`bytes=0-5119`) a slice. `GET /manifests/{digest}` and `GET /manifests/{model}/{version}` return
//! the manifest as JSON, or 404.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Requester, Response as Decision, UploadSlot};
use bytes::Bytes;
use compio::net::TcpListener;
use futures::stream;
use node::http::{self, Body, Limits, Method, Request, Response, StatusCode, json, response};
use weights::{ChunkIndex, Digest};

use crate::metrics::Remote;
use crate::transfer::Holdings;

/// Maximum time that a shutdown waits for chunks in progress.
///
/// A chunk of 4 MB takes 6.4 s at a quarter of 2.5 MB/s, the rate of the slowest link that a burst is designed for,
/// which is the one between regions.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the start of a shutdown in which connections stay open, so that other agents learn of the shutdown first.
const LINGER: Duration = Duration::from_millis(500);

/// Retry delay for a version whose manifest isn't held yet; the catalogue takes about 1.5 s to spread.
const UNKNOWN_VERSION_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Serves the chunk port on `listener` until `shutdown` resolves, then waits up to 10 s for the chunks in progress.
pub async fn serve(
    listener: TcpListener,
    holdings: Rc<Holdings>,
    shutdown: impl Future<Output = ()>,
) {
    let handler = move |_: SocketAddr, request: Request<Bytes>| {
        let holdings = Rc::clone(&holdings);
        async move { answer(&holdings, &request).await }
    };
    let limits = Limits {
        max_body_bytes: 0,
        port: "chunks",
        drain_timeout: DRAIN_TIMEOUT,
        linger: LINGER,
        ..Limits::default()
    };
    http::serve(listener, limits, handler, shutdown).await;
}

async fn answer(holdings: &Rc<Holdings>, request: &Request<Bytes>) -> Response<Body> {
    if request.method() != Method::GET {
        return response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
    }
    let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    match path[..] {
        ["manifests", digest] => manifest(holdings, digest),
        ["manifests", model, name] => match holdings.named_version(model, name) {
            Some(version) => json(StatusCode::OK, version.manifest()),
            None => not_found(request.uri().path()),
        },
        ["chunks", digest, index] => match (digest.parse(), index.parse()) {
            (Ok(digest), Ok(index)) => chunk(holdings, request, digest, index).await,
            _ => not_found(request.uri().path()),
        },
        _ => not_found(request.uri().path()),
    }
}

fn manifest(holdings: &Holdings, digest: &str) -> Response<Body> {
    let version = digest
        .parse()
        .ok()
        .and_then(|digest| holdings.version(&digest));
    match version {
        Some(version) => json(StatusCode::OK, version.manifest()),
        None => not_found(digest),
    }
}

async fn chunk(
    holdings: &Rc<Holdings>,
    request: &Request<Bytes>,
    digest: Digest,
    index: ChunkIndex,
) -> Response<Body> {
    let Some(requester) = requester(holdings, request) else {
        let text = format!(
            "the header {} is missing or not an address\n",
            wire::header::CHUNK_ADDRESS
        );
        return response(StatusCode::BAD_REQUEST, text);
    };
    let Some(version) = holdings.version(&digest) else {
        return retry_after(StatusCode::NOT_FOUND, UNKNOWN_VERSION_RETRY_DELAY);
    };
    let Some(chunk) = version.manifest().chunks.get(index as usize).copied() else {
        return not_found(request.uri().path());
    };
    let held = match request.headers().contains_key(wire::header::NO_WAIT) {
        true => holdings.contains(&chunk),
        false => holdings.wait_for_chunk(&chunk).await,
    };
    if held && request.headers().contains_key(wire::header::ANNOUNCE) {
        return response(StatusCode::NO_CONTENT, Body::empty());
    }
    let to = holdings.remote(&requester.address);
    let now = Instant::now();
    let slice = version
        .manifest()
        .chunk_len(index)
        .and_then(|length| requested_slice(request, length as usize));
    let decision = match &slice {
        Some(slice) if held && slice.start > 0 => {
            Decision::Send(holdings.uploader.resume(chunk, requester, now))
        }
        _ => holdings.uploader.answer(chunk, held, requester, now),
    };
    match decision {
        Decision::Send(slot) => match holdings.chunk(&chunk) {
            Some(bytes) => send(holdings, digest, &bytes, slice, (slot, to)),
            None => not_yet(UNKNOWN_VERSION_RETRY_DELAY, None),
        },
        Decision::Redirect(holders) => {
            holdings.metrics.redirects.inc();
            let holders: Vec<String> = holders.iter().map(SocketAddr::to_string).collect();
            with_header(
                StatusCode::SEE_OTHER,
                wire::header::HOLDERS,
                &holders.join(","),
            )
        }
        Decision::Wait(delay) => {
            let last_draw = holdings.last_draw(&version, index);
            not_yet(delay, last_draw)
        }
    }
}

fn requester(holdings: &Holdings, request: &Request<Bytes>) -> Option<Requester> {
    let value = request.headers().get(wire::header::CHUNK_ADDRESS)?;
    let address = value.to_str().ok()?.parse().ok()?;
    Some(Requester {
        address,
        same_region: holdings.is_in_region(&address),
    })
}

/// Returns the response with a chunk or a slice of it.
fn send(
    holdings: &Rc<Holdings>,
    version: Digest,
    bytes: &Bytes,
    slice: Option<Range<usize>>,
    (slot, to): (UploadSlot, Remote),
) -> Response<Body> {
    let status = match slice {
        Some(_) => StatusCode::PARTIAL_CONTENT,
        None => StatusCode::OK,
    };
    let slice = slice.unwrap_or(0..bytes.len());
    let ends_chunk = slice.end == bytes.len();
    response(
        status,
        rate_limited_body(
            holdings,
            version,
            bytes.slice(slice),
            (slot, to),
            ends_chunk,
        ),
    )
}

/// Returns the slice requested of a chunk of `length` bytes, or `None` if the request has no valid range.
fn requested_slice(request: &Request<Bytes>, length: usize) -> Option<Range<usize>> {
    let value = request.headers().get(http::header::RANGE)?.to_str().ok()?;
    let (first, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let (first, last) = (first.parse().ok()?, last.parse::<usize>().ok()?);
    (first <= last && last < length).then(|| first..last + 1)
}

/// Returns a body that is sent at the rate of the uplink's bucket. The slot is released when the body ends or is
/// dropped. If `ends_chunk`, the requester is recorded as a holder of the chunk once the body was sent.
fn rate_limited_body(
    holdings: &Rc<Holdings>,
    version: Digest,
    bytes: Bytes,
    (slot, to): (UploadSlot, Remote),
    ends_chunk: bool,
) -> Body {
    let holdings = Rc::clone(holdings);
    Body::stream(stream::unfold(
        (bytes, Some(slot)),
        move |(mut remaining, mut slot)| {
            let holdings = Rc::clone(&holdings);
            async move {
                if remaining.is_empty() {
                    if let Some(slot) = slot.take().filter(|_| ends_chunk) {
                        slot.finish(Instant::now());
                    }
                    return None;
                }
                let piece = remaining.split_to(remaining.len().min(holdings.piece_bytes.max(1)));
                let ticket = holdings.uplink.enqueue(version, piece.len() as u64);
                while let Err(wait) = ticket.try_take(Instant::now()) {
                    compio::time::sleep(wait).await;
                }
                holdings.metrics.record_sent(to, piece.len());
                holdings.record_traffic(|traffic| traffic.to_peers += piece.len() as u64);
                Some((io::Result::Ok(piece), (remaining, slot)))
            }
        },
    ))
}

/// Returns the response for a chunk that isn't held yet or can't be sent now; `last_draw` is the time at which it was
/// last known to be drawn from the origin.
fn not_yet(delay: Duration, last_draw: Option<Instant>) -> Response<Body> {
    let mut response = retry_after(StatusCode::SERVICE_UNAVAILABLE, delay);
    if let Some(last_draw) = last_draw {
        let age = last_draw.elapsed().as_millis() as u64;
        response.headers_mut().insert(
            wire::header::DRAWN_AGE_MS,
            http::header::HeaderValue::from(age),
        );
    }
    response
}

fn retry_after(status: StatusCode, delay: Duration) -> Response<Body> {
    let ms = delay.as_millis().to_string();
    with_header(status, wire::header::RETRY_AFTER_MS, &ms)
}

fn not_found(what: &str) -> Response<Body> {
    response(
        StatusCode::NOT_FOUND,
        format!("{what} is not served here\n"),
    )
}

fn with_header(status: StatusCode, name: &'static str, value: &str) -> Response<Body> {
    let mut response = response(status, Body::empty());
    let value = http::header::HeaderValue::from_str(value)
        .expect("addresses and numbers are valid header values");
    response.headers_mut().insert(name, value);
    response
}

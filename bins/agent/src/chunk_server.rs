//! The chunk port: manifests and chunks for other agents.
//!
//! `GET /chunks/{manifest digest}/{index}` gives the bytes, a redirect to holders (303) or a time to wait (503); with the
//! header [`ANNOUNCE`](wire::header::ANNOUNCE) it gives 204 in place of the bytes, and with a range (`bytes=0-6143`) a slice.
//! `GET /manifests/{digest}` and `GET /manifests/{model}/{version}` give the manifest as JSON, or 404.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Requester, Response as Choice, UploadSlot};
use bytes::Bytes;
use compio::net::TcpListener;
use futures::stream;
use node::http::{self, Body, Limits, Method, Request, Response, StatusCode, json, response};
use weights::{ChunkIndex, Digest};

use crate::metrics::Remote;
use crate::transfer::Holdings;

/// Time that chunks in progress get after a stop began.
///
/// At a quarter of the slowest link that a burst is sized for, 2.5 MB/s between regions, a chunk of 4 MB takes 6.4 s.
const DRAIN: Duration = Duration::from_secs(10);

/// Time after a stop began in which connections stay open: other agents learn of the stop within it.
const LINGER: Duration = Duration::from_millis(500);

/// Time to wait that is given for a version whose manifest isn't known here yet: the catalogue takes about 1.5 s.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// Serves the chunk port on `listener` until `shutdown` resolves, and then up to 10 s until the chunks in progress are
/// sent.
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
        drain_timeout: DRAIN,
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
    let Some(asker) = asker(holdings, request) else {
        let text = format!(
            "the header {} is missing or not an address\n",
            wire::header::CHUNK_ADDRESS
        );
        return response(StatusCode::BAD_REQUEST, text);
    };
    let Some(version) = holdings.version(&digest) else {
        return retry_after(StatusCode::NOT_FOUND, UNKNOWN_WAIT);
    };
    let Some(chunk) = version.manifest().chunks.get(index as usize).copied() else {
        return not_found(request.uri().path());
    };
    let held = holdings.wait_for(&chunk).await;
    if held && request.headers().contains_key(wire::header::ANNOUNCE) {
        return response(StatusCode::NO_CONTENT, Body::empty());
    }
    let to = holdings.remote(&asker.address);
    let now = Instant::now();
    let slice = version
        .manifest()
        .chunk_len(index)
        .and_then(|length| asked_slice(request, length as usize));
    let choice = match &slice {
        Some(slice) if held && slice.start > 0 => {
            Choice::Send(holdings.uploader.resume(chunk, asker, now))
        }
        _ => holdings.uploader.answer(chunk, held, asker, now),
    };
    match choice {
        Choice::Send(slot) => match holdings.chunk(&chunk) {
            Some(bytes) => send(holdings, digest, &bytes, slice, (slot, to)),
            None => not_yet(UNKNOWN_WAIT, None),
        },
        Choice::Redirect(holders) => {
            holdings.metrics.redirects.inc();
            let holders: Vec<String> = holders.iter().map(SocketAddr::to_string).collect();
            with_header(
                StatusCode::SEE_OTHER,
                wire::header::HOLDERS,
                &holders.join(","),
            )
        }
        Choice::Wait(time) => {
            let drawn = holdings.drawn(&version, index);
            not_yet(time, drawn)
        }
    }
}

fn asker(holdings: &Holdings, request: &Request<Bytes>) -> Option<Requester> {
    let value = request.headers().get(wire::header::CHUNK_ADDRESS)?;
    let address = value.to_str().ok()?.parse().ok()?;
    Some(Requester {
        address,
        same_region: holdings.is_near(&address),
    })
}

/// Returns the answer with a chunk or a slice of it.
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
    let last = slice.end == bytes.len();
    response(
        status,
        paced(holdings, version, bytes.slice(slice), (slot, to), last),
    )
}

/// Returns the slice that the asker wants of a chunk of `length` bytes.
fn asked_slice(request: &Request<Bytes>, length: usize) -> Option<Range<usize>> {
    let value = request.headers().get(http::header::RANGE)?.to_str().ok()?;
    let (first, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let (first, last) = (first.parse().ok()?, last.parse::<usize>().ok()?);
    (first <= last && last < length).then(|| first..last + 1)
}

/// Returns a body that follows the uplink's bucket; `last` tells that it ends the chunk. The slot is released when the body
/// ends or is dropped.
fn paced(
    holdings: &Rc<Holdings>,
    version: Digest,
    bytes: Bytes,
    (slot, to): (UploadSlot, Remote),
    last: bool,
) -> Body {
    let holdings = Rc::clone(holdings);
    Body::stream(stream::unfold(
        (bytes, Some(slot)),
        move |(mut rest, mut slot)| {
            let holdings = Rc::clone(&holdings);
            async move {
                if rest.is_empty() {
                    if let Some(slot) = slot.take().filter(|_| last) {
                        slot.finish(Instant::now());
                    }
                    return None;
                }
                let piece = rest.split_to(rest.len().min(holdings.piece_bytes.max(1)));
                let ticket = holdings.uplink.enqueue(version, piece.len() as u64);
                while let Err(wait) = ticket.try_take(Instant::now()) {
                    compio::time::sleep(wait).await;
                }
                holdings.metrics.sent(to, piece.len());
                holdings.count(|traffic| traffic.to_peers += piece.len() as u64);
                Some((io::Result::Ok(piece), (rest, slot)))
            }
        },
    ))
}

/// Returns the answer to a request for a chunk that may come; `drawn` tells when it was last known to be drawn.
fn not_yet(time: Duration, drawn: Option<Instant>) -> Response<Body> {
    let mut response = retry_after(StatusCode::SERVICE_UNAVAILABLE, time);
    if let Some(drawn) = drawn {
        let age = drawn.elapsed().as_millis() as u64;
        response.headers_mut().insert(
            wire::header::DRAWN_AGE_MS,
            http::header::HeaderValue::from(age),
        );
    }
    response
}

fn retry_after(status: StatusCode, time: Duration) -> Response<Body> {
    let ms = time.as_millis().to_string();
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

//! The server side: limits, slow senders and graceful shutdown.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures::future::{Either, FusedFuture, Shared, select};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};

use super::stream::Stream;
use super::{Body, response};
use crate::event;

/// Wait after a failed accept, for example when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Least bytes of a head that the HTTP library can be limited to.
const LEAST_HEAD: usize = 8 << 10;

/// Mark of a response that ends the connection instead of being sent.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
#[error("the handler ended the connection without an answer")]
pub struct Cut;

/// Names and values of headers.
pub type Headers = &'static [(&'static str, &'static str)];

/// Limits of a served port.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most bytes of a request's line and headers; above it the answer is 431.
    ///
    /// A head of more than twice the limit is refused by the HTTP library, without the refusal headers.
    pub header: usize,
    /// Most headers of a request; above it the answer is 431, by the library above twice the limit.
    pub headers: usize,
    /// Most bytes of a request's body; above it the answer is 413.
    pub body: usize,
    /// Time in which a request's body must arrive; the answer to a late one is 408.
    pub receive: Duration,
    /// Time in which a request's headers must arrive on a connection that waits for them; then it is closed.
    pub idle: Duration,
    /// Time that requests in progress get to finish after a shutdown began.
    pub drain: Duration,
    /// Time after a shutdown began in which idle connections stay open and their requests are still answered.
    ///
    /// Closing an idle connection at the moment when a request is written to it leaves that request's outcome unknown
    /// to the caller. A port whose callers learn of the shutdown lingers until they have.
    pub linger: Duration,
    /// Most connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Headers of the port's own refusals (400, 408, 413 and 431), which the handler never sees.
    pub refusal_headers: fn(StatusCode) -> Headers,
}

impl Default for Limits {
    /// Returns 16 KB in 100 headers, 4 MB of body, 10 s for each of headers and body, 60 s to drain, no linger and 4,096
    /// connections.
    fn default() -> Self {
        Self {
            header: 16 << 10,
            headers: 100,
            body: 4 << 20,
            receive: Duration::from_secs(10),
            idle: Duration::from_secs(10),
            drain: Duration::from_secs(60),
            linger: Duration::ZERO,
            connections: 4096,
            refusal_headers: |_| &[],
        }
    }
}

/// Serves HTTP/1.1 on `listener` until `shutdown` resolves and the requests in progress are finished.
///
/// `handler` gets each request with its whole body. When the caller closes its connection, the handler's future is
/// dropped; work that must go on regardless belongs in a task of its own.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    shutdown: impl Future<Output = ()>,
) where
    H: Fn(SocketAddr, Request<Bytes>) -> F + Clone,
    F: Future<Output = Response<Body>>,
{
    serve_with(listener, || limits.clone(), handler, shutdown).await;
}

/// Serves as [`serve`] does, by limits that may change.
///
/// Each request is held to the limits of its arrival, and each connection to the idle time of its start.
pub async fn serve_with<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    handler: H,
    shutdown: impl Future<Output = ()>,
) where
    H: Fn(SocketAddr, Request<Bytes>) -> F + Clone,
    F: Future<Output = Response<Body>>,
{
    let (stop, stopped) = futures::channel::oneshot::channel::<()>();
    let stopped = stopped.map(|_| ()).shared();
    let mut shutdown = pin!(shutdown.fuse());
    let mut connections = FuturesUnordered::new();
    while !shutdown.is_terminated() {
        let full = connections.len() >= limits().connections;
        let mut accept = pin!(accept(&listener, full).fuse());
        loop {
            select_biased! {
                () = shutdown => break,
                _ = connections.select_next_some() => {
                    if full {
                        break;
                    }
                }
                (stream, peer) = accept => {
                    connections.push(connection(stream, peer, &limits, handler.clone(), stopped.clone()));
                    break;
                }
            }
        }
    }
    drop(listener);
    drop(stop);
    drain(connections, limits().drain).await;
}

async fn drain<F: Future>(mut connections: FuturesUnordered<F>, time: Duration) {
    let finish = async { while connections.next().await.is_some() {} };
    if compio::time::timeout(time, finish).await.is_err() {
        crate::event!(event::DRAIN_CUT, open = connections.len());
    }
}

async fn accept(listener: &TcpListener, full: bool) -> (TcpStream, SocketAddr) {
    if full {
        std::future::pending::<()>().await;
    }
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                crate::event!(event::ACCEPT_FAILED, error = error);
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: &impl Fn() -> Limits,
    handler: H,
    stopped: Shared<impl Future<Output = ()>>,
) where
    H: Fn(SocketAddr, Request<Bytes>) -> F,
    F: Future<Output = Response<Body>>,
{
    // An error only means that Nagle's algorithm stays on.
    let _ = stream.set_nodelay(true);
    let stopping = stopped.clone();
    let service = service_fn(|request| {
        let (handler, stopping) = (&handler, &stopping);
        async move {
            let limits = limits();
            let response = match receive(request, &limits).await {
                Ok(request) => handler(peer, request).await,
                Err(status) => refusal(status, (limits.refusal_headers)(status)),
            };
            match response.extensions().get::<Cut>() {
                Some(Cut) => Err(Cut),
                None if stopping.peek().is_some() => Ok(last(response)),
                None => Ok(response),
            }
        }
    });
    let first = limits();
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(first.idle)
        // Between the limit and its double, the port itself refuses the head and names the outcome.
        .max_header_size((2 * first.header).max(LEAST_HEAD))
        .max_headers(2 * first.headers)
        .serve_connection(Stream::new(stream), service);
    let mut connection = pin!(connection);
    let result = match select(connection.as_mut(), stopped).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            let lingering = compio::time::timeout(limits().linger, connection.as_mut());
            match lingering.await {
                Ok(result) => result,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = result {
        crate::event!(event::CONNECTION_FAILED, peer = peer, error = error);
    }
}

/// Returns the request with its whole body, or the status that refuses it.
async fn receive(
    request: Request<Incoming>,
    limits: &Limits,
) -> Result<Request<Bytes>, StatusCode> {
    let (parts, body) = request.into_parts();
    let head_fits = head_size(&parts) <= limits.header && parts.headers.len() <= limits.headers;
    let announced = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<u64>().ok())
        .unwrap_or(0);
    // A moderately large body is read and dropped before the refusal: closing the connection over unread bytes resets
    // it, and the caller would lose the answer.
    if announced > 2 * limits.body as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match compio::time::timeout(limits.receive, collect(body, limits.body)).await {
        _ if !head_fits => Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Ok(Ok(Some(bytes))) => Ok(Request::from_parts(parts, bytes)),
        Ok(Ok(None)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns the bytes of a request's line and headers.
fn head_size(parts: &Parts) -> usize {
    // `METHOD target HTTP/1.1` and each `name: value` end with two bytes, as does the head.
    let line = parts.method.as_str().len() + 1 + parts.uri.to_string().len() + 11;
    let headers = parts.headers.iter();
    let fields: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    line + fields + 2
}

/// Reads a body; returns `None` when it is longer than `limit`.
async fn collect(mut body: Incoming, limit: usize) -> Result<Option<Bytes>, hyper::Error> {
    let mut whole = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        length += piece.len();
        match length {
            _ if length > 2 * limit => return Ok(None),
            _ if length > limit => whole.clear(),
            _ => whole.extend_from_slice(&piece),
        }
    }
    Ok((length <= limit).then(|| whole.freeze()))
}

fn refusal(status: StatusCode, headers: Headers) -> Response<Body> {
    let mut refusal = last(response(status, ""));
    for (name, value) in headers {
        let name = header::HeaderName::from_static(name);
        refusal
            .headers_mut()
            .insert(name, header::HeaderValue::from_static(value));
    }
    refusal
}

/// Marks the last response of a connection.
fn last(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(
        header::CONNECTION,
        header::HeaderValue::from_static("close"),
    );
    response
}

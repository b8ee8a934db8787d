//! HTTP server with limits, timeouts for slow clients and graceful shutdown.

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

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// Smallest limit on the head, in bytes, that hyper accepts.
const MIN_HEAD_LIMIT: usize = 8 << 10;

/// Response extension that makes the server close the connection instead of sending the response.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
#[error("the handler closed the connection without a response")]
pub struct Abort;

/// Header names and values that are known at compile time.
pub type StaticHeaders = &'static [(&'static str, &'static str)];

/// Limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of the request line and headers, in bytes; a larger head gets status 431.
    ///
    /// hyper itself refuses a head of more than twice the limit, without the refusal headers.
    pub max_head_bytes: usize,
    /// Maximum number of request headers; more get status 431.
    ///
    /// hyper itself refuses more than twice the limit, without the refusal headers.
    pub max_headers: usize,
    /// Maximum size of the request body, in bytes; a larger body gets status 413.
    pub max_body_bytes: usize,
    /// Timeout for receiving the request body; a late body gets status 408.
    pub body_timeout: Duration,
    /// Timeout for receiving the request headers on a new or idle connection, after which it is closed.
    pub header_timeout: Duration,
    /// Maximum time that a shutdown waits for requests in progress.
    pub drain_timeout: Duration,
    /// Time after the start of a shutdown in which idle connections stay open and requests on them are still served.
    ///
    /// If an idle connection is closed while the caller writes a request to it, the outcome of that request is unknown
    /// to the caller. A server whose callers are informed of the shutdown lingers until they are.
    pub linger: Duration,
    /// Maximum number of connections; further ones wait in the listener's backlog.
    pub max_connections: usize,
    /// Headers of the server's own error responses (400, 408, 413 and 431), which don't go through the handler.
    pub refusal_headers: fn(StatusCode) -> StaticHeaders,
}

impl Default for Limits {
    /// Returns the default limits: 16 KB and 100 headers, 4 MB of body, 10 s each for headers and body, 60 s to drain,
    /// no linger time and 4,096 connections.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_headers: 100,
            max_body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(10),
            header_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(60),
            linger: Duration::ZERO,
            max_connections: 4096,
            refusal_headers: |_| &[],
        }
    }
}

/// Serves HTTP/1.1 on `listener` until `shutdown` resolves and the requests in progress have finished.
///
/// `handler` receives each request with its complete body. When the caller closes its connection, the handler's future
/// is dropped; work that must continue regardless needs its own task.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    shutdown: impl Future<Output = ()>,
) where
    H: Fn(SocketAddr, Request<Bytes>) -> F + Clone,
    F: Future<Output = Response<Body>>,
{
    serve_with_dynamic_limits(listener, || limits.clone(), handler, shutdown).await;
}

/// Serves like [`serve`], with limits that may change at run time.
///
/// The limits at the time of its arrival apply to each request; the `header_timeout` and the limits that hyper enforces
/// are those at the start of the connection.
pub async fn serve_with_dynamic_limits<H, F>(
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
        let full = connections.len() >= limits().max_connections;
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
                    connections.push(serve_connection(stream, peer, &limits, handler.clone(), stopped.clone()));
                    break;
                }
            }
        }
    }
    drop(listener);
    drop(stop);
    drain(connections, limits().drain_timeout).await;
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
                compio::time::sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: &impl Fn() -> Limits,
    handler: H,
    stopped: Shared<impl Future<Output = ()>>,
) where
    H: Fn(SocketAddr, Request<Bytes>) -> F,
    F: Future<Output = Response<Body>>,
{
    // If this fails, Nagle's algorithm merely stays enabled.
    let _ = stream.set_nodelay(true);
    let stopping = stopped.clone();
    let service = service_fn(|request| {
        let (handler, stopping) = (&handler, &stopping);
        async move {
            let limits = limits();
            let response = match receive_request(request, &limits).await {
                Ok(request) => handler(peer, request).await,
                Err(status) => refusal_response(status, (limits.refusal_headers)(status)),
            };
            match response.extensions().get::<Abort>() {
                Some(Abort) => Err(Abort),
                None if stopping.peek().is_some() => Ok(with_connection_close(response)),
                None => Ok(response),
            }
        }
    });
    let initial_limits = limits();
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(initial_limits.header_timeout)
        // Up to twice the limit, the server itself refuses the head, so that the response has the refusal headers.
        .max_header_size((2 * initial_limits.max_head_bytes).max(MIN_HEAD_LIMIT))
        .max_headers(2 * initial_limits.max_headers)
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

/// Returns the request with its complete body, or the status of the refusal.
async fn receive_request(
    request: Request<Incoming>,
    limits: &Limits,
) -> Result<Request<Bytes>, StatusCode> {
    let (parts, body) = request.into_parts();
    let head_fits =
        head_size(&parts) <= limits.max_head_bytes && parts.headers.len() <= limits.max_headers;
    let content_length = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<u64>().ok())
        .unwrap_or(0);
    // A body of up to twice the limit is read and discarded before the refusal: closing a connection with unread bytes
    // resets it, and the caller would lose the response.
    if content_length > 2 * limits.max_body_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match compio::time::timeout(
        limits.body_timeout,
        collect_body(body, limits.max_body_bytes),
    )
    .await
    {
        _ if !head_fits => Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Ok(Ok(Some(bytes))) => Ok(Request::from_parts(parts, bytes)),
        Ok(Ok(None)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns the size of the request line and headers, in bytes.
fn head_size(parts: &Parts) -> usize {
    // `METHOD target HTTP/1.1`, each `name: value` and the head itself end with CRLF.
    let line = parts.method.as_str().len() + 1 + parts.uri.to_string().len() + 11;
    let headers = parts.headers.iter();
    let fields: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    line + fields + 2
}

/// Reads a body; returns `None` if it is longer than `limit`.
async fn collect_body(mut body: Incoming, limit: usize) -> Result<Option<Bytes>, hyper::Error> {
    let mut collected = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        length += piece.len();
        match length {
            _ if length > 2 * limit => return Ok(None),
            _ if length > limit => collected.clear(),
            _ => collected.extend_from_slice(&piece),
        }
    }
    Ok((length <= limit).then(|| collected.freeze()))
}

fn refusal_response(status: StatusCode, headers: StaticHeaders) -> Response<Body> {
    let mut refusal_response = with_connection_close(response(status, ""));
    for (name, value) in headers {
        let name = header::HeaderName::from_static(name);
        refusal_response
            .headers_mut()
            .insert(name, header::HeaderValue::from_static(value));
    }
    refusal_response
}

/// Adds `connection: close`, which marks the last response of a connection.
fn with_connection_close(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(
        header::CONNECTION,
        header::HeaderValue::from_static("close"),
    );
    response
}

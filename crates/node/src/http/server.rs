//! HTTP server with limits, timeouts for slow clients and graceful shutdown.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures::future::{Either, FusedFuture, Shared, select};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};

use super::admission::{Admission, Connection, Reason, Reservation};
use super::blocks::Blocks;
use super::connections::Phase;
use super::intake::Bounds;
use super::stream::Stream;
use super::{Body, Metrics, response};
use crate::event;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// Smallest limit on the head, in bytes, that hyper accepts.
const MIN_HEAD_LIMIT: usize = 8 << 10;

/// Bytes that hyper may buffer beyond the largest head that it accepts. Its own default allows 417 KB for each connection.
const READ_AHEAD_BYTES: usize = 8 << 10;

/// Bytes that are discarded after a refusal: closing a connection with unread bytes resets it, and the caller would lose
/// the response.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Maximum time for which they are awaited.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks for connections that stand still, while the port is full or has many unfinished heads.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Default number of connections of a port, if the descriptors allow it.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum number of connections of a port that serves health checks, operators or other entries.
const MAX_INTERNAL_CONNECTIONS: usize = 256;
/// Default memory for the bodies of a port, in bytes. The smallest VMs have 112 MB, of which unfinished responses of
/// targets may take 36 MB.
const BODY_MEMORY: usize = 24 << 20;
/// Default memory for unfinished heads, in bytes.
const HEAD_MEMORY: usize = 32 << 20;
/// Default time without progress after which an unfinished request may give way to others.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body at a port that takes no bodies of its own, in bytes.
const INTERNAL_BODY_BYTES: usize = 16 << 10;
/// Value of `Retry-After` when there is no memory for a request, in seconds.
const RETRY_AFTER_S: &str = "1";

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
    /// Maximum number of connections; further ones wait in the listener's backlog until one ends or gives way.
    pub max_connections: usize,
    /// Memory for all request bodies together, in bytes; one body of up to `max_body_bytes` may exceed it.
    pub body_memory: usize,
    /// Memory for all unfinished heads together, in bytes.
    pub head_memory: usize,
    /// Time without progress after which an unfinished request gives way if others need its memory or its connection.
    pub stall_timeout: Duration,
    /// Name of the port in events and metrics.
    pub port: &'static str,
    /// Metrics of the server.
    pub metrics: Metrics,
    /// Headers of the server's own error responses (400, 408, 413, 431 and 503), which don't go through the handler.
    pub refusal_headers: fn(StatusCode) -> StaticHeaders,
}

impl Default for Limits {
    /// Returns the default limits: 16 KB and 100 headers, 4 MB of body, 10 s each for headers and body, 60 s to drain,
    /// no linger time, 24 MB for bodies and 32 MB for unfinished heads, and 4,096 connections, or five eighths of the
    /// descriptors if that is less.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_headers: 100,
            max_body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(10),
            header_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(60),
            linger: Duration::ZERO,
            max_connections: MAX_CONNECTIONS.min(max_descriptors() / 8 * 5),
            body_memory: BODY_MEMORY,
            head_memory: HEAD_MEMORY,
            stall_timeout: STALL_TIMEOUT,
            port: "http",
            metrics: Metrics::default(),
            refusal_headers: |_| &[],
        }
    }
}

impl Limits {
    /// Returns the limits of a port that takes no bodies and serves health checks, operators or other processes of the
    /// system. Its share of the descriptors and memory is small and its own, so that callers can't take it.
    pub fn internal(port: &'static str, metrics: &Metrics) -> Self {
        Self {
            max_body_bytes: INTERNAL_BODY_BYTES,
            max_connections: MAX_INTERNAL_CONNECTIONS.min(max_descriptors() / 16),
            body_memory: MAX_INTERNAL_CONNECTIONS * INTERNAL_BODY_BYTES,
            port,
            metrics: metrics.clone(),
            ..Self::default()
        }
    }

    /// Returns the number of unfinished heads that fit into `head_memory`.
    fn max_heads(&self) -> usize {
        self.head_memory / self.buffer_bytes()
    }

    /// Returns the most that hyper buffers for one connection, in bytes.
    fn buffer_bytes(&self) -> usize {
        (2 * self.max_head_bytes).max(MIN_HEAD_LIMIT) + READ_AHEAD_BYTES
    }
}

/// Returns the number of descriptors that the process may open, or the largest number if it isn't known.
fn max_descriptors() -> usize {
    static LIMIT: OnceLock<usize> = OnceLock::new();
    *LIMIT.get_or_init(|| {
        let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let line = limits
            .lines()
            .find_map(|line| line.strip_prefix("Max open files"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(usize::MAX)
    })
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
    let admission = admission(limits());
    while !shutdown.is_terminated() {
        let full = connections.len() >= limits().max_connections;
        let checked = full || admission.needs_checks();
        if checked {
            admission.relieve(full, Instant::now());
        }
        let mut accept = pin!(accept(&listener, full).fuse());
        let mut check = pin!(next_check(checked).fuse());
        loop {
            select_biased! {
                () = shutdown => break,
                _ = connections.select_next_some() => {
                    if full {
                        break;
                    }
                }
                (stream, peer) = accept => {
                    let connection = admission.connect(peer);
                    connections.push(serve_connection(stream, connection, &limits, handler.clone(), stopped.clone()));
                    break;
                }
                () = check => break,
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

fn admission(limits: Limits) -> Rc<Admission> {
    let max_heads = limits.max_heads();
    let bounds = Bounds {
        capacity: limits.body_memory,
        stall: limits.stall_timeout,
    };
    Admission::new(limits.port, bounds, max_heads, limits.metrics)
}

async fn next_check(checked: bool) {
    match checked {
        true => compio::time::sleep(CHECK_INTERVAL).await,
        false => std::future::pending().await,
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
    connection: Rc<Connection>,
    limits: &impl Fn() -> Limits,
    handler: H,
    stopped: Shared<impl Future<Output = ()>>,
) where
    H: Fn(SocketAddr, Request<Bytes>) -> F,
    F: Future<Output = Response<Body>>,
{
    let socket = stream.clone();
    let requests = serve_requests(stream, &connection, limits, handler, stopped);
    if let Either::Right(_) = select(pin!(requests), pin!(connection.closing())).await {
        return;
    }
    if connection.is_refused() {
        discard(socket).await;
    }
}

/// Discards what arrives after a refusal.
async fn discard(mut socket: TcpStream) {
    let read_all = async {
        let mut discarded = 0;
        let mut buffer = Vec::with_capacity(MIN_HEAD_LIMIT);
        while discarded < MAX_DISCARDED_BYTES {
            buffer.clear();
            let BufResult(read, returned) = socket.read(buffer).await;
            buffer = returned;
            match read {
                Ok(length @ 1..) => discarded += length,
                Ok(0) | Err(_) => break,
            }
        }
    };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, read_all).await;
}

async fn serve_requests<H, F>(
    stream: TcpStream,
    connection: &Rc<Connection>,
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
            let response = match receive_request(request, &limits, connection).await {
                Ok((request, reservation)) => {
                    let guard = connection.begin(reservation);
                    let response = handler(connection.peer(), request).await;
                    response.map(|body| body.with_guard(guard))
                }
                Err(reason) => {
                    connection.refuse(reason);
                    refusal_response(reason.status(), limits.refusal_headers)
                }
            };
            match response.extensions().get::<Abort>() {
                Some(Abort) => Err(Abort),
                None if stopping.peek().is_some() => Ok(with_connection_close(response)),
                None => Ok(response),
            }
        }
    });
    let initial_limits = limits();
    let served = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(initial_limits.header_timeout)
        // Up to twice the limit, the server itself refuses the head, so that the response has the refusal headers.
        .max_header_size((2 * initial_limits.max_head_bytes).max(MIN_HEAD_LIMIT))
        .max_headers(2 * initial_limits.max_headers)
        .max_buf_size(initial_limits.buffer_bytes())
        .serve_connection(Stream::accepted(stream, Rc::clone(connection)), service);
    let mut served = pin!(served);
    let result = match select(served.as_mut(), stopped).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            let lingering = compio::time::timeout(limits().linger, served.as_mut());
            match lingering.await {
                Ok(result) => result,
                Err(_) => {
                    served.as_mut().graceful_shutdown();
                    served.await
                }
            }
        }
    };
    if let Err(error) = result {
        crate::event!(
            event::CONNECTION_FAILED,
            peer = connection.peer(),
            error = error
        );
    }
}

/// Returns the request with its complete body and the memory reserved for it, or the reason of the refusal.
async fn receive_request(
    request: Request<Incoming>,
    limits: &Limits,
    connection: &Connection,
) -> Result<(Request<Bytes>, Option<Reservation>), Reason> {
    connection.enter(Phase::Body);
    let (parts, body) = request.into_parts();
    let head_fits =
        head_size(&parts) <= limits.max_head_bytes && parts.headers.len() <= limits.max_headers;
    if !head_fits {
        return Err(Reason::Head);
    }
    if body.is_end_stream() {
        return Ok((Request::from_parts(parts, Bytes::new()), None));
    }
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(Reason::TooLarge);
    }
    let reservation = connection.reservation();
    let received = collect_body(body, limits.max_body_bytes, connection, &reservation);
    let received = compio::time::timeout(limits.body_timeout, received).await;
    let bytes = received.unwrap_or(Err(Reason::Late))?;
    Ok((Request::from_parts(parts, bytes), Some(reservation)))
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

/// Reads a body of up to `limit` bytes. Memory is reserved before it is allocated.
async fn collect_body(
    mut body: Incoming,
    limit: usize,
    connection: &Connection,
    reservation: &Reservation,
) -> Result<Bytes, Reason> {
    let mut collected = Blocks::default();
    let mut reserved = 0;
    if let Some(length) = body.size_hint().exact() {
        // The caller of this function has compared the length with the limit.
        reserved = length as usize;
        reservation.grow(reserved).await?;
        collected = Blocks::with_capacity(length as usize);
    }
    while let Some(frame) = next_frame(&mut body, reservation).await? {
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if collected.length() + piece.len() > limit {
            return Err(Reason::TooLarge);
        }
        let memory = collected.memory_for(piece.len());
        if memory > reserved {
            reservation.grow(memory).await?;
            reserved = memory;
        }
        collected.extend(&piece);
        if reservation.receive(piece.len()) {
            connection.enter(Phase::Body);
        }
    }
    let bytes = collected.into_bytes();
    if bytes.len() < reserved {
        reservation.grow(bytes.len()).await?;
    }
    Ok(bytes)
}

/// Returns the next part of `body`, or `None` at its end.
async fn next_frame(
    body: &mut Incoming,
    reservation: &Reservation,
) -> Result<Option<hyper::body::Frame<Bytes>>, Reason> {
    match select(pin!(body.frame()), pin!(reservation.yielding())).await {
        Either::Left((frame, _)) => frame.transpose().map_err(|_| Reason::Malformed),
        Either::Right(_) => Err(Reason::Stalled),
    }
}

fn refusal_response(
    status: StatusCode,
    headers: fn(StatusCode) -> StaticHeaders,
) -> Response<Body> {
    let mut refusal_response = with_connection_close(response(status, ""));
    let set = refusal_response.headers_mut();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = header::HeaderValue::from_static(RETRY_AFTER_S);
        set.insert(header::RETRY_AFTER, seconds);
    }
    for (name, value) in headers(status) {
        let name = header::HeaderName::from_static(name);
        set.insert(name, header::HeaderValue::from_static(value));
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

//! HTTP client with deadlines, whose errors distinguish requests that were never written from those that may have run.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use futures::stream;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::pool::{Connection, Pool};
use super::stream::Stream;
use super::{Body, informational};

/// Maximum size of the head of a response in bytes, and of what is buffered of a body that isn't being read. A peer that
/// sends a head without end fills this for each connection.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An HTTP/1.1 client with a pool of keep-alive connections per address; clones share the pool.
///
/// A connection is only reused after its last response was read to the end before the deadline.
#[derive(Clone, Default)]
pub struct Client {
    pool: Pool,
    connect_timeout: Option<Duration>,
    single_use: bool,
}

/// A request without a complete response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No byte of the request was written, so it did not run.
    #[error("request to {peer} not written: {reason}")]
    NotWritten {
        /// Address of the peer.
        peer: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The request may have been written in whole or in part, so it may have run.
    #[error("no complete response from {peer}: {reason}")]
    Unknown {
        /// Address of the peer.
        peer: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
}

/// Body of a response.
///
/// Dropping it before its end closes the connection. The connection of a response with an empty body is only returned
/// to the pool when the body is dropped, so that [`ResponseBody::close`] can still close it.
pub struct ResponseBody {
    peer: SocketAddr,
    first_on_connection: bool,
    deadline: Instant,
    body: Incoming,
    /// The connection, and the pool to return it to.
    lease: Option<(Connection, Option<Pool>)>,
    /// Time after which the peer closes the connection when it is idle, if known.
    idle: Option<Duration>,
}

impl Client {
    /// Returns a client with an empty connection pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the timeout for establishing a connection; by default only the request's deadline applies.
    pub fn with_connect_timeout(mut self, time: Duration) -> Self {
        self.connect_timeout = Some(time);
        self
    }

    /// Closes each connection after its response, because idle connections count against the peer's connection limit.
    pub fn without_keep_alive(mut self) -> Self {
        self.single_use = true;
        self
    }

    /// Sends `request` to `peer` and returns the response, whose body is read separately.
    ///
    /// The deadline also applies to reading the body, unless [`ResponseBody::set_deadline`] changes it. A `host` header
    /// is added if missing. The request's URI should contain only the path and query.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotWritten`] or [`Error::Unknown`], the latter also for a response whose status is not that of a
    /// final response.
    pub async fn send(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, Error> {
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::try_from(peer.to_string()).expect("an address is a valid host");
            request.headers_mut().insert(HOST, host);
        }
        loop {
            let (mut connection, is_new) = match self.pool.take(peer).await {
                Some(connection) => (connection, false),
                None => {
                    let limit = self.connect_timeout.map(|time| Instant::now() + time);
                    let limit = limit.map_or(deadline, |limit| limit.min(deadline));
                    (connect(peer, limit).await?, true)
                }
            };
            let limit_reached = informational::limit_reached(&mut request);
            let sent = pin!(connection.sender.try_send_request(request));
            let sent = select(sent, limit_reached);
            match compio::time::timeout_at(deadline, sent).await {
                Ok(Either::Right(_)) => {
                    return Err(unknown_error(
                        peer,
                        &"too many informational responses (1xx)",
                    ));
                }
                Ok(Either::Left((Ok(response), _))) if !is_final(response.status()) => {
                    let reason = format_args!("{} is no final status", response.status().as_u16());
                    return Err(unknown_error(peer, &reason));
                }
                Ok(Either::Left((Ok(response), _))) => {
                    let pool = (!self.single_use).then(|| self.pool.clone());
                    let lease = Some((connection, pool));
                    let idle = keep_alive_timeout(response.headers());
                    return Ok(response.map(|body| ResponseBody {
                        peer,
                        first_on_connection: is_new,
                        deadline,
                        body,
                        lease,
                        idle,
                    }));
                }
                Ok(Either::Left((Err(mut error), _))) => match error.take_message() {
                    // The peer closed the idle connection; try the next one, at last a new one.
                    Some(message) if !is_new => request = message,
                    Some(_) => return Err(not_written_error(peer, &error.error())),
                    None => return Err(unknown_error(peer, &error.error())),
                },
                Err(_) => return Err(unknown_error(peer, &"the deadline passed")),
            }
        }
    }
}

async fn connect(peer: SocketAddr, deadline: Instant) -> Result<Connection, Error> {
    let attempt = async {
        let stream = crate::connect(peer)
            .await
            .map_err(|e| not_written_error(peer, &e))?;
        http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(Stream::new(stream))
            .await
            .map_err(|error| not_written_error(peer, &error))
    };
    let (sender, connection) = compio::time::timeout_at(deadline, attempt)
        .await
        .map_err(|_| not_written_error(peer, &"the deadline passed while connecting"))??;
    let task = compio::runtime::spawn(async move {
        // The pending request also receives the error of a broken connection.
        let _ = connection.await;
    });
    Ok(Connection::new(sender, task))
}

impl ResponseBody {
    /// Changes the deadline for the rest of the body.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the body is truncated or the deadline passes; the connection is closed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            // A piece that is already available always wins against the timer below, which then never fires.
            if Instant::now() >= self.deadline {
                return Err(self.close_with_error(&"the deadline passed within the body"));
            }
            let frame = match compio::time::timeout_at(self.deadline, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    self.release();
                    return Ok(None);
                }
                Ok(Some(Err(error))) => return Err(self.close_with_error(&error)),
                Err(_) => return Err(self.close_with_error(&"the deadline passed within the body")),
            };
            if let Ok(piece) = frame.into_data() {
                return Ok(Some(piece));
            }
        }
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the body is truncated or too long or the deadline passes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut collected = BytesMut::new();
        while let Some(piece) = self.next().await? {
            self.append(&mut collected, &piece, limit)?;
        }
        Ok(collected.freeze())
    }

    /// Reads the rest of the body, with a timeout of `stall` for each piece. Returns `None` and closes the connection if it
    /// is longer than `limit` bytes, without reading it if its length was announced.
    ///
    /// A large body on a busy link may take longer than the deadline for a response to begin. Aborting a partly read
    /// body and requesting it again would only add load to the link. The deadline of the request therefore no longer
    /// applies; `max_time` limits the whole read. `received` is called after each piece.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the body is truncated, stalls or takes longer than `max_time`.
    pub async fn collect_with_stall_timeout(
        mut self,
        limit: usize,
        stall: Duration,
        max_time: Duration,
        received: impl Fn(),
    ) -> Result<Option<Bytes>, Error> {
        let end = Instant::now() + max_time;
        let mut collected = BytesMut::new();
        let announced = self.body.size_hint().lower();
        if announced > limit as u64 {
            return Ok(None);
        }
        loop {
            self.set_deadline(end.min(Instant::now() + stall));
            let Some(piece) = self.next().await? else {
                return Ok(Some(collected.freeze()));
            };
            received();
            if collected.len() + piece.len() > limit {
                return Ok(None);
            }
            collected.extend_from_slice(&piece);
        }
    }

    /// Returns whether no other request was sent on the connection before.
    pub fn is_first_on_connection(&self) -> bool {
        self.first_on_connection
    }

    /// Returns whether the body is known to have been read to its end.
    pub fn is_end(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Closes the connection, even if the body has been read to its end.
    pub fn close(mut self) {
        self.lease = None;
    }

    /// Converts the rest into a [`Body`] for forwarding; if this body is truncated, the forwarded one is, too.
    pub fn into_body(self) -> Body {
        Body::stream(stream::unfold(Some(self), |answer| async {
            let mut answer = answer?;
            match answer.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(answer))),
                Ok(None) => None,
                Err(error) => Some((Err(io::Error::other(error)), None)),
            }
        }))
    }

    fn append(
        &mut self,
        collected: &mut BytesMut,
        piece: &Bytes,
        limit: usize,
    ) -> Result<(), Error> {
        if collected.len() + piece.len() > limit {
            return Err(self.close_with_error(&format_args!("the body exceeds {limit} bytes")));
        }
        collected.extend_from_slice(piece);
        Ok(())
    }

    fn release(&mut self) {
        if let Some((connection, Some(pool))) = self.lease.take() {
            pool.put(self.peer, connection, self.idle);
        }
    }

    fn close_with_error(&mut self, reason: &dyn Display) -> Error {
        self.lease = None;
        unknown_error(self.peer, reason)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.release();
        }
    }
}

/// Returns whether a response with `status` ends a request (RFC 9110, section 15).
///
/// 101 would switch the connection to another protocol, which no request asks for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns the idle timeout in a `Keep-Alive` header such as `timeout=5`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn not_written_error(peer: SocketAddr, reason: &dyn Display) -> Error {
    Error::NotWritten {
        peer,
        reason: reason.to_string(),
    }
}

fn unknown_error(peer: SocketAddr, reason: &dyn Display) -> Error {
    Error::Unknown {
        peer,
        reason: reason.to_string(),
    }
}

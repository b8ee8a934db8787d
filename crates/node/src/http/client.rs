//! The client side: what failed before and after the request was written, and deadlines.

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
use hyper::{Request, Response};

use super::pool::{Connection, Pool};
use super::stream::Stream;
use super::{Body, interim};

/// An HTTP/1.1 client with keep-alive connections per address; clones share them.
///
/// A connection is used again only after an answer was read to its end in time.
#[derive(Clone, Default)]
pub struct Client {
    pool: Pool,
    connect_time: Option<Duration>,
    single_use: bool,
}

/// A request without a whole answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No byte of the request was written: it did not run.
    #[error("request to {peer} not written: {reason}")]
    NotWritten {
        /// Address that was tried.
        peer: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The request may have been written, in whole or in part: it may have run.
    #[error("no whole answer from {peer}: {reason}")]
    Unknown {
        /// Address that was called.
        peer: SocketAddr,
        /// What failed.
        reason: String,
    },
}

/// Body of an answer.
///
/// Dropping it before its end closes the connection. The connection of an answer without a body is used again once the
/// answer is dropped, so that [`Answer::close`] can still close it.
pub struct Answer {
    peer: SocketAddr,
    deadline: Instant,
    body: Incoming,
    /// The connection, and the pool to which it goes back.
    lease: Option<(Connection, Option<Pool>)>,
    /// Time for which the other end keeps the connection open once it is idle.
    idle: Option<Duration>,
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the time in which a connection must come about; without it only the request's deadline does.
    pub fn with_connect_time(mut self, time: Duration) -> Self {
        self.connect_time = Some(time);
        self
    }

    /// Closes each connection after its answer: an idle one would count against the other end's limit.
    pub fn without_reuse(mut self) -> Self {
        self.single_use = true;
        self
    }

    /// Sends `request` to `peer` and returns the head of the answer, at the latest at `deadline`.
    ///
    /// The deadline also holds for the answer's body, until [`Answer::set_deadline`]. A `host` header is added when
    /// absent. The request's URI should hold only the path and query.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotWritten`] or [`Error::Unknown`].
    pub async fn send(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Answer>, Error> {
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::try_from(peer.to_string()).expect("an address is a valid host");
            request.headers_mut().insert(HOST, host);
        }
        loop {
            let (mut connection, fresh) = match self.pool.take(peer).await {
                Some(connection) => (connection, false),
                None => {
                    let limit = self.connect_time.map(|time| Instant::now() + time);
                    let limit = limit.map_or(deadline, |limit| limit.min(deadline));
                    (connect(peer, limit).await?, true)
                }
            };
            let too_many = interim::too_many(&mut request);
            let sent = pin!(connection.sender.try_send_request(request));
            let sent = select(sent, too_many);
            match compio::time::timeout_at(deadline, sent).await {
                Ok(Either::Right(_)) => {
                    return Err(unknown(peer, &"interim answers come without end"));
                }
                Ok(Either::Left((Ok(response), _))) => {
                    let pool = (!self.single_use).then(|| self.pool.clone());
                    let lease = Some((connection, pool));
                    let idle = idle_time(response.headers());
                    return Ok(response.map(|body| Answer {
                        peer,
                        deadline,
                        body,
                        lease,
                        idle,
                    }));
                }
                Ok(Either::Left((Err(mut error), _))) => match error.take_message() {
                    // The peer closed an idle connection; a new one decides.
                    Some(message) if !fresh => request = message,
                    Some(_) => return Err(not_written(peer, &error.error())),
                    None => return Err(unknown(peer, &error.error())),
                },
                Err(_) => return Err(unknown(peer, &"the deadline passed")),
            }
        }
    }
}

async fn connect(peer: SocketAddr, deadline: Instant) -> Result<Connection, Error> {
    let attempt = async {
        let stream = crate::connect(peer)
            .await
            .map_err(|e| not_written(peer, &e))?;
        http1::handshake(Stream::new(stream))
            .await
            .map_err(|error| not_written(peer, &error))
    };
    let (sender, connection) = compio::time::timeout_at(deadline, attempt)
        .await
        .map_err(|_| not_written(peer, &"the deadline passed while connecting"))??;
    let task = compio::runtime::spawn(async move {
        // The error of a broken connection also reaches the request.
        let _ = connection.await;
    });
    Ok(Connection::new(sender, task))
}

impl Answer {
    /// Moves the deadline of the rest of the body.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the body is cut or the deadline passes; the connection is closed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            // Pieces that are always there already would win against the deadline for ever.
            if Instant::now() >= self.deadline {
                return Err(self.fail(&"the deadline passed within the body"));
            }
            let frame = match compio::time::timeout_at(self.deadline, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    self.release();
                    return Ok(None);
                }
                Ok(Some(Err(error))) => return Err(self.fail(&error)),
                Err(_) => return Err(self.fail(&"the deadline passed within the body")),
            };
            if let Ok(piece) = frame.into_data() {
                return Ok(Some(piece));
            }
        }
    }

    /// Returns the whole rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the body is cut or too long or the deadline passes.
    pub async fn bytes(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await? {
            self.append(&mut whole, &piece, limit)?;
        }
        Ok(whole.freeze())
    }

    /// Returns the whole rest of the body, of at most `limit` bytes, if no piece takes longer than `stall` to come.
    ///
    /// A long body on a busy link takes longer than any call should take to begin its answer. Giving it up half-read and
    /// asking again would only fill the link further. The deadline of the request no longer holds; `longest` does.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the body is cut or too long, stalls or takes longer than `longest`.
    pub async fn steady_bytes(
        mut self,
        limit: usize,
        stall: Duration,
        longest: Duration,
    ) -> Result<Bytes, Error> {
        let end = Instant::now() + longest;
        let mut whole = BytesMut::new();
        loop {
            self.set_deadline(end.min(Instant::now() + stall));
            let Some(piece) = self.next().await? else {
                return Ok(whole.freeze());
            };
            self.append(&mut whole, &piece, limit)?;
        }
    }

    /// Tells whether the body is known to have been read to its end.
    pub fn is_end(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Closes the connection, even when the answer has no body left to read.
    pub fn close(mut self) {
        self.lease = None;
    }

    /// Turns the rest into a body that can be served; a cut stays a cut.
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

    fn append(&mut self, whole: &mut BytesMut, piece: &Bytes, limit: usize) -> Result<(), Error> {
        if whole.len() + piece.len() > limit {
            return Err(self.fail(&format_args!("the body exceeds {limit} bytes")));
        }
        whole.extend_from_slice(piece);
        Ok(())
    }

    fn release(&mut self) {
        if let Some((connection, Some(pool))) = self.lease.take() {
            pool.put(self.peer, connection, self.idle);
        }
    }

    fn fail(&mut self, reason: &dyn Display) -> Error {
        self.lease = None;
        unknown(self.peer, reason)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.release();
        }
    }
}

/// Reads the time from a `Keep-Alive` header such as `timeout=5`.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn not_written(peer: SocketAddr, reason: &dyn Display) -> Error {
    Error::NotWritten {
        peer,
        reason: reason.to_string(),
    }
}

fn unknown(peer: SocketAddr, reason: &dyn Display) -> Error {
    Error::Unknown {
        peer,
        reason: reason.to_string(),
    }
}

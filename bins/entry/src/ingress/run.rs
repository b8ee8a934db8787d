//! One target's run of a stream.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use dispatch::Failure;
use futures::future::{Either, select};
use node::event;
use node::http::{HeaderMap, Response, ResponseBody, StatusCode};

use super::call::Call;
use super::events::Splitter;
use super::gateway::Gateway;
use super::placed::Placed;

/// Longest answer of a target that isn't a stream, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// A stream whose first events have arrived.
pub(super) struct Opened {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) feed: Feed,
    pub(super) first: Bytes,
    pub(super) ended: bool,
}

/// The beginning of a target's answer.
pub(super) enum Beginning {
    Stream(Box<Opened>),
    /// The target answered with something else than a stream.
    Other(Response<Bytes>),
}

/// The events of one target's answer.
pub(super) struct Feed {
    body: ResponseBody,
    events: Splitter,
    /// Version of the weights that they are made from, where the answer told.
    pub(super) version: Option<u64>,
    /// When the last events came.
    pub(super) heard: Instant,
}

/// A run that gives events.
pub(super) struct Run {
    pub(super) placed: Placed,
    pub(super) feed: Feed,
}

/// Sends a request to its place and waits for the first whole event, as long as the target's weights may begin it.
///
/// # Errors
///
/// Returns why there is no answer that may be passed on.
pub(super) async fn begin(
    gateway: &Rc<Gateway>,
    call: &Call,
    placed: &Placed,
    last_event: Option<u64>,
) -> Result<Beginning, Failure> {
    let outdated = gateway.outdated(placed.place().request);
    let beginning = pin!(exchange(gateway, call, placed, last_event));
    match select(beginning, outdated).await {
        Either::Left((beginning, _)) => beginning,
        Either::Right(_) => Err(Failure::Outdated),
    }
}

async fn exchange(
    gateway: &Rc<Gateway>,
    call: &Call,
    placed: &Placed,
    last_event: Option<u64>,
) -> Result<Beginning, Failure> {
    let limit = call.deadline;
    let place = placed.place();
    let answered = gateway.attempt(call, placed, limit, last_event).await?;
    let headers = platform::response::forwarded_headers(&answered.headers);
    if !answered.status.is_success() {
        let body = answered.body.collect(MAX_ANSWER).await;
        let mut response = Response::new(body.map_err(|_| Failure::Broken)?);
        *response.status_mut() = answered.status;
        *response.headers_mut() = headers;
        return Ok(Beginning::Other(response));
    }
    let version = answered.head.version;
    let wanted = place.work.weights_version;
    if wanted.is_some() && version.is_some() && version != wanted {
        return Err(Failure::Misdirected);
    }
    let mut feed = Feed {
        body: answered.body,
        events: Splitter::after(last_event),
        version,
        heard: Instant::now(),
    };
    let first = feed.next(limit, &place.target).await?;
    placed.started(version);
    gateway.check_version(call, placed, version);
    Ok(Beginning::Stream(Box::new(Opened {
        status: answered.status,
        headers,
        feed,
        ended: first.is_none(),
        first: first.unwrap_or_default(),
    })))
}

impl Feed {
    /// Returns the next whole events of `target`, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks off, is malformed or gives none by `limit`.
    pub(super) async fn next(
        &mut self,
        limit: Instant,
        target: &str,
    ) -> Result<Option<Bytes>, Failure> {
        self.body.set_deadline(limit);
        loop {
            match self.body.next().await {
                Ok(Some(piece)) => match self.events.push(&piece) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        self.heard = Instant::now();
                        return Ok(Some(events));
                    }
                    Err(error) => {
                        event!(event::STREAM_MALFORMED, target = target, error = error);
                        return Err(Failure::Broken);
                    }
                },
                Ok(None) => {
                    let rest = self.events.finish().ok_or(Failure::Broken)?;
                    return Ok(Some(rest).filter(|rest| !rest.is_empty()));
                }
                Err(_) if Instant::now() >= limit => return Err(Failure::Late),
                Err(_) => return Err(Failure::Broken),
            }
        }
    }

    /// Returns the id of the last event that was given out, or after which the stream goes on.
    pub(super) fn last(&self) -> Option<u64> {
        self.events.last()
    }
}

impl Opened {
    /// Leaves out the events up to `last`, which another run gave meanwhile.
    pub(super) fn skip_to(&mut self, last: Option<u64>) {
        self.first = self.feed.events.skip_to(last, &self.first);
    }
}

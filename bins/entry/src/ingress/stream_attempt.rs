//! A single attempt at a stream.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use dispatch::Failure;
use futures::future::{Either, select};
use node::event;
use node::http::header::{self, HeaderValue};
use node::http::{HeaderMap, Response, ResponseBody, StatusCode};

use super::buffering::{self, BufferReservation};
use super::call::Call;
use super::events::Splitter;
use super::gateway::Gateway;
use super::placed::PlacedRequest;

/// A stream whose first events have arrived, or that ended without any.
pub(super) struct OpenStream {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) events: EventStream,
    pub(super) first_events: Bytes,
    pub(super) ended: bool,
}

/// The start of a target's response.
pub(super) enum InitialResponse {
    Stream(Box<OpenStream>),
    /// The target responded with an error status instead of a stream.
    Other(Response<Bytes>),
}

/// The events of one target's response.
pub(super) struct EventStream {
    body: ResponseBody,
    splitter: Splitter,
    /// Memory for the event that is still incomplete.
    reservation: BufferReservation,
    /// Id of the request.
    request: String,
    /// Version of the weights that generate the events, if the response states it.
    pub(super) version: Option<u64>,
    /// When the last events arrived.
    pub(super) last_event_at: Instant,
}

/// An attempt that sends events.
pub(super) struct StreamAttempt {
    pub(super) placed: PlacedRequest,
    pub(super) events: EventStream,
}

/// Sends a request to its target and waits for the first whole event of the response.
///
/// The attempt fails if the stream must not begin any more before that event arrives: the target's weights have become
/// too old, or a part of the prompt was quarantined.
///
/// # Errors
///
/// Returns why there is no response to forward.
pub(super) async fn begin(
    gateway: &Rc<Gateway>,
    call: &Call,
    placed: &PlacedRequest,
    last_event: Option<u64>,
) -> Result<InitialResponse, Failure> {
    let cancelled = gateway.watch_cancel(placed.place().request);
    let response = pin!(open(gateway, call, placed, last_event));
    match select(response, cancelled).await {
        Either::Left((response, _)) => response,
        Either::Right((failure, _)) => Err(failure.unwrap_or(Failure::Outdated)),
    }
}

/// Sends a request to a target that is to continue the stream of `call` after the event `last`, which the caller has
/// received in a response with the `content_type`.
///
/// # Errors
///
/// Returns why the target can't continue the stream, as [`begin`] does. A response with an error status, of another
/// type, or that doesn't begin with the next event is a failure: no byte of it belongs to the stream.
pub(super) async fn resume(
    gateway: &Rc<Gateway>,
    call: &Call,
    placed: &PlacedRequest,
    last: Option<u64>,
    content_type: Option<&HeaderValue>,
) -> Result<Box<OpenStream>, Failure> {
    let opened = match begin(gateway, call, placed, last).await? {
        InitialResponse::Stream(opened) => opened,
        InitialResponse::Other(_) => return Err(Failure::Error),
    };
    let found = opened.headers.get(header::CONTENT_TYPE);
    let of_another_type = found
        .zip(content_type)
        .is_some_and(|(found, expected)| media_type(found) != media_type(expected));
    let error = match opened.events.last() > last {
        true if !of_another_type => return Ok(opened),
        true => "the resumed stream has another content type",
        false => "the resumed stream doesn't begin with the next event",
    };
    let target = &placed.place().target;
    event!(event::STREAM_MALFORMED, target = target, error = error);
    Err(Failure::Broken)
}

async fn open(
    gateway: &Rc<Gateway>,
    call: &Call,
    placed: &PlacedRequest,
    last_event: Option<u64>,
) -> Result<InitialResponse, Failure> {
    let deadline = call.deadline;
    let place = placed.place();
    let target_response = gateway.attempt(call, placed, deadline, last_event).await?;
    let mut headers = platform::response::forwarded_headers(&target_response.headers);
    if !target_response.status.is_success() {
        let body = buffering::collect(gateway, call, placed, target_response.body).await?;
        let mut response = Response::new(body);
        *response.status_mut() = target_response.status;
        *response.headers_mut() = headers;
        return Ok(InitialResponse::Other(response));
    }
    // Another target may continue the stream with more or fewer bytes.
    headers.remove(header::CONTENT_LENGTH);
    let version = target_response.head.version;
    let required = place.work.weights_version;
    if required.is_some() && version.is_some() && version != required {
        return Err(Failure::OtherWeights);
    }
    let mut events = EventStream {
        body: target_response.body,
        splitter: Splitter::after(last_event),
        reservation: BufferReservation::new(&gateway.buffered),
        request: call.caller.id.clone(),
        version,
        last_event_at: Instant::now(),
    };
    let first = events.next(deadline, &place.target).await?;
    if !events.splitter.has_events() && !is_framed(&target_response.headers) {
        let error = "the connection was closed before the first event";
        event!(
            event::STREAM_MALFORMED,
            target = place.target,
            error = error
        );
        return Err(Failure::Broken);
    }
    placed.record_first_event(version);
    let now = Instant::now();
    event!(
        event::STREAM_BEGUN,
        request = call.caller.id,
        target = place.target,
        rank = place.work.priority,
        prompt = place.work.prompt_tokens,
        attempt = place.work.tried_targets.len(),
        placed_ms = placed.age(now).as_millis(),
        age_ms = now.saturating_duration_since(call.arrived).as_millis(),
        objective_ms = call.objective.as_millis()
    );
    gateway.check_version(call, placed, version);
    Ok(InitialResponse::Stream(Box::new(OpenStream {
        status: target_response.status,
        headers,
        events,
        ended: first.is_none(),
        first_events: first.unwrap_or_default(),
    })))
}

impl EventStream {
    /// Returns the next whole events of `target`, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream is interrupted, is malformed or yields no event by `deadline`.
    pub(super) async fn next(
        &mut self,
        deadline: Instant,
        target: &str,
    ) -> Result<Option<Bytes>, Failure> {
        self.body.set_deadline(deadline);
        let malformed = |error| {
            event!(event::STREAM_MALFORMED, target = target, error = error);
            Failure::Broken
        };
        loop {
            if let Some(error) = self.splitter.error() {
                return Err(malformed(error));
            }
            match self.body.next().await {
                Ok(Some(chunk)) => {
                    let events = self.splitter.push(&chunk).map_err(malformed)?;
                    let incomplete = self.splitter.buffered_len();
                    if !self.reservation.resize(incomplete) {
                        buffering::log_too_large(target, &self.request, incomplete);
                        return Err(Failure::Broken);
                    }
                    if !events.is_empty() {
                        self.last_event_at = Instant::now();
                        return Ok(Some(events));
                    }
                }
                Ok(None) => {
                    let rest = self.splitter.finish().ok_or(Failure::Broken)?;
                    return Ok(Some(rest).filter(|rest| !rest.is_empty()));
                }
                Err(_) if Instant::now() >= deadline => return Err(Failure::Late),
                Err(_) => return Err(Failure::Broken),
            }
        }
    }

    /// Returns whether another target may resume the stream after [`EventStream::last`].
    pub(super) fn is_resumable(&self) -> bool {
        self.splitter.is_resumable()
    }

    /// Returns the id of the last event that was returned, or after which the stream resumes.
    pub(super) fn last(&self) -> Option<u64> {
        self.splitter.last()
    }
}

impl OpenStream {
    /// Skips the events up to `last`, which another attempt sent in the meantime.
    pub(super) fn skip_through(&mut self, last: Option<u64>) {
        self.first_events = self.events.splitter.skip_through(last, &self.first_events);
    }
}

/// Returns whether a response declares the end of its body. Otherwise the body ends when the connection is closed.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the media type of a `Content-Type` value in lower case, without its parameters.
fn media_type(content_type: &HeaderValue) -> Option<String> {
    let media_type = content_type.to_str().ok()?.split(';').next()?;
    Some(media_type.trim().to_ascii_lowercase())
}

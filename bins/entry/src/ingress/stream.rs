//! Requests whose responses are streams of server-sent events.
//!
//! Only whole events are forwarded. If a target fails during a stream that may be resumed, another target with the same
//! weights resumes after the last event, and the caller sees a single response. An attempt that has only stalled, or
//! whose engine is about to load other weights, continues until a replacement sends events, because there may be no
//! replacement.

use std::future::pending;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::{Failure, Outcome, RequestContext};
use futures::channel::oneshot;
use futures::future::LocalBoxFuture;
use futures::stream::unfold;
use futures::{FutureExt, select_biased};
use node::event;
use node::http::header::{self, HeaderValue};
use node::http::{Body, Response};

use super::call::Call;
use super::disconnect::DisconnectGuard;
use super::error::RequestError;
use super::gateway::Gateway;
use super::hedge::{self, FailedAttempt, HEDGE_RETRY_INTERVAL};
use super::placed::PlacedRequest;
use super::stream_attempt::{self, InitialResponse, OpenStream, StreamAttempt};
use crate::in_progress::InProgress;

/// Multiple of the route's latency objective after which a target that has sent no event is hedged.
const FIRST_EVENT_HEDGE_FACTOR: u32 = 3;
/// Multiple of the route's maximum event gap after which a stream counts as stalled.
const STALL_FACTOR: u32 = 4;

/// An attempt that is to replace the current one.
struct Replacement {
    /// Resolves to the first events of the replacement, or to its failure.
    opening: LocalBoxFuture<'static, Result<(PlacedRequest, Box<OpenStream>), FailedAttempt>>,
    cause: Cause,
}

/// Why a stream needs a replacement attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// The engine is about to load other weights.
    Moved,
    /// The target has sent no events for the stall time.
    Stalled,
}

/// What happened first while waiting for a streaming attempt.
enum Step {
    Events(Bytes),
    Ended,
    Failed(Failure),
    /// The scheduler moved the stream to another place.
    Moved(PlacedRequest),
    /// No events arrived for the stall time.
    Stalled,
    /// The replacement sent its first events or failed.
    ReplacementReady(Result<(PlacedRequest, Box<OpenStream>), FailedAttempt>),
}

/// Why no target began a stream.
enum OpenError {
    /// A target responded with an error status.
    Answered(Response<Bytes>),
    /// No target answered.
    Unanswered(RequestError),
}

impl From<RequestError> for OpenError {
    fn from(error: RequestError) -> Self {
        Self::Unanswered(error)
    }
}

/// A response body that forwards a stream to the caller; dropping it ends the attempt on the target.
struct ResumableStream {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    attempt: StreamAttempt,
    /// Content type of the response to the caller.
    content_type: Option<HeaderValue>,
    /// The request to submit if the attempt fails.
    work: RequestContext,
    first_events: Bytes,
    ended: bool,
    /// When to look for a second target if no events arrive before.
    hedge_at: Instant,
    /// Receives the new place if the scheduler moves the stream.
    moved: Option<oneshot::Receiver<PlacedRequest>>,
    replacement: Option<Replacement>,
    disconnect_guard: DisconnectGuard,
    _guard: InProgress,
}

/// Serves a request whose response is a stream.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: Call, guard: InProgress) -> Response<Body> {
    let mut disconnect_guard = DisconnectGuard::new(gateway, &call);
    let last = call.caller.last_event;
    let opened = gateway.until_cutoff(&call, open(gateway, &call, call.work(), last));
    let opened = match opened.await {
        Ok(opened) => opened,
        Err(error) => Err(OpenError::Unanswered(error)),
    };
    let (placed, opened) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            disconnect_guard.disarm();
            return match error {
                OpenError::Answered(response) => response.map(Body::from),
                OpenError::Unanswered(error) => gateway.fail_request(&call, &error),
            };
        }
    };
    disconnect_guard.set_target(&placed.place().target);
    gateway.metrics.observe_first_byte(call.arrived.elapsed());
    let mut response = Response::new(Body::empty());
    *response.status_mut() = opened.status;
    response.headers_mut().clone_from(&opened.headers);
    let stream = ResumableStream::new(gateway, call, placed, opened, disconnect_guard, guard);
    *response.body_mut() = stream.into_body();
    response
}

/// Tries targets until one sends its first events.
async fn open(
    gateway: &Rc<Gateway>,
    call: &Call,
    work: RequestContext,
    last_event: Option<u64>,
) -> Result<(PlacedRequest, OpenStream), OpenError> {
    let mut last_possible_run = None;
    let mut next = gateway.submit(work).await;
    loop {
        let begin = async |placed: &PlacedRequest| {
            stream_attempt::begin(gateway, call, placed, last_event).await
        };
        let hedge_delay = call.objective * FIRST_EVENT_HEDGE_FACTOR;
        let (failure, work) = match hedge::attempt(next?, hedge_delay, begin).await {
            Ok((placed, InitialResponse::Stream(opened))) => return Ok((placed, *opened)),
            Ok((placed, InitialResponse::Other(response))) => {
                placed.fail(Failure::Error);
                return Err(OpenError::Answered(response));
            }
            Err(failed) => failed,
        };
        next = gateway
            .retry_or_fail(call, work, failure, &mut last_possible_run)
            .await;
    }
}

impl ResumableStream {
    fn new(
        gateway: &Rc<Gateway>,
        call: Call,
        placed: PlacedRequest,
        opened: OpenStream,
        disconnect_guard: DisconnectGuard,
        guard: InProgress,
    ) -> Self {
        let moved = gateway.watch_move(placed.place().request);
        Self {
            gateway: Rc::clone(gateway),
            hedge_at: Instant::now() + stall_time(&call),
            call: Rc::new(call),
            content_type: opened.headers.get(header::CONTENT_TYPE).cloned(),
            work: placed.place().work.clone(),
            attempt: StreamAttempt {
                placed,
                events: opened.events,
            },
            first_events: opened.first_events,
            ended: opened.ended,
            moved: Some(moved),
            replacement: None,
            disconnect_guard,
            _guard: guard,
        }
    }

    fn into_body(self) -> Body {
        Body::stream(unfold(Some(self), |stream| async {
            let mut stream = stream?;
            match stream.next().await {
                Ok(Some(events)) => Some((Ok(events), Some(stream))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    /// Returns the next events for the caller and records the progress of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let next = self.advance().await;
        match &next {
            Ok(Some(_)) => self
                .disconnect_guard
                .record_event(self.attempt.events.last()),
            Ok(None) | Err(_) => self.disconnect_guard.disarm(),
        }
        next
    }

    /// Returns the next events for the caller, switching targets when one fails.
    async fn advance(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if !self.first_events.is_empty() {
                return Ok(Some(std::mem::take(&mut self.first_events)));
            }
            if self.ended {
                self.finish();
                return Ok(None);
            }
            match self.step().await {
                Step::Events(events) => {
                    self.record_progress();
                    return Ok(Some(events));
                }
                Step::Ended => self.ended = true,
                Step::Failed(failure) => self.resume(failure).await?,
                Step::Moved(placed) => {
                    self.moved = None;
                    self.start_replacement(placed, Cause::Moved);
                }
                Step::Stalled => self.hedge(),
                Step::ReplacementReady(result) => self.finish_replacement(result),
            }
        }
    }

    /// Waits for the first of: events, a replacement, a move, a stall.
    async fn step(&mut self) -> Step {
        let may_hedge = self.replacement.is_none()
            && self.work.may_repeat()
            && self.attempt.events.is_resumable();
        let hedge_at = may_hedge.then_some(self.hedge_at);
        let deadline = self.call.deadline;
        let target = &self.attempt.placed.place().target;
        let mut next = pin!(self.attempt.events.next(deadline, target).fuse());
        let mut moved = pin!(receive_move(&mut self.moved).fuse());
        let mut opened = pin!(replacement_opened(&mut self.replacement).fuse());
        let mut stalled = pin!(sleep_until(hedge_at).fuse());
        select_biased! {
            events = next => match events {
                Ok(Some(events)) => Step::Events(events),
                Ok(None) => Step::Ended,
                Err(failure) => Step::Failed(failure),
            },
            result = opened => Step::ReplacementReady(result),
            placed = moved => Step::Moved(placed),
            () = stalled => Step::Stalled,
        }
    }

    /// Restarts the stall timer after events arrived and cancels a replacement that was started because of a stall.
    fn record_progress(&mut self) {
        let now = Instant::now();
        self.hedge_at = now + stall_time(&self.call);
        self.attempt.placed.record_progress(now);
        self.replacement = self
            .replacement
            .take()
            .filter(|replacement| replacement.cause == Cause::Moved);
    }

    /// Starts a second attempt while a stalled one continues, if a target has room.
    fn hedge(&mut self) {
        let silence = self.attempt.events.last_event_at.elapsed();
        self.hedge_at = Instant::now() + HEDGE_RETRY_INTERVAL;
        if let Some(placed) = self.attempt.placed.hedge(self.resumable_work(), silence) {
            self.start_replacement(placed, Cause::Stalled);
        }
    }

    /// Starts a replacement that resumes after the last event while the current attempt continues.
    fn start_replacement(&mut self, placed: PlacedRequest, cause: Cause) {
        if !self.attempt.events.is_resumable() {
            return;
        }
        self.work = placed.place().work.clone();
        let (gateway, call) = (Rc::clone(&self.gateway), Rc::clone(&self.call));
        let last = self.attempt.events.last();
        let content_type = self.content_type.clone();
        let opening = async move {
            match stream_attempt::resume(&gateway, &call, &placed, last, content_type.as_ref())
                .await
            {
                Ok(opened) => Ok((placed, opened)),
                Err(failure) => Err((failure, placed.end(Outcome::Failed(failure)))),
            }
        };
        self.replacement = Some(Replacement {
            opening: opening.boxed_local(),
            cause,
        });
    }

    /// Switches to the replacement if it sent events, and otherwise stays with the current attempt.
    fn finish_replacement(
        &mut self,
        result: Result<(PlacedRequest, Box<OpenStream>), FailedAttempt>,
    ) {
        let cause = self.replacement.take().map(|replacement| replacement.cause);
        self.hedge_at = Instant::now() + stall_time(&self.call);
        if let Ok((placed, opened)) = result
            && self.attempt.events.is_resumable()
        {
            let reason = match cause {
                Some(Cause::Moved) => "moved",
                Some(Cause::Stalled) | None => Failure::Late.name(),
            };
            self.switch_to(placed, opened, reason);
        }
    }

    /// Resumes at another target after the current attempt failed, or aborts the response.
    async fn resume(&mut self, failure: Failure) -> io::Result<()> {
        self.attempt.placed.fail(failure);
        if !self.attempt.events.is_resumable() {
            return Err(self.abort(failure.name()));
        }
        self.moved = None;
        let replaced = match self.replacement.take() {
            Some(replacement) => Some(replacement.opening.await),
            None => None,
        };
        let next = match replaced {
            Some(Ok(opened)) => Some(opened),
            Some(Err((failure, work))) => self.reopen(work, failure).await,
            None => self.reopen(self.resumable_work(), failure).await,
        };
        match next {
            Some((placed, opened)) => {
                self.switch_to(placed, opened, failure.name());
                Ok(())
            }
            None => Err(self.abort(failure.name())),
        }
    }

    /// Tries targets until one resumes after the last event.
    async fn reopen(
        &self,
        mut work: RequestContext,
        mut failure: Failure,
    ) -> Option<(PlacedRequest, Box<OpenStream>)> {
        let last = self.attempt.events.last();
        let content_type = self.content_type.as_ref();
        let resume = async |placed: &PlacedRequest| {
            stream_attempt::resume(&self.gateway, &self.call, placed, last, content_type).await
        };
        loop {
            let placed = self.gateway.retry(work, failure).await?.ok()?;
            match hedge::attempt(placed, stall_time(&self.call), resume).await {
                Ok(opened) => return Some(opened),
                Err(failed) => (failure, work) = failed,
            }
        }
    }

    /// Returns the request for resumption, restricted to targets with the same weights.
    fn resumable_work(&self) -> RequestContext {
        RequestContext {
            weights_version: self.attempt.events.version,
            ..self.work.clone()
        }
    }

    /// Switches to another attempt, skipping the events that the current one sent in the meantime.
    fn switch_to(
        &mut self,
        placed: PlacedRequest,
        mut opened: Box<OpenStream>,
        reason: &'static str,
    ) {
        let last = self.attempt.events.last();
        opened.skip_through(last);
        let target = &placed.place().target;
        event!(
            event::STREAM_RESUMED,
            request = self.call.caller.id,
            from = self.attempt.placed.place().target,
            to = target,
            after = last.unwrap_or_default(),
            reason = reason
        );
        self.gateway.metrics.count_resumed_stream();
        self.disconnect_guard.set_target(target);
        self.moved = Some(self.gateway.watch_move(placed.place().request));
        self.work = placed.place().work.clone();
        self.first_events = opened.first_events;
        self.ended = opened.ended;
        self.hedge_at = Instant::now() + stall_time(&self.call);
        // Drops the previous attempt, which is recorded as abandoned unless it has failed.
        self.attempt = StreamAttempt {
            placed,
            events: opened.events,
        };
    }

    /// Logs and counts a response that ends before its last event, and returns the error that aborts its body.
    fn abort(&mut self, reason: &'static str) -> io::Error {
        let now = Instant::now();
        let call = &self.call;
        event!(
            event::STREAM_CUT,
            request = call.caller.id,
            target = self.attempt.placed.place().target,
            failure = reason,
            after = self.attempt.events.last().unwrap_or_default(),
            age_ms = now.saturating_duration_since(call.arrived).as_millis(),
            left_ms = call.deadline.saturating_duration_since(now).as_millis()
        );
        self.gateway.metrics.count_cut_stream();
        io::Error::other(reason)
    }

    fn finish(&mut self) {
        event!(
            event::STREAM_ENDED,
            request = self.call.caller.id,
            target = self.attempt.placed.place().target,
            ms = self.call.arrived.elapsed().as_millis(),
            last = self.attempt.events.last().unwrap_or_default()
        );
        self.attempt.placed.answered();
    }
}

/// Returns the new place once the scheduler moves the stream; never resolves otherwise.
async fn receive_move(moved: &mut Option<oneshot::Receiver<PlacedRequest>>) -> PlacedRequest {
    if let Some(receiver) = moved
        && let Ok(placed) = receiver.await
    {
        return placed;
    }
    pending().await
}

/// Returns the first events of the replacement, or its failure; never resolves without a replacement.
async fn replacement_opened(
    replacement: &mut Option<Replacement>,
) -> Result<(PlacedRequest, Box<OpenStream>), FailedAttempt> {
    match replacement {
        Some(replacement) => (&mut replacement.opening).await,
        None => pending().await,
    }
}

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => compio::time::sleep_until(time).await,
        None => pending().await,
    }
}

fn stall_time(call: &Call) -> Duration {
    call.max_event_gap * STALL_FACTOR
}

//! Requests whose answers are series of events.
//!
//! Only whole events are passed on. When a target fails within a stream that may be resumed, another one with the same
//! weights goes on after the last event, and the caller sees one answer. A run that is only silent, or whose engine is
//! about to load other weights, goes on until another one gives events: there may be no other one.

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
use node::http::{Body, Response};

use super::call::Call;
use super::end::End;
use super::gateway::Gateway;
use super::hedge::{self, Failed, LOOK_AGAIN};
use super::placed::Placed;
use super::run::{self, Beginning, Opened, Run};
use super::unfinished::Unfinished;
use crate::in_progress::InProgress;

/// Multiple of the objective after which a second target is tried beside one that gave no event.
const FIRST_EVENT: u32 = 3;
/// Multiple of the longest pause in time after which another target is tried beside one that is silent.
const STALLED: u32 = 4;

/// Where a stream goes on.
struct Successor {
    /// The first events of the target that goes on.
    opening: LocalBoxFuture<'static, Result<(Placed, Beginning), Failed>>,
    cause: Cause,
}

/// Why a stream is to go on elsewhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// Its engine is about to load other weights.
    Moved,
    /// Its target is silent.
    Stalled,
}

/// What happens next to a run.
enum Step {
    Events(Bytes),
    End,
    Failed(Failure),
    /// The run has to go on at another place.
    Moved(Placed),
    /// No events came for a time after which another target may do better.
    Stalled,
    /// The successor gave its first events, or failed.
    Succeeded(Result<(Placed, Beginning), Failed>),
}

/// A stream on its way to the caller; dropping it ends the target's run.
struct Relay {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    run: Run,
    /// What is left to do if the run fails.
    work: RequestContext,
    first: Bytes,
    ended: bool,
    /// When to look for another target if no events come before.
    look: Instant,
    /// Where the run learns that it has to go on elsewhere.
    moved: Option<oneshot::Receiver<Placed>>,
    successor: Option<Successor>,
    unfinished: Unfinished,
    _guard: InProgress,
}

/// Serves a request whose answer is a stream.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: Call, guard: InProgress) -> Response<Body> {
    let mut unfinished = Unfinished::new(gateway, &call);
    let mut kept = None;
    let last = call.caller.last_event;
    let (placed, opened) = match open(gateway, &call, call.work(), last, &mut kept).await {
        Ok(opened) => opened,
        Err(end) => {
            unfinished.finish();
            return match kept {
                Some(response) => response.map(Body::from),
                None => gateway.give_up(&call, end),
            };
        }
    };
    unfinished.answered_by(&placed.place().target);
    gateway.metrics.answered(call.arrived.elapsed());
    let mut response = Response::new(Body::empty());
    *response.status_mut() = opened.status;
    response.headers_mut().clone_from(&opened.headers);
    let relay = Relay::new(gateway, call, placed, opened, unfinished, guard);
    *response.body_mut() = relay.into_body();
    response
}

/// Tries targets until one sends its first events; a failure that a target answered with is left in `kept`.
async fn open(
    gateway: &Rc<Gateway>,
    call: &Call,
    work: RequestContext,
    last_event: Option<u64>,
    kept: &mut Option<Response<Bytes>>,
) -> Result<(Placed, Opened), End> {
    let mut ran = None;
    let mut next = gateway.submit(work).await;
    loop {
        let begin = async |placed: &Placed| run::begin(gateway, call, placed, last_event).await;
        let patience = call.objective * FIRST_EVENT;
        let (failure, work) = match hedge::attempt(next?, patience, begin).await {
            Ok((placed, Beginning::Stream(opened))) => return Ok((placed, *opened)),
            Ok((placed, Beginning::Other(response))) => {
                placed.fail(Failure::Error);
                *kept = Some(response);
                return Err(End::MayHaveRun(Failure::Error));
            }
            Err(failed) => failed,
        };
        next = gateway.submit_again(call, work, failure, &mut ran).await;
    }
}

impl Relay {
    fn new(
        gateway: &Rc<Gateway>,
        call: Call,
        placed: Placed,
        opened: Opened,
        unfinished: Unfinished,
        guard: InProgress,
    ) -> Self {
        let moved = gateway.moves(placed.place().request);
        Self {
            gateway: Rc::clone(gateway),
            look: Instant::now() + stall_time(&call),
            call: Rc::new(call),
            work: placed.place().work.clone(),
            run: Run {
                placed,
                feed: opened.feed,
            },
            first: opened.first,
            ended: opened.ended,
            moved: Some(moved),
            successor: None,
            unfinished,
            _guard: guard,
        }
    }

    fn into_body(self) -> Body {
        Body::stream(unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(events), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    /// Returns the next events for the caller, and notes how far the answer is.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let next = self.advance().await;
        match &next {
            Ok(Some(_)) => self.unfinished.passed(self.run.feed.last()),
            Ok(None) | Err(_) => self.unfinished.finish(),
        }
        next
    }

    /// Returns the next events for the caller, from another target where one fails.
    async fn advance(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if !self.first.is_empty() {
                return Ok(Some(std::mem::take(&mut self.first)));
            }
            if self.ended {
                self.end();
                return Ok(None);
            }
            match self.step().await {
                Step::Events(events) => {
                    self.heard();
                    return Ok(Some(events));
                }
                Step::End => self.ended = true,
                Step::Failed(failure) => self.resume(failure).await?,
                Step::Moved(placed) => {
                    self.moved = None;
                    self.succeed(placed, Cause::Moved);
                }
                Step::Stalled => self.look_beside(),
                Step::Succeeded(result) => self.take_over(result),
            }
        }
    }

    /// Waits for what comes first.
    async fn step(&mut self) -> Step {
        let look = (self.successor.is_none() && self.work.may_repeat()).then_some(self.look);
        let deadline = self.call.deadline;
        let target = &self.run.placed.place().target;
        let mut next = pin!(self.run.feed.next(deadline, target).fuse());
        let mut moved = pin!(received(&mut self.moved).fuse());
        let mut opened = pin!(opened(&mut self.successor).fuse());
        let mut silent = pin!(silent_at(look).fuse());
        select_biased! {
            events = next => match events {
                Ok(Some(events)) => Step::Events(events),
                Ok(None) => Step::End,
                Err(failure) => Step::Failed(failure),
            },
            result = opened => Step::Succeeded(result),
            placed = moved => Step::Moved(placed),
            () = silent => Step::Stalled,
        }
    }

    /// Notes that events came: a successor of a silent run isn't needed any more.
    fn heard(&mut self) {
        self.look = Instant::now() + stall_time(&self.call);
        self.successor = self
            .successor
            .take()
            .filter(|successor| successor.cause == Cause::Moved);
    }

    /// Looks for another target beside one that is silent.
    fn look_beside(&mut self) {
        let silence = self.run.feed.heard.elapsed();
        self.look = Instant::now() + LOOK_AGAIN;
        if let Some(placed) = self.run.placed.beside(self.resumable_work(), silence) {
            self.succeed(placed, Cause::Stalled);
        }
    }

    /// Lets another target begin after the last event, while the run goes on.
    fn succeed(&mut self, placed: Placed, cause: Cause) {
        self.work = placed.place().work.clone();
        let (gateway, call) = (Rc::clone(&self.gateway), Rc::clone(&self.call));
        let last = self.run.feed.last();
        let opening = async move {
            match run::begin(&gateway, &call, &placed, last).await {
                Ok(beginning) => Ok((placed, beginning)),
                Err(failure) => Err((failure, placed.end(Outcome::Failed(failure)))),
            }
        };
        self.successor = Some(Successor {
            opening: opening.boxed_local(),
            cause,
        });
    }

    /// Goes on with the successor's run if it gives events, else with the present one.
    fn take_over(&mut self, result: Result<(Placed, Beginning), Failed>) {
        let cause = self.successor.take().map(|successor| successor.cause);
        self.look = Instant::now() + stall_time(&self.call);
        match result {
            Ok((placed, Beginning::Stream(opened))) => {
                let reason = match cause {
                    Some(Cause::Moved) => "moved",
                    Some(Cause::Stalled) | None => Failure::Late.name(),
                };
                self.go_on(placed, *opened, reason);
            }
            Ok((placed, Beginning::Other(_))) => placed.fail(Failure::Error),
            Err(_) => {}
        }
    }

    /// Goes on at another target after the run failed, or cuts the answer.
    async fn resume(&mut self, failure: Failure) -> io::Result<()> {
        self.run.placed.fail(failure);
        self.moved = None;
        let succeeded = match self.successor.take() {
            Some(successor) => Some(successor.opening.await),
            None => None,
        };
        let next = match succeeded {
            Some(Ok((placed, Beginning::Stream(opened)))) => Some((placed, *opened)),
            Some(Ok((placed, Beginning::Other(_)))) => {
                placed.fail(Failure::Error);
                None
            }
            Some(Err((failure, work))) => self.open_again(work, failure).await,
            None => self.open_again(self.resumable_work(), failure).await,
        };
        match next {
            Some((placed, opened)) => {
                self.go_on(placed, opened, failure.name());
                Ok(())
            }
            None => Err(self.cut(failure.name())),
        }
    }

    /// Tries targets until one goes on after the last event.
    async fn open_again(
        &self,
        mut work: RequestContext,
        mut failure: Failure,
    ) -> Option<(Placed, Opened)> {
        let last = self.run.feed.last();
        let begin =
            async |placed: &Placed| run::begin(&self.gateway, &self.call, placed, last).await;
        loop {
            let placed = self.gateway.retry(work, failure).await?.ok()?;
            match hedge::attempt(placed, stall_time(&self.call), begin).await {
                Ok((placed, Beginning::Stream(opened))) => return Some((placed, *opened)),
                Ok((placed, Beginning::Other(_))) => {
                    placed.fail(Failure::Error);
                    return None;
                }
                Err(failed) => (failure, work) = failed,
            }
        }
    }

    /// Returns what is left to do for a target with the same weights.
    fn resumable_work(&self) -> RequestContext {
        RequestContext {
            weights_version: self.run.feed.version,
            ..self.work.clone()
        }
    }

    /// Takes the run that goes on; events that the present one gave meanwhile are left out.
    fn go_on(&mut self, placed: Placed, mut opened: Opened, reason: &'static str) {
        let last = self.run.feed.last();
        opened.skip_to(last);
        let target = &placed.place().target;
        event!(
            event::STREAM_RESUMED,
            request = self.call.caller.id,
            from = self.run.placed.place().target,
            to = target,
            after = last.unwrap_or_default(),
            reason = reason
        );
        self.gateway.metrics.resumed();
        self.unfinished.answered_by(target);
        self.moved = Some(self.gateway.moves(placed.place().request));
        self.work = placed.place().work.clone();
        self.first = opened.first;
        self.ended = opened.ended;
        self.look = Instant::now() + stall_time(&self.call);
        // The run before ends here, as one that its caller gave up if it didn't fail.
        self.run = Run {
            placed,
            feed: opened.feed,
        };
    }

    /// Logs that the answer ends before its last event.
    fn cut(&mut self, reason: &'static str) -> io::Error {
        let now = Instant::now();
        let call = &self.call;
        event!(
            event::STREAM_CUT,
            request = call.caller.id,
            target = self.run.placed.place().target,
            failure = reason,
            after = self.run.feed.last().unwrap_or_default(),
            age_ms = now.saturating_duration_since(call.arrived).as_millis(),
            left_ms = call.deadline.saturating_duration_since(now).as_millis()
        );
        self.gateway.metrics.cut();
        io::Error::other(reason)
    }

    fn end(&mut self) {
        event!(
            event::STREAM_ENDED,
            request = self.call.caller.id,
            target = self.run.placed.place().target,
            ms = self.call.arrived.elapsed().as_millis(),
            last = self.run.feed.last().unwrap_or_default()
        );
        self.run.placed.answered();
    }
}

/// Returns the new place of a run that has to go on elsewhere.
async fn received(moved: &mut Option<oneshot::Receiver<Placed>>) -> Placed {
    if let Some(receiver) = moved
        && let Ok(placed) = receiver.await
    {
        return placed;
    }
    pending().await
}

/// Returns the first events of the successor, or its failure.
async fn opened(successor: &mut Option<Successor>) -> Result<(Placed, Beginning), Failed> {
    match successor {
        Some(successor) => (&mut successor.opening).await,
        None => pending().await,
    }
}

async fn silent_at(look: Option<Instant>) {
    match look {
        Some(look) => compio::time::sleep_until(look).await,
        None => pending().await,
    }
}

fn stall_time(call: &Call) -> Duration {
    call.gap * STALLED
}

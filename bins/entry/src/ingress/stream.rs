//! Requests whose answers are series of events.
//!
//! Only whole events are passed on. When a target fails within a stream that may be resumed, another one with the same
//! weights goes on after the last event, and the caller sees one answer.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::{Failure, Outcome, Work};
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{Either, select};
use futures::stream::unfold;
use node::event;
use node::http::{Answer, Body, HeaderMap, Response, StatusCode};

use super::call::Call;
use super::end::End;
use super::events::Splitter;
use super::gateway::{Gateway, Placed};
use super::unfinished::Unfinished;
use crate::in_progress::InProgress;

/// Multiple of the objective in which the first event must come while another target is left.
const FIRST_EVENT: u32 = 3;
/// Multiple of the longest pause in time after which a target counts as stalled while another one is left.
const STALLED: u32 = 4;
/// Longest answer of a target that isn't a stream, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// A stream whose first events have arrived.
struct Opened {
    status: StatusCode,
    headers: HeaderMap,
    run: Run,
    first: Bytes,
    ended: bool,
}

/// One target's run of a stream.
struct Run {
    placed: Placed,
    body: Answer,
    events: Splitter,
    version: Option<u64>,
}

/// What one attempt at a stream gave.
enum Attempt {
    Opened(Box<Opened>),
    /// The target answered with something else than a stream.
    Other(Response<Bytes>),
}

/// What happens next to a run.
enum Step {
    Events(Bytes),
    End,
    Failed(Failure),
    Moved(Box<Placed>),
}

/// A stream on its way to the caller; dropping it ends the target's run.
struct Relay {
    gateway: Rc<Gateway>,
    call: Call,
    run: Option<Run>,
    first: Option<Bytes>,
    ended: bool,
    unfinished: Unfinished,
    /// Where the run learns that it has to go on elsewhere.
    moved: Option<oneshot::Receiver<Placed>>,
    _guard: InProgress,
}

/// Serves a request whose answer is a stream.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: Call, guard: InProgress) -> Response<Body> {
    let mut unfinished = Unfinished::new(gateway, &call);
    let mut kept = None;
    let opened = open(
        gateway,
        &call,
        call.work(),
        call.caller.last_event,
        &mut kept,
    )
    .await;
    let opened = match (opened, kept) {
        (Ok(opened), _) => opened,
        (Err(end), kept) => {
            unfinished.finish();
            return match kept {
                Some(response) => response.map(Body::from),
                None => gateway.give_up(&call, end),
            };
        }
    };
    unfinished.answered_by(&opened.run.placed.place().target);
    gateway.metrics.answered(call.arrived.elapsed());
    let mut response = Response::new(Body::empty());
    *response.status_mut() = opened.status;
    *response.headers_mut() = platform::answer::pass(&opened.headers);
    let relay = Relay {
        gateway: Rc::clone(gateway),
        call,
        run: Some(opened.run),
        first: Some(opened.first),
        ended: opened.ended,
        unfinished,
        moved: None,
        _guard: guard,
    };
    *response.body_mut() = relay.into_body();
    response
}

/// Tries targets until one sends its first events; a failure that a target answered with is left in `kept`.
async fn open(
    gateway: &Rc<Gateway>,
    call: &Call,
    work: Work,
    last_event: Option<u64>,
    kept: &mut Option<Response<Bytes>>,
) -> Result<Opened, End> {
    let mut ran = None;
    let mut next = gateway.submit(work).await;
    loop {
        let placed = next?;
        let (failure, work) = match attempt(gateway, call, placed, last_event).await {
            Ok(Attempt::Opened(opened)) => return Ok(*opened),
            Ok(Attempt::Other(response)) => {
                *kept = Some(response);
                return Err(End::MayHaveRun(Failure::Error));
            }
            Err(failed) => failed,
        };
        next = gateway.submit_again(call, work, failure, &mut ran).await;
    }
}

/// Makes one attempt and waits for the first whole event.
async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    placed: Placed,
    last_event: Option<u64>,
) -> Result<Attempt, (Failure, Work)> {
    let mut limit = call.deadline;
    let work = &placed.place().work;
    if work.attempts > 0 && work.is_repeatable() {
        limit = limit.min(Instant::now() + call.objective * FIRST_EVENT);
    }
    let wanted = work.version;
    let fail = |placed: Placed, failure| (failure, placed.end(Outcome::Failed(failure)));
    let answered = match gateway.attempt(call, &placed, limit, last_event).await {
        Ok(answered) => answered,
        Err(failure) => return Err(fail(placed, failure)),
    };
    if !answered.status.is_success() {
        return match answered.body.bytes(MAX_ANSWER).await {
            Ok(body) => {
                let mut response = Response::new(body);
                *response.status_mut() = answered.status;
                *response.headers_mut() = platform::answer::pass(&answered.headers);
                placed.end(Outcome::Failed(Failure::Error));
                Ok(Attempt::Other(response))
            }
            Err(_) => Err(fail(placed, Failure::Broken)),
        };
    }
    if wanted.is_some() && answered.head.version.is_some() && answered.head.version != wanted {
        return Err(fail(placed, Failure::Misdirected));
    }
    let mut run = Run {
        placed,
        body: answered.body,
        events: Splitter::after(last_event),
        version: answered.head.version,
    };
    match run.next(limit).await {
        Ok(first) => {
            run.placed.started(run.version);
            gateway.check_version(call, &run.placed, run.version);
            let ended = first.is_none();
            Ok(Attempt::Opened(Box::new(Opened {
                status: answered.status,
                headers: answered.headers,
                first: first.unwrap_or_default(),
                ended,
                run,
            })))
        }
        Err(failure) => Err(fail(run.placed, failure)),
    }
}

impl Run {
    /// Returns the next whole events, or `None` at the end of the stream.
    async fn next(&mut self, limit: Instant) -> Result<Option<Bytes>, Failure> {
        self.body.set_deadline(limit);
        loop {
            match self.body.next().await {
                Ok(Some(piece)) => match self.events.push(&piece) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => return Ok(Some(events)),
                    Err(error) => {
                        let target = &self.placed.place().target;
                        event!(event::STREAM_MALFORMED, target = target, error = error);
                        return Err(Failure::Broken);
                    }
                },
                Ok(None) if self.events.is_empty() => return Ok(None),
                Ok(None) => return Err(Failure::Broken),
                Err(_) if Instant::now() >= limit => return Err(Failure::Late),
                Err(_) => return Err(Failure::Broken),
            }
        }
    }
}

impl Relay {
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
            Ok(Some(_)) => {
                let last = self.run.as_ref().and_then(|run| run.events.last());
                self.unfinished.passed(last);
            }
            Ok(None) | Err(_) => self.unfinished.finish(),
        }
        next
    }

    /// Returns the next events for the caller, from another target where one fails.
    async fn advance(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Ok(Some(first));
        }
        if self.ended {
            self.end(Outcome::Answered);
            return Ok(None);
        }
        loop {
            match self.step().await? {
                Step::Events(events) => return Ok(Some(events)),
                Step::End => {
                    self.end(Outcome::Answered);
                    return Ok(None);
                }
                Step::Failed(failure) => self.resume(failure).await?,
                Step::Moved(placed) => self.move_to(*placed).await?,
            }
            if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
                return Ok(Some(first));
            }
        }
    }

    /// Waits for what comes first: events, the end of the run, or its move.
    async fn step(&mut self) -> io::Result<Step> {
        let Some(run) = &mut self.run else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let moved = self
            .moved
            .get_or_insert_with(|| self.gateway.moves(run.placed.place().request));
        let limit = limit(&self.call, run);
        let next = run.next(limit).boxed_local();
        Ok(match select(next, moved).await {
            Either::Left((Ok(Some(events)), _)) => Step::Events(events),
            Either::Left((Ok(None), _)) => Step::End,
            Either::Left((Err(failure), _)) => Step::Failed(failure),
            Either::Right((Ok(placed), _)) => Step::Moved(Box::new(placed)),
            // The sender lives in the gateway until the run ends.
            Either::Right((Err(_), _)) => Step::Failed(Failure::Broken),
        })
    }

    /// Ends the run of a target that is about to change its weights, and goes on at `placed`.
    async fn move_to(&mut self, placed: Placed) -> io::Result<()> {
        let Some(run) = self.take_run() else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let last = run.events.last();
        let target = run.placed.place().target.clone();
        run.placed.end(Outcome::Abandoned);
        drop(run.body);
        match attempt(&self.gateway, &self.call, placed, last).await {
            Ok(resumed) => self.go_on(&target, last, Some(resumed), "moved"),
            Err((failure, _)) => self.go_on(&target, last, None, failure.name()),
        }
    }

    /// Goes on at another target after a failure, or cuts the answer.
    async fn resume(&mut self, failure: Failure) -> io::Result<()> {
        let Some(run) = self.take_run() else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let (last, version) = (run.events.last(), run.version);
        let target = run.placed.place().target.clone();
        let mut work = run.placed.end(Outcome::Failed(failure));
        drop(run.body);
        work.version = version;
        let resumed = match self.gateway.retry(work, failure).await {
            Some(Ok(placed)) => attempt(&self.gateway, &self.call, placed, last).await.ok(),
            Some(Err(_)) | None => None,
        };
        self.go_on(&target, last, resumed, failure.name())
    }

    fn take_run(&mut self) -> Option<Run> {
        self.moved = None;
        self.run.take()
    }

    /// Takes the run that goes on after the event `last`, or cuts the answer.
    fn go_on(
        &mut self,
        target: &str,
        last: Option<u64>,
        resumed: Option<Attempt>,
        reason: &'static str,
    ) -> io::Result<()> {
        match resumed {
            Some(Attempt::Opened(opened)) => {
                event!(
                    event::STREAM_RESUMED,
                    request = self.call.caller.id,
                    from = target,
                    to = opened.run.placed.place().target,
                    after = last.unwrap_or_default(),
                    reason = reason
                );
                self.gateway.metrics.resumed();
                let target = &opened.run.placed.place().target;
                self.unfinished.answered_by(target);
                self.first = Some(opened.first);
                self.ended = opened.ended;
                self.run = Some(opened.run);
                Ok(())
            }
            Some(Attempt::Other(_)) | None => {
                let now = Instant::now();
                let left = self.call.deadline.saturating_duration_since(now);
                event!(
                    event::STREAM_CUT,
                    request = self.call.caller.id,
                    target = target,
                    failure = reason,
                    after = last.unwrap_or_default(),
                    age_ms = self.call.arrived.elapsed().as_millis(),
                    left_ms = left.as_millis()
                );
                self.gateway.metrics.cut();
                Err(io::Error::other(reason))
            }
        }
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(run) = self.take_run() {
            event!(
                event::STREAM_ENDED,
                request = self.call.caller.id,
                target = run.placed.place().target,
                ms = self.call.arrived.elapsed().as_millis(),
                last = run.events.last().unwrap_or_default()
            );
            run.placed.end(outcome);
        }
    }
}

/// Returns the time by which the next event must come.
fn limit(call: &Call, run: &Run) -> Instant {
    let work = &run.placed.place().work;
    match work.attempts > 0 && work.is_repeatable() {
        true => call.deadline.min(Instant::now() + stall_time(call)),
        false => call.deadline,
    }
}

fn stall_time(call: &Call) -> Duration {
    call.gap * STALLED
}

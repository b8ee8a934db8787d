//! Requests in progress: the state that all tasks of the ingress share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::{
    Config, Decision, Failure, Outcome, PermitQuery, Placement, RequestContext, RequestId,
    RequiredVersions, Scheduler,
};
use futures::channel::oneshot;
use node::http::header::{self, HeaderValue};
use node::http::{Body, Client, Request, Response};
use node::{Notify, event};
use prometheus_client::registry::Registry;
use quota::{AdvertisedLimit, Limit, TargetStart};
use rand::RngExt;

use super::Settings;
use super::buffering::Held;
use super::call::{Call, Refusal};
use super::end::{End, Rejection};
use super::metrics::Metrics;
use super::placed::Placed;
use super::relay::Relay;
use super::relays::Relays;
use super::unfinished::Unfinished;
use crate::in_progress::InProgress;

/// Time in which a connection to a target must come about.
pub(super) const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Time between two polls while requests wait.
const TICK: Duration = Duration::from_millis(10);
/// Time between two polls while none does.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time after which callers may come back to another entry while this one stops or holds no configuration.
const ELSEWHERE: Duration = Duration::from_millis(200);

/// Scheduler, callers that wait for it, and connections to targets.
pub struct Gateway {
    me: Weak<Self>,
    pub(super) settings: Settings,
    pub(super) client: Client,
    pub(super) metrics: Metrics,
    /// Which entries read the store for others.
    pub(super) relays: RefCell<Relays>,
    /// What this entry passes on of what it read.
    pub(super) relay: Rc<Relay>,
    scheduler: RefCell<Scheduler>,
    steps: RefCell<HashMap<RequestId, oneshot::Sender<Decision>>>,
    moves: RefCell<HashMap<RequestId, oneshot::Sender<Placed>>>,
    /// Where requests learn that they must not begin any more where they are.
    outdated: RefCell<HashMap<RequestId, oneshot::Sender<()>>>,
    in_progress: Rc<Cell<usize>>,
    /// Bytes of answers that aren't whole yet.
    pub(super) held: Held,
    /// Number of versions and targets that this process learned of.
    news: Cell<u64>,
    /// Whether the last read of the configuration was answered.
    in_touch: Cell<bool>,
    draining: Cell<bool>,
    refusing: Cell<bool>,
    /// When the scheduler was last polled.
    polled: Cell<Instant>,
    /// Whether loads came since.
    reported: Cell<bool>,
    /// Questions for permits that aren't put yet.
    questions: RefCell<Vec<PermitQuery>>,
    asked: Notify,
}

/// A request that waits for a target; dropping it takes it out of the queue, or frees the place that it got meanwhile.
struct Waiting<'a> {
    gateway: &'a Gateway,
    id: RequestId,
    decision: oneshot::Receiver<Decision>,
}

impl Gateway {
    /// Returns a gateway without configuration or targets.
    pub fn new(settings: Settings, registry: &mut Registry) -> Rc<Self> {
        let versions = RequiredVersions::new(settings.bounds.version_deadline);
        let retries = settings.bounds.retries;
        let seed = rand::rng().random();
        let scheduler = Scheduler::new(&settings.domain, versions, retries, seed);
        Rc::new_cyclic(|me| Self {
            me: me.clone(),
            relays: RefCell::new(Relays::new(settings.load_listen)),
            relay: Rc::default(),
            settings,
            client: Client::new().with_connect_timeout(CONNECT_TIME),
            metrics: Metrics::new(registry),
            scheduler: RefCell::new(scheduler),
            steps: RefCell::default(),
            moves: RefCell::default(),
            outdated: RefCell::default(),
            in_progress: Rc::default(),
            held: Held::default(),
            news: Cell::default(),
            in_touch: Cell::new(false),
            draining: Cell::new(false),
            refusing: Cell::new(false),
            polled: Cell::new(Instant::now()),
            reported: Cell::new(false),
            questions: RefCell::default(),
            asked: Notify::default(),
        })
    }

    /// Returns whether the entry takes new callers: it holds a configuration and isn't stopping.
    pub fn is_ready(&self) -> bool {
        self.scheduler.borrow().config().is_some() && !self.draining.get()
    }

    /// Returns the configuration in force.
    pub(super) fn config(&self) -> Option<Rc<Config>> {
        self.scheduler.borrow().config().cloned()
    }

    /// Returns the number of callers that are being served.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Tells the balancer to send no more callers, and callers to open new connections.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Refuses all further requests as not run.
    pub fn start_refusing(&self) {
        self.refusing.set(true);
    }

    /// Returns the object of `/status`.
    pub fn status(&self) -> serde_json::Value {
        let scheduler = self.scheduler.borrow();
        serde_json::json!({
        "name": self.settings.name,
        "ready": self.is_ready(),
        "config": scheduler.config().map(|config| config.version),
        "targets": scheduler.targets().count(),
        "waiting": scheduler.waiting_count(),
        "in_progress": scheduler.in_progress(),
        })
    }

    /// Calls `change` with the scheduler, and lets it act on what changed.
    pub fn update<T>(&self, change: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        let result = change(&mut self.scheduler.borrow_mut(), Instant::now());
        self.pump();
        result
    }

    /// Calls `change` with the scheduler for a load that an agent told.
    ///
    /// Hundreds come each second, and each poll looks at all targets for the waiting requests, so loads that come within
    /// [`TICK`] are acted on together.
    pub(super) fn report(&self, change: impl FnOnce(&mut Scheduler, Instant)) {
        let now = Instant::now();
        change(&mut self.scheduler.borrow_mut(), now);
        self.reported.set(true);
        let waiting = self.scheduler.borrow().waiting_count() > 0;
        if waiting && now.saturating_duration_since(self.polled.get()) >= TICK {
            self.pump();
        }
    }

    /// Calls `read` with the scheduler.
    pub fn view<T>(&self, read: impl FnOnce(&Scheduler) -> T) -> T {
        read(&self.scheduler.borrow())
    }

    /// Calls `change` with the scheduler without letting it act: most answers and loads say nothing new of limits.
    pub(super) fn note<T>(&self, change: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        change(&mut self.scheduler.borrow_mut(), Instant::now())
    }

    /// Takes what a target said of its limit to another entry.
    pub(super) fn hear_limit(&self, target: &TargetStart, statement: AdvertisedLimit) {
        if self.note(|scheduler, now| scheduler.merge_limit(now, target, statement)) {
            event!(
                event::TARGET_LIMITED,
                target = target.0,
                request = "none",
                limit = limit_text(statement.limit)
            );
        }
    }

    /// Returns the questions for permits that are to be put, once there are some.
    pub(super) async fn questions(&self) -> Vec<PermitQuery> {
        loop {
            let seen = self.asked.count();
            let questions = self.questions.take();
            if !questions.is_empty() {
                return questions;
            }
            self.asked.changed(seen).await;
        }
    }

    /// Returns the number of versions and targets that this process learned of.
    pub(super) fn news(&self) -> u64 {
        self.news.get()
    }

    /// Counts a version that was named, or a target that registered.
    pub(super) fn count_news(&self) {
        self.news.set(self.news.get() + 1);
    }

    /// Tells whether the store answers.
    pub(super) fn is_in_touch(&self) -> bool {
        self.in_touch.get()
    }

    /// Notes whether the store answers.
    pub(super) fn set_in_touch(&self, in_touch: bool) {
        self.in_touch.set(in_touch);
    }

    /// Polls the scheduler while requests wait, and ends requests that must not begin where they are; never returns.
    pub async fn keep_time(self: Rc<Self>) {
        let mut checked = Instant::now();
        loop {
            let waiting = self.scheduler.borrow().waiting_count() > 0;
            compio::time::sleep(if waiting { TICK } else { IDLE_TICK }).await;
            if waiting || self.reported.get() {
                self.pump();
            }
            let now = Instant::now();
            if now.saturating_duration_since(checked) >= IDLE_TICK {
                checked = now;
                self.end_outdated(now);
            }
        }
    }

    fn end_outdated(&self, now: Instant) {
        let outdated = self.scheduler.borrow().outdated_streams(now);
        for id in outdated {
            let sender = self.outdated.borrow_mut().remove(&id);
            // An attempt that has ended meanwhile needs no word.
            let _ = sender.map(|sender| sender.send(()));
        }
    }

    /// Serves one caller's request.
    pub async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let guard = InProgress::new(&self.in_progress);
        let now = Instant::now();
        let config = self.config();
        let draw = rand::rng().random();
        let mut answer = match Call::admit(request, config.as_deref(), now, draw) {
            Ok(call) if self.refusing.get() => {
                let stopping = Refusal::unavailable("stopping", ELSEWHERE);
                self.refuse(&call.caller.id, &stopping)
            }
            Ok(call) if call.is_stream() => super::stream::serve(&self, call, guard).await,
            Ok(call) => {
                let mut unfinished = Unfinished::new(&self, &call);
                let answer = super::plain::serve(&self, &call).await;
                unfinished.finish();
                answer
            }
            Err((id, refusal)) => self.refuse(&id, &refusal),
        };
        if self.draining.get() {
            // The caller's next connection goes to another entry.
            answer
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Submits `work` and waits for its place.
    pub(super) async fn submit(self: &Rc<Self>, work: RequestContext) -> Result<Placed, End> {
        let id = self.scheduler.borrow_mut().submit(Instant::now(), work);
        self.wait(id).await.map_err(End::NotRun)
    }

    /// Submits the work of `call` once more after `failure`; `ran` is the last failure after which it may have run.
    pub(super) async fn submit_again(
        self: &Rc<Self>,
        call: &Call,
        work: RequestContext,
        failure: Failure,
        ran: &mut Option<Failure>,
    ) -> Result<Placed, End> {
        if !failure.is_not_run() {
            *ran = Some(failure);
        }
        let rejection = match self.retry(work, failure).await {
            Some(Ok(placed)) => return Ok(placed),
            Some(Err(rejection)) => rejection,
            None => Rejection {
                reason: failure.name(),
                retry_after: self.retry_after(call.deadline),
            },
        };
        Err(End::after(*ran, rejection))
    }

    /// Submits a request once more after an attempt failed; `None` when it may not be sent again.
    pub(super) async fn retry(
        self: &Rc<Self>,
        work: RequestContext,
        failure: Failure,
    ) -> Option<Result<Placed, Rejection>> {
        let id = self
            .scheduler
            .borrow_mut()
            .retry(Instant::now(), work, failure)?;
        Some(self.wait(id).await)
    }

    /// Returns a time after which a caller whose request did not run may come back.
    fn retry_after(&self, deadline: Instant) -> Duration {
        self.scheduler
            .borrow_mut()
            .retry_after(Instant::now(), deadline)
    }

    /// Logs and counts a refusal of the entry's own, and returns its answer.
    pub(super) fn refuse(&self, id: &str, refusal: &Refusal) -> Response<Body> {
        self.refuse_after(id, refusal, Duration::ZERO)
    }

    fn refuse_after(&self, id: &str, refusal: &Refusal, age: Duration) -> Response<Body> {
        self.metrics.refused(refusal.reason);
        let scheduler = self.scheduler.borrow();
        event!(
            event::REQUEST_REFUSED,
            request = id,
            status = refusal.status.as_u16(),
            reason = refusal.reason,
            age_ms = age.as_millis(),
            waiting = scheduler.waiting_count(),
            in_progress = scheduler.in_progress(),
            config = scheduler.config().map_or(0, |config| config.version),
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis()
        );
        refusal.answer(id)
    }

    /// Returns the final answer to a request that no target answered.
    pub(super) fn give_up(&self, call: &Call, end: End) -> Response<Body> {
        self.refuse_after(&call.caller.id, &end.refusal(), call.arrived.elapsed())
    }

    /// Logs and counts an answer whose first event came from weights that were too old to begin it by then.
    pub(super) fn check_version(&self, call: &Call, placed: &Placed, version: Option<u64>) {
        let (Some(version), Some(model)) = (version, &call.caller.model) else {
            return;
        };
        let now = Instant::now();
        let place = placed.place();
        let scheduler = self.scheduler.borrow();
        let due = scheduler.versions().oldest_allowed(model, now);
        if version >= due {
            return;
        }
        let target = scheduler.target(&place.target);
        let known = target.and_then(|target| target.weights.get(model).copied());
        self.metrics.outdated();
        event!(
            event::OUTDATED_ANSWER,
            request = call.caller.id,
            target = place.target,
            version = version,
            known = known.unwrap_or_default(),
            due = due,
            placed_ms = placed.age(now).as_millis()
        );
    }

    /// Returns where a run learns that it has to go on elsewhere.
    pub(super) fn moves(&self, id: RequestId) -> oneshot::Receiver<Placed> {
        let (sender, receiver) = oneshot::channel();
        self.moves.borrow_mut().insert(id, sender);
        receiver
    }

    /// Resolves when the request must not begin any more where it is.
    pub(super) fn outdated(&self, id: RequestId) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.outdated.borrow_mut().insert(id, sender);
        receiver
    }

    /// Forgets where the ended attempt `id` would learn that it has to move or to end.
    pub(super) fn forget(&self, id: RequestId) {
        self.moves.borrow_mut().remove(&id);
        self.outdated.borrow_mut().remove(&id);
    }

    /// Returns a second place for `work`, whose attempt goes on, if a target has room at once.
    pub(super) fn place_beside(self: &Rc<Self>, work: RequestContext) -> Option<Placed> {
        let place = self.update(|scheduler, now| scheduler.place_concurrent(now, work))?;
        Some(Placed::new(Rc::clone(self), place))
    }

    /// Notes that the first event of a request arrived.
    pub(super) fn started(&self, id: RequestId, version: Option<u64>) {
        let now = Instant::now();
        self.scheduler
            .borrow_mut()
            .record_first_event(now, id, version);
    }

    /// Gives a run its new place, which is free again at once if the run has ended.
    fn move_run(&self, request: RequestId, place: Placement) {
        let Some(gateway) = self.me.upgrade() else {
            return;
        };
        let placed = Placed::new(gateway, place);
        // A run that has ended drops its new place, which takes its own entry out of the map.
        let sender = self.moves.borrow_mut().remove(&request);
        if let Some(sender) = sender {
            let _ = sender.send(placed);
        }
    }

    async fn wait(self: &Rc<Self>, id: RequestId) -> Result<Placed, Rejection> {
        let (sender, receiver) = oneshot::channel();
        self.steps.borrow_mut().insert(id, sender);
        let mut waiting = Waiting {
            gateway: self,
            id,
            decision: receiver,
        };
        self.pump();
        match (&mut waiting.decision).await {
            Ok(Decision::Send(place)) => Ok(Placed::new(Rc::clone(self), place)),
            Ok(Decision::Reject {
                reason,
                retry_after,
                ..
            }) => Err(Rejection {
                reason: reason.name(),
                retry_after,
            }),
            // The sender lives in the gateway until the request has its decision, and waiting requests aren't moved.
            Ok(Decision::Move { .. }) | Err(_) => {
                unreachable!("the request {id} lost its scheduler")
            }
        }
    }

    /// Lets the scheduler act and passes its decisions to the callers that wait for them.
    fn pump(&self) {
        self.polled.set(Instant::now());
        self.reported.set(false);
        loop {
            let now = Instant::now();
            let decisions = self.scheduler.borrow_mut().poll(now);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                let id = match decision {
                    Decision::Send(ref place) => place.request,
                    Decision::Reject { request, .. } => request,
                    Decision::Move { request, place } => {
                        self.move_run(request, place);
                        continue;
                    }
                };
                let step = self.steps.borrow_mut().remove(&id);
                if step.is_none_or(|step| step.send(decision).is_err()) {
                    // The caller is gone.
                    self.scheduler
                        .borrow_mut()
                        .record_end(now, id, Outcome::Abandoned);
                }
            }
        }
        let questions = self.scheduler.borrow_mut().permit_queries(Instant::now());
        if !questions.is_empty() {
            self.questions.borrow_mut().extend(questions);
            self.asked.notify();
        }
    }
}

/// Returns a target's limit as logs show it.
pub(super) fn limit_text(limit: Option<Limit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.gateway.steps.borrow_mut().remove(&self.id).is_some() {
            self.gateway.scheduler.borrow_mut().cancel(self.id);
        } else if let Ok(Some(Decision::Send(place))) = self.decision.try_recv() {
            let abandoned = Outcome::Abandoned;
            self.gateway
                .update(|scheduler, now| scheduler.record_end(now, place.request, abandoned));
        }
    }
}

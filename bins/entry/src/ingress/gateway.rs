//! State shared by all tasks of the ingress: the scheduler, the requests in progress and the connections to targets.

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
use node::{Cutoff, Notify, event};
use prometheus_client::registry::Registry;
use quota::{AdvertisedLimit, Limit, TargetStart};
use rand::RngExt;
use replica::Peers;

use super::Settings;
use super::buffering::BufferedBytes;
use super::call::{Call, Refusal};
use super::crashes::{CrashChecks, PendingEvidence};
use super::disconnect::DisconnectGuard;
use super::error::{LastAttempt, Rejection, RequestError};
use super::metrics::Metrics;
use super::objects::Objects;
use super::overload::OverloadedServices;
use super::placed::PlacedRequest;
use super::stop::{STOPPING, STOPPING_RETRY_AFTER};
use crate::in_progress::InProgress;

/// Timeout for connecting to a target.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call to the store, in addition to the wait of a watch.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between scheduler polls while requests are queued.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between scheduler polls while the queue is empty.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The scheduler, the requests that wait for its decisions, and the connections to targets.
pub struct Gateway {
    me: Weak<Self>,
    pub(super) settings: Settings,
    pub(super) client: Client,
    pub(super) metrics: Metrics,
    /// Live entries of the failure domain, with whom this one exchanges the store's objects.
    pub(super) peers: RefCell<Peers>,
    /// Notified when another entry of the domain has begun to hear the store.
    pub(super) reader_found: Notify,
    /// Notified when this entry has begun to hear the store.
    pub(super) reading_begun: Notify,
    /// The store's objects, as far as they are known.
    pub(super) objects: Rc<Objects>,
    scheduler: RefCell<Scheduler>,
    decision_senders: RefCell<HashMap<RequestId, oneshot::Sender<Decision>>>,
    move_senders: RefCell<HashMap<RequestId, oneshot::Sender<PlacedRequest>>>,
    /// Cancels streams that have not begun and must not begin any more, and tells them why.
    cancel_senders: RefCell<HashMap<RequestId, oneshot::Sender<Failure>>>,
    in_progress: Rc<Cell<usize>>,
    /// Targets that are being checked for a crash.
    pub(super) crash_checks: CrashChecks,
    pub(super) pending_evidence: PendingEvidence,
    pub(super) overloaded_services: RefCell<OverloadedServices>,
    /// Bytes buffered for responses that are still incomplete.
    pub(super) buffered: BufferedBytes,
    /// Number of weights versions and targets that this process has discovered.
    change_count: Cell<u64>,
    /// Whether this entry hears the store, by itself or through others.
    pub(super) store_reachable: Cell<bool>,
    /// Whether the evacuations of failure domains are known, or none are ever requested.
    pub(super) evacuations_known: Cell<bool>,
    /// Newest era of the store that the readers have been notified of.
    pub(super) store_era: Cell<Option<u64>>,
    /// Client of the store.
    pub(super) store: platform::Client,
    draining: Cell<bool>,
    refusing: Cell<bool>,
    /// Ends the requests that are not answered at the end of a planned stop.
    pub(super) cutoff: Cutoff,
    /// When the scheduler was last polled.
    last_poll: Cell<Instant>,
    /// Whether load reports have arrived since the last poll.
    load_reported: Cell<bool>,
    /// Permit queries that have not been sent yet.
    permit_queries: RefCell<Vec<PermitQuery>>,
    queries_added: Notify,
}

/// A queued request; dropping it cancels the request, or releases its place if it was placed in the meantime.
struct QueuedRequest<'a> {
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
        let store = platform::Client::new(settings.platform, STORE_TIMEOUT);
        let has_evacuations = settings.bounds.evacuation.is_some();
        let mut scheduler = Scheduler::new(&settings.domain, versions, retries, seed);
        scheduler.set_regions(settings.regions.clone());
        let metrics = Metrics::new(registry);
        let objects = Objects::new(settings.load_listen, metrics.clone());
        Rc::new_cyclic(|me| Self {
            me: me.clone(),
            peers: RefCell::new(Peers::new(settings.load_listen)),
            reader_found: Notify::default(),
            reading_begun: Notify::default(),
            objects: Rc::new(objects),
            settings,
            client: Client::new().with_connect_timeout(CONNECT_TIMEOUT),
            metrics,
            scheduler: RefCell::new(scheduler),
            decision_senders: RefCell::default(),
            move_senders: RefCell::default(),
            cancel_senders: RefCell::default(),
            in_progress: Rc::default(),
            crash_checks: CrashChecks::default(),
            pending_evidence: PendingEvidence::default(),
            overloaded_services: RefCell::default(),
            buffered: BufferedBytes::default(),
            change_count: Cell::default(),
            store_reachable: Cell::new(false),
            evacuations_known: Cell::new(!has_evacuations),
            store_era: Cell::default(),
            store,
            draining: Cell::new(false),
            refusing: Cell::new(false),
            cutoff: Cutoff::default(),
            last_poll: Cell::new(Instant::now()),
            load_reported: Cell::new(false),
            permit_queries: RefCell::default(),
            queries_added: Notify::default(),
        })
    }

    /// Returns whether the entry accepts new callers: it knows all that decides where requests may go, and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.routing_config().is_ok() && !self.draining.get()
    }

    /// Returns the configuration in force.
    pub(super) fn config(&self) -> Option<Rc<Config>> {
        self.scheduler.borrow().config().cloned()
    }

    /// Returns the number of callers' requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Fails the balancer's readiness check and closes callers' connections after their current response.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Rejects all further requests as not run.
    pub fn start_refusing(&self) {
        self.refusing.set(true);
    }

    /// Returns the JSON object served at `/status`.
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

    /// Applies `change` to the scheduler and carries out the decisions that follow from it.
    pub fn update<T>(&self, change: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        let result = change(&mut self.scheduler.borrow_mut(), Instant::now());
        self.poll_scheduler();
        result
    }

    /// Applies an agent's load report to the scheduler.
    ///
    /// Hundreds of reports arrive per second, and each poll scans all targets for the queued requests, so reports that
    /// arrive within [`POLL_INTERVAL`] share one poll.
    pub(super) fn update_load(&self, change: impl FnOnce(&mut Scheduler, Instant)) {
        let now = Instant::now();
        change(&mut self.scheduler.borrow_mut(), now);
        self.load_reported.set(true);
        let waiting = self.scheduler.borrow().waiting_count() > 0;
        if waiting && now.saturating_duration_since(self.last_poll.get()) >= POLL_INTERVAL {
            self.poll_scheduler();
        }
    }

    /// Calls `read` with a shared reference to the scheduler.
    pub fn view<T>(&self, read: impl FnOnce(&Scheduler) -> T) -> T {
        read(&self.scheduler.borrow())
    }

    /// Applies `change` without polling the scheduler. Used for limits, which responses and reports rarely change.
    pub(super) fn update_without_poll<T>(
        &self,
        change: impl FnOnce(&mut Scheduler, Instant) -> T,
    ) -> T {
        change(&mut self.scheduler.borrow_mut(), Instant::now())
    }

    /// Applies a target's limit that another entry learned and an agent forwarded.
    pub(super) fn apply_advertised_limit(&self, target: &TargetStart, statement: AdvertisedLimit) {
        if self.update_without_poll(|scheduler, now| scheduler.merge_limit(now, target, statement))
        {
            event!(
                event::TARGET_LIMITED,
                target = target.0,
                request = "none",
                limit = limit_text(statement.limit)
            );
        }
    }

    /// Updates the metric of evacuated failure domains.
    pub(super) fn record_evacuations(&self) {
        let count = self.view(|scheduler| scheduler.evacuated_domains().count());
        self.metrics.set_evacuated_domains(count);
    }

    /// Waits until permit queries are due and returns them.
    pub(super) async fn next_permit_queries(&self) -> Vec<PermitQuery> {
        loop {
            let seen = self.queries_added.count();
            let queries = self.permit_queries.take();
            if !queries.is_empty() {
                return queries;
            }
            self.queries_added.changed(seen).await;
        }
    }

    /// Returns the number of weights versions and targets that this process has discovered.
    pub(super) fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Counts a newly named weights version or a newly registered target.
    pub(super) fn record_change(&self) {
        self.change_count.set(self.change_count.get() + 1);
    }

    /// Polls the scheduler while requests are queued or after load reports, and cancels streams that have not begun and
    /// must not begin any more; never returns.
    pub async fn poll_periodically(self: Rc<Self>) {
        let mut last_check = Instant::now();
        loop {
            let waiting = self.scheduler.borrow().waiting_count() > 0;
            compio::time::sleep(if waiting {
                POLL_INTERVAL
            } else {
                IDLE_POLL_INTERVAL
            })
            .await;
            if waiting || self.load_reported.get() {
                self.poll_scheduler();
            }
            let now = Instant::now();
            if now.saturating_duration_since(last_check) >= IDLE_POLL_INTERVAL {
                last_check = now;
                self.cancel_unservable(now);
                self.record_overload(now);
            }
        }
    }

    fn cancel_unservable(&self, now: Instant) {
        let unservable = self.scheduler.borrow().unservable_streams(now);
        for (id, failure) in unservable {
            let sender = self.cancel_senders.borrow_mut().remove(&id);
            // The receiver is gone if the attempt has ended in the meantime.
            let _ = sender.map(|sender| sender.send(failure));
        }
    }

    /// Serves one caller's request.
    pub async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let guard = InProgress::new(&self.in_progress);
        let now = Instant::now();
        let config = self.routing_config();
        let config = config.as_deref().map_err(|reason| *reason);
        let random = rand::rng().random();
        let mut answer = match Call::admit(request, config, now, random) {
            Ok(call) if self.refusing.get() => {
                let stopping = Refusal::unavailable(STOPPING, STOPPING_RETRY_AFTER);
                self.refuse(&call.caller.id, Some(&call), &stopping, None)
            }
            Ok(call) if call.is_stream() => super::stream::serve(&self, call, guard).await,
            Ok(call) => {
                let mut disconnect_guard = DisconnectGuard::new(&self, &call);
                let answer = self.until_cutoff(&call, super::unary::serve(&self, &call));
                let answer = answer.await;
                disconnect_guard.disarm();
                answer.unwrap_or_else(|error| self.fail_request(&call, &error))
            }
            Err((id, refusal)) => self.refuse(&id, None, &refusal, None),
        };
        if self.draining.get() {
            // The balancer sends the caller's next connection to another entry.
            answer
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Submits `work` to the scheduler and waits until it is placed or rejected.
    pub(super) async fn submit(
        self: &Rc<Self>,
        work: RequestContext,
    ) -> Result<PlacedRequest, RequestError> {
        let id = self.scheduler.borrow_mut().submit(Instant::now(), work);
        self.wait_for_placement(id)
            .await
            .map_err(RequestError::unsent)
    }

    /// Retries `work` after `failure`; `last_possible_run` holds the last failure after which the request may have run.
    pub(super) async fn retry_or_fail(
        self: &Rc<Self>,
        call: &Call,
        mut work: RequestContext,
        failure: Failure,
        last_possible_run: &mut Option<Failure>,
    ) -> Result<PlacedRequest, RequestError> {
        work.broken_attempts += u32::from(failure == Failure::Broken);
        if !failure.is_not_run() {
            *last_possible_run = Some(failure);
        }
        let last_attempt = LastAttempt::new(&work, failure);
        let rejection = match self.retry(work, failure).await {
            Some(Ok(placed)) => return Ok(placed),
            Some(Err(rejection)) => rejection,
            None => Rejection {
                reason: failure.name(),
                retry_after: self.retry_after(call.deadline),
            },
        };
        Err(RequestError::after(
            last_attempt,
            *last_possible_run,
            rejection,
        ))
    }

    /// Resubmits a request after a failed attempt; returns `None` if it may not be retried.
    pub(super) async fn retry(
        self: &Rc<Self>,
        work: RequestContext,
        failure: Failure,
    ) -> Option<Result<PlacedRequest, Rejection>> {
        let id = self
            .scheduler
            .borrow_mut()
            .retry(Instant::now(), work, failure)?;
        Some(self.wait_for_placement(id).await)
    }

    /// Returns the time after which a caller whose request did not run may retry.
    fn retry_after(&self, deadline: Instant) -> Duration {
        self.scheduler
            .borrow_mut()
            .retry_after(Instant::now(), deadline)
    }

    /// Logs and counts a refusal issued by the entry, and returns its response; `call` is the request with the given
    /// `id` if the configuration admitted it.
    fn refuse(
        &self,
        id: &str,
        call: Option<&Call>,
        refusal: &Refusal,
        last_attempt: Option<&LastAttempt>,
    ) -> Response<Body> {
        self.metrics.count_refusal(refusal.reason);
        let scheduler = self.scheduler.borrow();
        let failure = last_attempt.map(|last| last.failure.name());
        event!(
            event::REQUEST_REFUSED,
            request = id,
            status = refusal.status.as_u16(),
            reason = refusal.reason,
            service = call.map_or("none", |call| &*call.service),
            route = call.map_or("none", |call| &*call.route),
            target = last_attempt.map_or("none", |last| &*last.target),
            attempts = last_attempt.map_or(0, |last| last.number),
            failure = failure.unwrap_or("none"),
            age_ms = call.map_or(0, |call| call.arrived.elapsed().as_millis()),
            waiting = scheduler.waiting_count(),
            in_progress = scheduler.in_progress(),
            config = scheduler.config().map_or(0, |config| config.version),
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis()
        );
        refusal.response(id)
    }

    /// Returns the error response to a request that no target answered.
    pub(super) fn fail_request(&self, call: &Call, error: &RequestError) -> Response<Body> {
        let refusal = error.refusal();
        self.log_quarantine(call);
        let last_attempt = error.last_attempt.as_ref();
        self.refuse(&call.caller.id, Some(call), &refusal, last_attempt)
    }

    /// Logs and counts a response whose weights were already too old to begin it when its first event arrived.
    pub(super) fn check_version(&self, call: &Call, placed: &PlacedRequest, version: Option<u64>) {
        let (Some(version), Some(model)) = (version, &call.caller.model) else {
            return;
        };
        let now = Instant::now();
        let place = placed.place();
        let scheduler = self.scheduler.borrow();
        let oldest_allowed = scheduler.versions().oldest_allowed(model, now);
        if version >= oldest_allowed {
            return;
        }
        let target = scheduler.target(&place.target);
        let known = target.and_then(|target| target.weights.get(model).copied());
        self.metrics.count_outdated_answer();
        event!(
            event::OUTDATED_ANSWER,
            request = call.caller.id,
            target = place.target,
            version = version,
            known = known.unwrap_or_default(),
            due = oldest_allowed,
            placed_ms = placed.age(now).as_millis()
        );
    }

    /// Returns a receiver for the new place if the scheduler moves the stream `id` to another target.
    pub(super) fn watch_move(&self, id: RequestId) -> oneshot::Receiver<PlacedRequest> {
        let (sender, receiver) = oneshot::channel();
        self.move_senders.borrow_mut().insert(id, sender);
        receiver
    }

    /// Returns a receiver that resolves when the stream `id` must not begin any more, to the reason.
    pub(super) fn watch_cancel(&self, id: RequestId) -> oneshot::Receiver<Failure> {
        let (sender, receiver) = oneshot::channel();
        self.cancel_senders.borrow_mut().insert(id, sender);
        receiver
    }

    /// Removes the notification channels of the ended attempt `id`.
    pub(super) fn remove_channels(&self, id: RequestId) {
        self.move_senders.borrow_mut().remove(&id);
        self.cancel_senders.borrow_mut().remove(&id);
    }

    /// Places a second attempt for `work` while the first one continues, or returns `None` if no target has room.
    pub(super) fn place_concurrent(self: &Rc<Self>, work: RequestContext) -> Option<PlacedRequest> {
        let place = self.update(|scheduler, now| scheduler.place_concurrent(now, work))?;
        Some(PlacedRequest::new(Rc::clone(self), place))
    }

    /// Records that the first event of a request arrived.
    pub(super) fn record_first_event(&self, id: RequestId, version: Option<u64>) {
        let now = Instant::now();
        self.scheduler
            .borrow_mut()
            .record_first_event(now, id, version);
    }

    /// Sends a stream its new place, which is released at once if the stream has ended.
    fn move_stream(&self, request: RequestId, place: Placement) {
        let Some(gateway) = self.me.upgrade() else {
            return;
        };
        let placed = PlacedRequest::new(gateway, place);
        // The map's borrow ends before the send: if the receiver is gone, dropping the new place borrows the map again.
        let sender = self.move_senders.borrow_mut().remove(&request);
        if let Some(sender) = sender {
            let _ = sender.send(placed);
        }
    }

    async fn wait_for_placement(
        self: &Rc<Self>,
        id: RequestId,
    ) -> Result<PlacedRequest, Rejection> {
        let (sender, receiver) = oneshot::channel();
        self.decision_senders.borrow_mut().insert(id, sender);
        let mut queued = QueuedRequest {
            gateway: self,
            id,
            decision: receiver,
        };
        self.poll_scheduler();
        match (&mut queued.decision).await {
            Ok(Decision::Send(place)) => Ok(PlacedRequest::new(Rc::clone(self), place)),
            Ok(Decision::Reject {
                reason,
                retry_after,
                ..
            }) => Err(Rejection {
                reason: reason.name(),
                retry_after,
            }),
            // The gateway keeps the sender until the request is decided, and queued requests are never moved.
            Ok(Decision::Move { .. }) | Err(_) => {
                unreachable!("request {id} was moved or lost its sender while queued")
            }
        }
    }

    /// Polls the scheduler and delivers its decisions to the requests that wait for them.
    fn poll_scheduler(&self) {
        self.last_poll.set(Instant::now());
        self.load_reported.set(false);
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
                        self.move_stream(request, place);
                        continue;
                    }
                };
                let sender = self.decision_senders.borrow_mut().remove(&id);
                if sender.is_none_or(|sender| sender.send(decision).is_err()) {
                    // The caller has disconnected.
                    self.scheduler
                        .borrow_mut()
                        .record_end(now, id, Outcome::Abandoned);
                }
            }
        }
        let queries = self.scheduler.borrow_mut().permit_queries(Instant::now());
        if !queries.is_empty() {
            self.permit_queries.borrow_mut().extend(queries);
            self.queries_added.notify();
        }
    }
}

/// Formats a target's limit for log events.
pub(super) fn limit_text(limit: Option<Limit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self
            .gateway
            .decision_senders
            .borrow_mut()
            .remove(&self.id)
            .is_some()
        {
            self.gateway.scheduler.borrow_mut().cancel(self.id);
        } else if let Ok(Some(Decision::Send(place))) = self.decision.try_recv() {
            let abandoned = Outcome::Abandoned;
            self.gateway
                .update(|scheduler, now| scheduler.record_end(now, place.request, abandoned));
        }
    }
}

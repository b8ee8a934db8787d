//! The gateway: drives the router and proxies callers' requests to agents.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use node::Cutoff;
use node::http::header::{self, HeaderValue};
use node::http::{Body, Client, Request, Response};
use prometheus_client::registry::Registry;
use route::{
    Action, Answering, Done, Failure, InFlight, Outcome, Reason, Refusal, RequestId, Router,
    Submission, Unknown,
};

use crate::call::Call;
use crate::in_progress::InProgress;
use crate::metrics::{Metrics, RequestLabels};
use crate::relayed_body::RelayedBody;
use crate::shared::{Change, SharedState};
use crate::{Settings, response};

/// Label value for names that aren't in the catalogue.
const UNKNOWN_LABEL: &str = "unknown";
/// Retry-After of refusals while draining; the retry then reaches another entry.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum interval between two polls of the router: targets become suspect merely because time passes.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start for which the entry stays unhealthy while it has no weight reports.
///
/// Targets report to a new entry within about 2 s of its start.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// The router, the callers that wait for its actions, and the HTTP client for the agents.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) shared: SharedState,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    router: RefCell<Router>,
    action_senders: RefCell<HashMap<RequestId, UnboundedSender<Action>>>,
    in_progress: Rc<Cell<usize>>,
    started: Instant,
    /// Whether the entry has ever been healthy.
    ///
    /// It stays set, so targets that stop reporting don't make the health check fail again.
    ready: Cell<bool>,
    draining: Cell<bool>,
    refusing: Cell<bool>,
    /// Ends the requests that have no outcome when the drain timeout has passed.
    cutoff: Cutoff,
}

/// A request from its submission to the router until its outcome.
///
/// Dropping it, for example because the caller closed its connection, cancels the request.
struct PendingRequest {
    gateway: Rc<Gateway>,
    id: RequestId,
    actions: UnboundedReceiver<Action>,
    labels: RequestLabels,
    /// Whether it was sent to a target, which may have run it.
    sent: Rc<Cell<bool>>,
    /// Whether the outcome was recorded, or the response body has taken over recording it.
    ended: bool,
}

impl Gateway {
    /// Creates a gateway without targets or catalogue; both arrive as changes of `shared`.
    pub fn new(settings: Settings, shared: SharedState, registry: &mut Registry) -> Rc<Self> {
        let seed = uuid::Uuid::now_v7().as_u64_pair().1;
        let router = Router::new(&settings.domain, seed);
        Rc::new(Self {
            settings,
            shared,
            client: Client::new(),
            metrics: Metrics::new(registry),
            router: RefCell::new(router),
            action_senders: RefCell::default(),
            in_progress: Rc::default(),
            started: Instant::now(),
            ready: Cell::new(false),
            draining: Cell::new(false),
            refusing: Cell::new(false),
            cutoff: Cutoff::default(),
        })
    }

    /// Returns whether the balancer may send requests to this entry.
    ///
    /// The entry is unhealthy while it drains, until it has a catalogue, and for up to 3 s after the start while no
    /// target has reported the weights that it serves.
    pub fn is_healthy(&self) -> bool {
        let (router, now) = (self.router.borrow(), Instant::now());
        if router.catalogue().revision() > 0
            && (router.has_weight_reports(now) || now >= self.started + FIRST_REPORT_TIMEOUT)
        {
            self.ready.set(true);
        }
        self.ready.get() && !self.draining.get()
    }

    /// Returns whether a stop was requested.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the number of requests in progress, including responses that are being streamed.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Returns the JSON object for `/status`.
    pub fn status(&self) -> serde_json::Value {
        let router = self.router.borrow();
        crate::status::status_object(self, &router)
    }

    /// Makes the health check fail, so that the balancer stops sending requests.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Refuses all further requests with the outcome `not-run`.
    pub fn start_refusing(&self) {
        self.refusing.set(true);
    }

    /// Answers all requests that have no outcome yet; responses that have begun continue.
    pub fn cut_off(&self) {
        self.cutoff.reach();
    }

    /// Applies changes of the shared state to the router as they arrive; never returns.
    pub async fn apply_changes(self: Rc<Self>) {
        loop {
            let changes = self.shared.next_changes().await;
            let mut router = self.router.borrow_mut();
            for change in changes {
                match change {
                    Change::Catalog { revision, entry } => {
                        router.apply(entry, revision);
                    }
                    Change::Target { name, member } => router.upsert_target(&name, &member),
                    Change::TargetRemoved(name) => router.remove_target(&name),
                    Change::Report {
                        received_at,
                        report,
                    } => router.apply_report(received_at, &report),
                    Change::LiveEntries(count) => router.set_entries(count),
                    Change::ExpectedReporters(names) => router.set_expected_reporters(names),
                }
            }
            drop(router);
            self.dispatch_actions();
        }
    }

    /// Polls the router when its next deadline passes, and at least every 50 ms; never returns.
    pub async fn poll_periodically(self: Rc<Self>) {
        loop {
            let next = self.router.borrow().next_poll();
            let now = Instant::now();
            let wait = next.map_or(MAX_POLL_INTERVAL, |next| {
                next.saturating_duration_since(now).min(MAX_POLL_INTERVAL)
            });
            // Deadlines have millisecond resolution, so a shorter sleep would only poll again without effect.
            compio::time::sleep(wait.max(Duration::from_millis(1))).await;
            self.dispatch_actions();
        }
    }

    /// Handles one caller's request.
    pub async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let started = Instant::now();
        let guard = InProgress::new(&self.in_progress);
        let call = match Call::parse(request) {
            Ok(call) => call,
            Err(detail) => {
                let labels = self.labels("", "");
                let refusal = Refusal::permanent(Reason::Malformed);
                return self.refuse(&labels, &refusal, Some(detail));
            }
        };
        let labels = self.labels(&call.workspace, &call.service);
        let pending = match self.submit(&call, labels.clone()) {
            Ok(pending) => pending,
            Err((refusal, detail)) => return self.refuse(&labels, &refusal, detail),
        };
        let sent = Rc::clone(&pending.sent);
        let response = self.cutoff.limit(pending.serve(&call, started, guard));
        match response.await {
            Some(response) => response,
            None if sent.get() => response::from_outcome(&Outcome::Unknown(Unknown::Stopped)),
            None => self.refuse(&labels, &draining_refusal(), None),
        }
    }

    /// Polls the router and delivers its actions to the pending requests.
    pub(crate) fn dispatch_actions(&self) {
        loop {
            let actions = self.router.borrow_mut().poll(Instant::now());
            let mut undelivered = false;
            for action in actions {
                let id = match &action {
                    Action::Send(request) => request.id(),
                    Action::Finish(request) => request.id(),
                };
                let senders = self.action_senders.borrow();
                let delivered = senders
                    .get(&id)
                    .is_some_and(|sender| sender.unbounded_send(action).is_ok());
                // The caller disconnected: dropping the action released its capacity, so the router can place another
                // request.
                undelivered |= !delivered;
            }
            if !undelivered {
                break;
            }
        }
        self.metrics.update_gauges(&self.router.borrow());
    }

    pub(crate) fn response_started(&self, request: InFlight) -> route::Request<Answering> {
        self.router
            .borrow_mut()
            .answer_started(Instant::now(), request)
    }

    /// Reports the end of a response to the router; `complete` is false if the response was cut off.
    pub(crate) fn response_finished(
        &self,
        request: route::Request<Answering>,
        complete: bool,
    ) -> route::Request<Done> {
        let done = self
            .router
            .borrow_mut()
            .answer_finished(Instant::now(), request, complete);
        self.dispatch_actions();
        done
    }

    /// Returns whether the target is down or no longer in the service's pool.
    pub(crate) fn is_down(&self, service: &str, target: &str) -> bool {
        let router = self.router.borrow();
        let target = router.pool(service).and_then(|pool| pool.get(target));
        target.is_none_or(|target| target.state(Instant::now()) == route::State::Down)
    }

    fn submit(
        self: &Rc<Self>,
        call: &Call,
        labels: RequestLabels,
    ) -> Result<PendingRequest, (Refusal, Option<&'static str>)> {
        if self.refusing.get() {
            return Err((draining_refusal(), None));
        }
        let mut router = self.router.borrow_mut();
        let admission = router
            .catalogue()
            .admit(&call.workspace, &call.service)
            .map_err(|refusal| (refusal, None))?;
        if !admission.repeatable && call.key.is_none() {
            let detail = Some("idempotency-key must be a UUIDv7");
            return Err((Refusal::permanent(Reason::Malformed), detail));
        }
        let submission = Submission {
            workspace: &call.workspace,
            service: &call.service,
            deadline: call.deadline,
            prefix_hash: call.prefix_hash().filter(|_| !admission.pins.is_empty()),
            claim_slot: call.claim_slot(),
        };
        let id = router
            .submit(Instant::now(), &submission)
            .map_err(|refusal| (refusal, None))?;
        drop(router);
        let (sender, actions) = unbounded();
        self.action_senders.borrow_mut().insert(id, sender);
        Ok(PendingRequest {
            gateway: Rc::clone(self),
            id,
            actions,
            labels,
            sent: Rc::default(),
            ended: false,
        })
    }

    fn refuse(
        &self,
        labels: &RequestLabels,
        refusal: &Refusal,
        detail: Option<&str>,
    ) -> Response<Body> {
        self.metrics
            .record_outcome(labels, response::NOT_RUN, &refusal.reason.to_string());
        let mut response = response::refused(refusal, detail);
        if self.refusing.get() {
            // Makes the caller reconnect; the balancer sends the new connection to another entry.
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the metric labels of a request.
    ///
    /// Names that aren't in the catalogue share one label value, so that callers can't create new time series.
    fn labels(&self, workspace: &str, service: &str) -> RequestLabels {
        let router = self.router.borrow();
        match router.catalogue().admit(workspace, service) {
            Ok(admission) => RequestLabels {
                service: admission.service,
                class: admission.class,
                workspace: admission.workspace,
            },
            Err(_) => RequestLabels {
                service: UNKNOWN_LABEL.into(),
                class: UNKNOWN_LABEL.into(),
                workspace: UNKNOWN_LABEL.into(),
            },
        }
    }
}

/// Returns the refusal of a request that did not run because the entry stops.
fn draining_refusal() -> Refusal {
    Refusal::retry(Reason::Draining, DRAINING_RETRY_AFTER)
}

impl PendingRequest {
    /// Executes the router's actions until the request has a response or a final outcome.
    async fn serve(mut self, call: &Call, started: Instant, guard: InProgress) -> Response<Body> {
        let gateway = Rc::clone(&self.gateway);
        gateway.dispatch_actions();
        while let Some(action) = self.actions.next().await {
            let in_flight = match action {
                Action::Send(in_flight) => in_flight,
                Action::Finish(done) => {
                    self.record_outcome(done.outcome());
                    return response::from_outcome(done.outcome());
                }
            };
            self.sent.set(true);
            match gateway.attempt(call, &in_flight).await {
                Ok(response) => {
                    gateway
                        .metrics
                        .record_first_byte(&self.labels, started.elapsed());
                    let (parts, body) = response.into_parts();
                    let request = gateway.response_started(in_flight);
                    self.ended = true;
                    let labels = self.labels.clone();
                    let relayed = RelayedBody::new(&gateway, request, body, labels, guard);
                    return response::answered(parts.status, &parts.headers, relayed.into_body());
                }
                Err(failure) => self.attempt_failed(in_flight, failure),
            }
        }
        // The gateway keeps the sender until this value is dropped.
        unreachable!("the action channel of request {} closed early", self.id)
    }

    fn attempt_failed(&self, in_flight: InFlight, failure: Failure) {
        self.gateway
            .router
            .borrow_mut()
            .attempt_failed(Instant::now(), in_flight, failure);
        self.gateway.dispatch_actions();
    }

    fn record_outcome(&mut self, outcome: &Outcome) {
        self.ended = true;
        let reason = response::reason_label(outcome);
        self.gateway.metrics.record_outcome(
            &self.labels,
            response::outcome_label(outcome),
            &reason,
        );
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.gateway.action_senders.borrow_mut().remove(&self.id);
        if !self.ended {
            self.gateway
                .metrics
                .record_outcome(&self.labels, "gone", "");
            self.gateway.router.borrow_mut().cancel(self.id);
        }
        self.gateway.dispatch_actions();
    }
}

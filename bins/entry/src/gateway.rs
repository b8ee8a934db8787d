//! Requests in progress: the state that all of the entry's tasks share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use node::http::header::{self, HeaderValue};
use node::http::{Body, Client, Request, Response};
use prometheus_client::registry::Registry;
use route::{
    Action, Answering, Done, Failure, InFlight, Outcome, Reason, Refusal, RequestId, Router,
    Submission,
};

use crate::call::Call;
use crate::in_progress::InProgress;
use crate::metrics::{Labels, Metrics};
use crate::passing::Passing;
use crate::shared::{Change, Shared};
use crate::{Settings, answer};

/// Label of a name that the catalogue doesn't hold.
const NOT_IN_CATALOGUE: &str = "unknown";
/// Time after which a caller may try again, at another entry, when this one is draining.
const DRAINING_WAIT: Duration = Duration::from_secs(1);
/// Longest time between two polls: targets become suspect without any event.
const TICK: Duration = Duration::from_millis(50);
/// Longest time after the start for which the entry waits for reports before it takes callers; targets report to a new
/// entry within about 2 s of its start.
const REPORT_WAIT: Duration = Duration::from_secs(3);

/// Router, callers that wait for it, and connections to agents.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) shared: Shared,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    router: RefCell<Router>,
    steps: RefCell<HashMap<RequestId, UnboundedSender<Action>>>,
    in_progress: Rc<Cell<usize>>,
    started: Instant,
    /// True once the entry has been healthy: targets that fall silent later must not take it out of the balancer.
    ready: Cell<bool>,
    draining: Cell<bool>,
    refusing: Cell<bool>,
}

/// What a request's handler holds from submission to outcome.
///
/// Dropping it, for example because the caller closed its connection, takes a waiting request out of the queue.
struct Ticket {
    gateway: Rc<Gateway>,
    id: RequestId,
    steps: UnboundedReceiver<Action>,
    labels: Labels,
    ended: bool,
}

impl Gateway {
    /// Returns a gateway without targets or catalogue; `shared` supplies both.
    pub fn new(settings: Settings, shared: Shared, registry: &mut Registry) -> Rc<Self> {
        let seed = uuid::Uuid::now_v7().as_u64_pair().1;
        let router = Router::new(&settings.domain, seed);
        Rc::new(Self {
            settings,
            shared,
            client: Client::new(),
            metrics: Metrics::new(registry),
            router: RefCell::new(router),
            steps: RefCell::default(),
            in_progress: Rc::default(),
            started: Instant::now(),
            ready: Cell::new(false),
            draining: Cell::new(false),
            refusing: Cell::new(false),
        })
    }

    /// Returns whether the entry takes new work, as the balancer is told: not while draining, without a catalogue, or
    /// for a short time after the start while no target has reported which of a service's weights it serves.
    pub fn is_healthy(&self) -> bool {
        let (router, now) = (self.router.borrow(), Instant::now());
        if router.catalogue().revision() > 0
            && (router.has_weight_reports(now) || now >= self.started + REPORT_WAIT)
        {
            self.ready.set(true);
        }
        self.ready.get() && !self.draining.get()
    }

    /// Returns whether the entry was asked to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the number of callers that are being served.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Returns the object of `/status`.
    pub fn status(&self) -> serde_json::Value {
        let router = self.router.borrow();
        crate::status::object(self, &router)
    }

    /// Tells the balancer to send no more requests.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Refuses all further requests as not run.
    pub fn start_refusing(&self) {
        self.refusing.set(true);
    }

    /// Takes changes of the shared state as they come.
    pub async fn follow_changes(self: Rc<Self>) {
        loop {
            let changes = self.shared.changes().await;
            let mut router = self.router.borrow_mut();
            for change in changes {
                match change {
                    Change::Catalog { revision, entry } => {
                        router.apply(entry, revision);
                    }
                    Change::Target { name, member } => router.upsert_target(&name, &member),
                    Change::TargetRemoved(name) => router.remove_target(&name),
                    Change::Report { at, report } => router.apply_report(at, &report),
                    Change::Entries(count) => router.set_entries(count),
                    Change::Reporters(names) => router.set_expected_reporters(names),
                }
            }
            drop(router);
            self.pump();
        }
    }

    /// Polls the router when a deadline passes, and at least every 50 ms.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.router.borrow().next_poll();
            let now = Instant::now();
            let wait = next.map_or(TICK, |next| next.saturating_duration_since(now).min(TICK));
            // Deadlines are given in milliseconds; a shorter sleep would only repeat the poll.
            compio::time::sleep(wait.max(Duration::from_millis(1))).await;
            self.pump();
        }
    }

    /// Serves one caller's request.
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
        let ticket = match self.submit(&call, labels.clone()) {
            Ok(ticket) => ticket,
            Err((refusal, detail)) => return self.refuse(&labels, &refusal, detail),
        };
        ticket.serve(&call, started, guard).await
    }

    /// Lets the router act and passes its actions to the callers that wait for them.
    pub(crate) fn pump(&self) {
        loop {
            let actions = self.router.borrow_mut().poll(Instant::now());
            let mut freed = false;
            for action in actions {
                let id = match &action {
                    Action::Send(request) => request.id(),
                    Action::Finish(request) => request.id(),
                };
                let steps = self.steps.borrow();
                let delivered = steps
                    .get(&id)
                    .is_some_and(|step| step.unbounded_send(action).is_ok());
                // The caller is gone: dropping the request freed its place for another one.
                freed |= !delivered;
            }
            if !freed {
                break;
            }
        }
        self.metrics.observe(&self.router.borrow());
    }

    pub(crate) fn answering(&self, request: InFlight) -> route::Request<Answering> {
        self.router
            .borrow_mut()
            .answer_started(Instant::now(), request)
    }

    pub(crate) fn finished(
        &self,
        request: route::Request<Answering>,
        whole: bool,
    ) -> route::Request<Done> {
        let done = self
            .router
            .borrow_mut()
            .answer_finished(Instant::now(), request, whole);
        self.pump();
        done
    }

    /// Tells whether the target of a service no longer reports.
    pub(crate) fn is_down(&self, service: &str, target: &str) -> bool {
        let router = self.router.borrow();
        let target = router.pool(service).and_then(|pool| pool.get(target));
        target.is_none_or(|target| target.state(Instant::now()) == route::State::Down)
    }

    fn submit(
        self: &Rc<Self>,
        call: &Call,
        labels: Labels,
    ) -> Result<Ticket, (Refusal, Option<&'static str>)> {
        if self.refusing.get() {
            return Err((Refusal::retry(Reason::Draining, DRAINING_WAIT), None));
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
            prefix_hash: call.affinity().filter(|_| !admission.pins.is_empty()),
            claim_slot: call.slot(),
        };
        let id = router
            .submit(Instant::now(), &submission)
            .map_err(|refusal| (refusal, None))?;
        drop(router);
        let (sender, steps) = unbounded();
        self.steps.borrow_mut().insert(id, sender);
        Ok(Ticket {
            gateway: Rc::clone(self),
            id,
            steps,
            labels,
            ended: false,
        })
    }

    fn refuse(&self, labels: &Labels, refusal: &Refusal, detail: Option<&str>) -> Response<Body> {
        self.metrics
            .ended(labels, answer::NOT_RUN, &refusal.reason.to_string());
        let mut answer = answer::refused(refusal, detail);
        if self.refusing.get() {
            // The caller's next connection goes to another entry.
            answer
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Returns the labels of a request; callers can't make up new label values.
    fn labels(&self, workspace: &str, service: &str) -> Labels {
        let router = self.router.borrow();
        match router.catalogue().admit(workspace, service) {
            Ok(admission) => Labels {
                service: admission.service,
                class: admission.class,
                workspace: admission.workspace,
            },
            Err(_) => Labels {
                service: NOT_IN_CATALOGUE.into(),
                class: NOT_IN_CATALOGUE.into(),
                workspace: NOT_IN_CATALOGUE.into(),
            },
        }
    }
}

impl Ticket {
    /// Follows the router's actions until the request has its answer or outcome.
    async fn serve(mut self, call: &Call, started: Instant, guard: InProgress) -> Response<Body> {
        let gateway = Rc::clone(&self.gateway);
        gateway.pump();
        while let Some(action) = self.steps.next().await {
            let sent = match action {
                Action::Send(sent) => sent,
                Action::Finish(done) => {
                    self.end(done.outcome());
                    return answer::ended(done.outcome());
                }
            };
            match gateway.attempt(call, &sent).await {
                Ok(head) => {
                    gateway.metrics.first_byte(&self.labels, started.elapsed());
                    let (parts, body) = head.into_parts();
                    let request = gateway.answering(sent);
                    self.ended = true;
                    let labels = self.labels.clone();
                    let passing = Passing::new(&gateway, request, body, labels, guard);
                    return answer::answered(parts.status, &parts.headers, passing.into_body());
                }
                Err(failure) => self.failed(sent, failure),
            }
        }
        // The sender lives in the gateway until this ticket is dropped.
        unreachable!("the request {} lost its router", self.id)
    }

    fn failed(&self, sent: InFlight, failure: Failure) {
        self.gateway
            .router
            .borrow_mut()
            .attempt_failed(Instant::now(), sent, failure);
        self.gateway.pump();
    }

    fn end(&mut self, outcome: &Outcome) {
        self.ended = true;
        let reason = answer::reason(outcome);
        self.gateway
            .metrics
            .ended(&self.labels, answer::label(outcome), &reason);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.gateway.steps.borrow_mut().remove(&self.id);
        if !self.ended {
            self.gateway.metrics.ended(&self.labels, "gone", "");
            self.gateway.router.borrow_mut().cancel(self.id);
        }
        self.gateway.pump();
    }
}

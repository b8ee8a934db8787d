//! What the tasks of the agent share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use gate::{Action, Controller, Event, Gate, InFlightGuard, Incarnation, Refusal};
use gossip::{Key, Store, Value};
use weights::{Digest, Pin};

use crate::{Metrics, Notify, Settings};

/// State of the agent, shared by all tasks of its event loop.
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Records received from the entries, and the agent's own; call [`Shared::view_changed`] after changes.
    pub view: RefCell<Store>,
    /// Claims of keyed calls; the module `claims` keeps them in step with the platform.
    pub claims: RefCell<claim::Owner>,
    /// What the next report says besides the state of the gate.
    pub counters: Counters,
    /// Metrics of the operator port.
    pub metrics: Metrics,
    /// Counts changes of the wanted or active weights, of the view and of the staging.
    pub changed: Notify,
    /// Counts ended calls of those that must run at most once.
    pub outcomes: Notify,
    /// Counts reports that must be sent at once.
    pub report: Notify,
    /// Fencing number, which is also the incarnation of the agent's records.
    pub number: Cell<Option<u64>>,
    /// Incarnation of the agent's records while it has no fencing number: its start, in milliseconds since 1970.
    pub started_ms: u64,
    /// Weights to bring into the engine, and the engine's incarnation.
    pub staging: RefCell<Option<(Pin, Incarnation)>>,
    /// Counts the times that the gate asked for staging, also of the same weights again.
    pub staging_asked: Notify,
    /// Set once the agent was asked to stop and no request is in progress.
    pub finished: Cell<bool>,
    controller: RefCell<Controller>,
    actions: UnboundedSender<Action>,
}

/// Figures for the report and the operator port.
#[derive(Debug, Default)]
pub struct Counters {
    /// Chunks held of the version that is being transferred.
    pub chunks: Cell<u32>,
    /// Requests running at the backend, as the backend reports it.
    pub running: Cell<u32>,
    /// Requests waiting at the backend, as the backend reports it.
    pub waiting: Cell<u32>,
    /// Bit set of the claim slots that the agent owns.
    pub slots: Cell<u16>,
}

/// A request in progress; dropping it releases its place and lets a drain go on.
pub struct InProgress {
    call: Option<InFlightGuard>,
    shared: Rc<Shared>,
}

impl Shared {
    /// Returns the state of a starting agent, and the actions that its gate asks for.
    pub fn new(settings: Settings, started_ms: u64) -> (Rc<Self>, UnboundedReceiver<Action>) {
        let (actions, receiver) = unbounded();
        let controller = Controller::new(settings.backend, Instant::now());
        let claims = claim::Owner::new(&settings.name, random());
        let shared = Self {
            settings,
            view: RefCell::new(Store::new()),
            claims: RefCell::new(claims),
            counters: Counters::default(),
            metrics: Metrics::default(),
            changed: Notify::default(),
            outcomes: Notify::default(),
            report: Notify::default(),
            number: Cell::new(None),
            started_ms,
            staging: RefCell::default(),
            staging_asked: Notify::default(),
            finished: Cell::new(false),
            controller: RefCell::new(controller),
            actions,
        };
        (Rc::new(shared), receiver)
    }

    /// Returns the incarnation of the agent's own records.
    pub fn incarnation(&self) -> u64 {
        self.number.get().unwrap_or(self.started_ms)
    }

    /// Returns the state of the gate for a report.
    pub fn gate(&self) -> wire::Gate {
        match self.controller.borrow().gate() {
            Gate::Closed(_) => wire::Gate::Closed,
            Gate::Open(_) => wire::Gate::Open,
            Gate::Draining(_) => wire::Gate::Draining,
        }
    }

    /// Returns the state of the gate as its metric shows it.
    pub fn gate_metric(&self) -> i64 {
        match self.gate() {
            wire::Gate::Closed => 0,
            wire::Gate::Open => 1,
            wire::Gate::Draining => 2,
        }
    }

    /// Returns the pin that the gate serves or drains.
    pub fn pin(&self) -> Option<Pin> {
        self.controller.borrow().gate().pin().cloned()
    }

    /// Returns the pin that the catalogue names.
    pub fn wanted(&self) -> Option<Pin> {
        self.controller.borrow().wanted().cloned()
    }

    /// Returns the digest of the weights that the engine serves, as far as known.
    pub fn active(&self) -> Option<Digest> {
        self.controller.borrow().status()?.active
    }

    /// Returns the wanted digest while only its turn keeps the target from switching to it.
    pub fn awaits_turn(&self) -> Option<Digest> {
        let controller = self.controller.borrow();
        let wanted = controller.wanted().filter(|_| controller.awaits_turn())?;
        Some(wanted.digest)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.controller.borrow().calls().count()
    }

    /// Tells whether the agent was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.controller.borrow().is_leaving()
    }

    /// Returns the catalogue entry of the agent's service, when the view holds a valid one.
    pub fn service(&self) -> Option<catalog::Service> {
        let key = Key::Catalog(format!("service/{}", self.settings.service));
        let Value::Catalog(text) = self.view.borrow().get(&key)?.value else {
            return None;
        };
        match serde_json::from_str(&text) {
            Ok(catalog::Entry::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Takes note of a change of the view: the wanted weights may differ.
    pub fn view_changed(&self) {
        // A view without the service's entry says nothing about the weights.
        if let Some(service) = self.service() {
            let model = service.model.filter(|_| !service.retired);
            let wanted = model.as_ref().map(catalog::Model::pin);
            // The replaced pins come first, so that the gate never sees the new pin without them.
            self.handle(Event::Replaced(
                model.map_or(Vec::new(), |model| model.replaced),
            ));
            self.handle(Event::Wanted(wanted));
        }
        self.changed.notify();
    }

    /// Passes an event to the gate and queues the actions that follow.
    pub fn handle(&self, event: Event) {
        let actions = self.controller.borrow_mut().handle(event, Instant::now());
        for action in actions {
            // The receiver ends only with the process.
            let _ = self.actions.unbounded_send(action);
        }
    }

    /// Admits a request with `pin`.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted.
    pub fn admit(self: &Rc<Self>, pin: Option<&Pin>) -> Result<InProgress, Refusal> {
        let call = self.controller.borrow().admit(pin, Instant::now())?;
        Ok(InProgress {
            call: Some(call),
            shared: Rc::clone(self),
        })
    }
}

impl InProgress {
    /// Checks that an answer was made from the weights that the request asked for; otherwise the gate is closed.
    ///
    /// # Errors
    ///
    /// Returns both digests when they differ; the answer must be dropped.
    pub fn check(&self, weights: Option<Digest>) -> Result<(), gate::Mismatch> {
        let Some(call) = &self.call else {
            return Ok(());
        };
        let mut controller = self.shared.controller.borrow_mut();
        let checked = controller.check_weights(call, weights, Instant::now());
        drop(controller);
        if checked.is_err() {
            self.shared.metrics.mismatches.inc();
            self.shared.report.notify();
        }
        checked
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.call = None;
        self.shared.handle(Event::Tick);
    }
}

/// Returns a random number.
pub fn random() -> u64 {
    // The last 62 bits of a UUIDv7 are random (RFC 9562, section 5.7); the two above them say that it is a UUID.
    uuid::Uuid::now_v7().as_u64_pair().1
}

//! State shared by the agent's tasks.

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
    /// Claims of keyed calls; the module `claims` synchronizes them with the platform.
    pub claims: RefCell<claim::Owner>,
    /// Figures that the next report contains besides the state of the gate.
    pub counters: Counters,
    /// Metrics of the operator port.
    pub metrics: Metrics,
    /// Counts changes of the wanted or active weights, of the view and of the staging.
    pub changed: Notify,
    /// Counts finished calls that must run at most once.
    pub finished_calls: Notify,
    /// Counts reports that must be sent at once.
    pub report_requested: Notify,
    /// Fencing number, which is also the incarnation of the agent's records.
    pub fencing_number: Cell<Option<u64>>,
    /// Incarnation of the agent's records while it has no fencing number: its start, in milliseconds since 1970.
    pub started_ms: u64,
    /// Weights to stage in the engine, and the engine's incarnation.
    pub staging: RefCell<Option<(Pin, Incarnation)>>,
    /// Counts the gate's requests for staging, including repeated ones for the same weights.
    pub staging_requested: Notify,
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

/// A call in progress; dropping it ends the call, so that a drain can continue.
pub struct InFlightCall {
    guard: Option<InFlightGuard>,
    shared: Rc<Shared>,
}

impl Shared {
    /// Creates the state of a starting agent, and the receiver of the actions that its gate requests.
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
            finished_calls: Notify::default(),
            report_requested: Notify::default(),
            fencing_number: Cell::new(None),
            started_ms,
            staging: RefCell::default(),
            staging_requested: Notify::default(),
            finished: Cell::new(false),
            controller: RefCell::new(controller),
            actions,
        };
        (Rc::new(shared), receiver)
    }

    /// Returns the incarnation of the agent's own records.
    pub fn incarnation(&self) -> u64 {
        self.fencing_number.get().unwrap_or(self.started_ms)
    }

    /// Returns the state of the gate for a report.
    pub fn gate(&self) -> wire::Gate {
        match self.controller.borrow().gate() {
            Gate::Closed(_) => wire::Gate::Closed,
            Gate::Open(_) => wire::Gate::Open,
            Gate::Draining(_) => wire::Gate::Draining,
        }
    }

    /// Returns the value of the gate metric.
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

    /// Returns the pin that the catalogue specifies.
    pub fn wanted(&self) -> Option<Pin> {
        self.controller.borrow().wanted().cloned()
    }

    /// Returns the digest of the weights that the engine serves, if known.
    pub fn active(&self) -> Option<Digest> {
        self.controller.borrow().status()?.active
    }

    /// Returns the wanted digest if the target only waits for its turn to switch to it.
    pub fn awaits_turn(&self) -> Option<Digest> {
        let controller = self.controller.borrow();
        let wanted = controller.wanted().filter(|_| controller.awaits_turn())?;
        Some(wanted.digest)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.controller.borrow().calls().count()
    }

    /// Returns whether the agent was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.controller.borrow().is_leaving()
    }

    /// Returns the catalogue entry of the agent's service if the view contains a valid one.
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

    /// Updates the wanted weights after a change of the view.
    pub fn view_changed(&self) {
        // Without the service's entry, the wanted weights are unknown and stay as they are.
        if let Some(service) = self.service() {
            let model = service.model.filter(|_| !service.retired);
            let wanted = model.as_ref().map(catalog::Model::pin);
            // The replaced pins are sent first, so that the gate never has the new pin without them.
            self.handle(Event::Replaced(
                model.map_or(Vec::new(), |model| model.replaced),
            ));
            self.handle(Event::Wanted(wanted));
        }
        self.changed.notify();
    }

    /// Passes an event to the gate and queues the resulting actions.
    pub fn handle(&self, event: Event) {
        let actions = self.controller.borrow_mut().handle(event, Instant::now());
        for action in actions {
            // The receiver lives as long as the process.
            let _ = self.actions.unbounded_send(action);
        }
    }

    /// Admits a request with `pin`.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted.
    pub fn admit(self: &Rc<Self>, pin: Option<&Pin>) -> Result<InFlightCall, Refusal> {
        let guard = self.controller.borrow().admit(pin, Instant::now())?;
        Ok(InFlightCall {
            guard: Some(guard),
            shared: Rc::clone(self),
        })
    }
}

impl InFlightCall {
    /// Checks that a response was made from the weights that the request asked for; otherwise the gate closes.
    ///
    /// # Errors
    ///
    /// Returns both digests if they differ; the response must be dropped.
    pub fn check_weights(&self, weights: Option<Digest>) -> Result<(), gate::Mismatch> {
        let Some(guard) = &self.guard else {
            return Ok(());
        };
        let mut controller = self.shared.controller.borrow_mut();
        let checked = controller.check_weights(guard, weights, Instant::now());
        drop(controller);
        if checked.is_err() {
            self.shared.metrics.mismatches.inc();
            self.shared.report_requested.notify();
        }
        checked
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.guard = None;
        self.shared.handle(Event::Tick);
    }
}

/// Returns a random number.
pub fn random() -> u64 {
    // The low 62 bits of a UUIDv7 are random (RFC 9562, section 5.7); the two above them are the UUID variant.
    uuid::Uuid::now_v7().as_u64_pair().1
}

//! Controller of the gate: state of the engine as known to the agent, and the resulting decisions.

use std::mem;
use std::time::{Duration, Instant};

use weights::{Digest, Pin};

use crate::Incarnation;
use crate::event::{Action, Backend, Event, Mismatch, OrderAnswer, Status};
use crate::gate::{Draining, Gate, InFlightCount, InFlightGuard, Refusal};

/// Time between two status polls.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Age at which a status expires and the gate closes.
///
/// Two consecutive polls may be lost before a healthy target stops serving.
pub const STATUS_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Time after which a drain for a switch is aborted and the gate reopens for the old pin.
///
/// Requests end by their own deadline (30 s for the slowest service), so only a stuck request exceeds this limit.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay before an order that was rejected or lost is retried.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of earlier pins for which the gate may open while the wanted weights are being staged.
const MAX_EARLIER_PINS: usize = 4;

/// Whether the agent may send orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderState {
    /// No fencing number is known, neither the platform's nor a provisional one.
    Unnumbered,
    /// Orders have this fencing number.
    Numbered(u64),
    /// The engine has accepted an order with a higher fencing number.
    Superseded,
}

/// Latest status that has not expired.
#[derive(Clone, Copy, Debug)]
struct ObservedStatus {
    status: Status,
    /// Time at which the poll or order that returned it was sent.
    sent_at: Instant,
}

/// Decides when requests are admitted and which orders are sent to the engine.
///
/// ```
/// use gate::{Action, Backend, Controller, Event, Status};
/// use weights::{Digest, Pin};
///
/// let now = std::time::Instant::now();
/// let pin = Pin::new("fixtures-lm", "v7", Digest::of(b"v7"));
/// let mut controller = Controller::new(Backend::Engine, now);
/// assert_eq!(controller.handle(Event::Wanted(Some(pin.clone())), now), [Action::Poll(1)]);
/// let status = Status { incarnation: 1, active: Some(pin.digest) };
/// controller.handle(Event::Polled(1, Some(status)), now);
/// assert!(controller.admit(Some(&pin), now).is_ok());
/// ```
#[derive(Debug)]
pub struct Controller {
    backend: Backend,
    gate: Gate,
    calls: InFlightCount,
    wanted: Option<Pin>,
    /// Earlier pins of the catalogue, newest first: those observed here and those listed in its entry.
    earlier: Vec<Pin>,
    orders: OrderState,
    observed: Option<ObservedStatus>,
    /// No poll is sent before this time.
    next_poll_at: Instant,
    poll: u64,
    last_poll_at: Option<Instant>,
    poll_pending: bool,
    /// Weights and engine for which staging was requested.
    staging: Option<(Digest, Incarnation)>,
    /// Weights and engine for which staging is complete.
    staged: Option<(Digest, Incarnation)>,
    turn: bool,
    order: u64,
    /// Time at which the order in progress was sent.
    order_sent_at: Option<Instant>,
    /// Engine in which the last order may still take effect unnoticed.
    order_lost: Option<Incarnation>,
    retry_at: Instant,
    leaving: bool,
    finished: bool,
}

impl Controller {
    /// Creates a controller with a closed gate and no status of the backend.
    pub fn new(backend: Backend, now: Instant) -> Self {
        Self {
            backend,
            gate: Gate::default(),
            calls: InFlightCount::default(),
            wanted: None,
            earlier: Vec::new(),
            orders: OrderState::Unnumbered,
            observed: None,
            next_poll_at: now,
            poll: 0,
            last_poll_at: None,
            poll_pending: false,
            staging: None,
            staged: None,
            turn: false,
            order: 0,
            order_sent_at: None,
            order_lost: None,
            retry_at: now,
            leaving: false,
            finished: false,
        }
    }

    /// Returns the gate.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns the weights that the catalogue names.
    pub fn wanted(&self) -> Option<&Pin> {
        self.wanted.as_ref()
    }

    /// Returns the latest status, unless it has expired.
    pub fn status(&self) -> Option<Status> {
        self.observed.map(|observed| observed.status)
    }

    /// Returns the counter of requests in progress.
    pub fn calls(&self) -> &InFlightCount {
        &self.calls
    }

    /// Returns whether a stop was requested.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the target is ready to switch and only waits for its turn.
    pub fn awaits_turn(&self) -> bool {
        matches!(self.gate, Gate::Open(_)) && self.is_staged() && !self.turn && !self.leaving
    }

    /// Admits a request with `pin`, or without one for plain backends.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] unless the gate is open and the backend is known to serve exactly `pin`.
    pub fn admit(&self, pin: Option<&Pin>, now: Instant) -> Result<InFlightGuard, Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        match &self.gate {
            Gate::Open(_) if self.is_expired(now) => Err(Refusal::Closed),
            Gate::Open(open) => open.admit(pin, &self.calls),
            Gate::Draining(_) => Err(Refusal::Draining),
            Gate::Closed(_) => Err(Refusal::Closed),
        }
    }

    /// Checks that the answer to `call` was computed from the requested weights.
    ///
    /// # Errors
    ///
    /// Returns a [`Mismatch`] if the weights differ. The answer must then be dropped. The gate is closed until the
    /// status of a poll that is sent one [`POLL_INTERVAL`] later confirms the pin.
    pub fn check_weights(
        &mut self,
        call: &InFlightGuard,
        weights: Option<Digest>,
        now: Instant,
    ) -> Result<(), Mismatch> {
        match call.pin() {
            Some(pin) if weights != Some(pin.digest) => {
                self.invalidate_status(now + POLL_INTERVAL);
                Err(Mismatch {
                    expected: pin.clone(),
                    found: weights,
                })
            }
            _ => Ok(()),
        }
    }

    /// Handles an event and returns the resulting actions, in the order in which they must be carried out.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let old_state = mem::discriminant(&self.gate);
        let old_pin = self.gate.pin().cloned();
        match event {
            Event::Tick => {}
            Event::Wanted(wanted) => self.set_wanted(wanted),
            Event::Replaced(pins) => self.add_earlier_pins(pins),
            Event::Number(number) => self.accept_number(number),
            Event::Staged(digest, incarnation) => self.complete_staging(digest, incarnation),
            Event::Turn(turn) => self.turn = turn,
            Event::Polled(poll, status) => self.accept_status(poll, status),
            // The poll in flight detects the failure as well. Many failures at once must not restart it each time.
            Event::ConnectionFailed if self.poll_pending => {}
            Event::ConnectionFailed => self.last_poll_at = None,
            Event::Ordered(order, answer) => self.end_order(order, answer, now, &mut actions),
            Event::Leave if self.leaving => {}
            Event::Leave => {
                self.leaving = true;
                actions.push(Action::Report);
            }
        }
        self.advance(now, &mut actions);
        let changed =
            old_state != mem::discriminant(&self.gate) || old_pin.as_ref() != self.gate.pin();
        if changed && !actions.contains(&Action::Report) {
            actions.push(Action::Report);
        }
        actions
    }

    fn set_wanted(&mut self, wanted: Option<Pin>) {
        if wanted == self.wanted {
            return;
        }
        if let Some(pin) = mem::replace(&mut self.wanted, wanted) {
            self.add_earlier_pins(vec![pin]);
        }
        // The turn was determined for the earlier weights.
        self.turn = false;
    }

    /// Inserts `pins` before the earlier pins known so far.
    fn add_earlier_pins(&mut self, mut pins: Vec<Pin>) {
        self.earlier.retain(|earlier| !pins.contains(earlier));
        pins.append(&mut self.earlier);
        pins.truncate(MAX_EARLIER_PINS);
        self.earlier = pins;
    }

    /// Accepts a number that is higher than the current one. The platform's may replace a provisional one.
    fn accept_number(&mut self, number: u64) {
        let higher = match self.orders {
            OrderState::Unnumbered => true,
            OrderState::Numbered(held) => number > held,
            OrderState::Superseded => false,
        };
        if higher {
            self.orders = OrderState::Numbered(number);
        }
    }

    /// Records the end of the last requested staging. That of an earlier one, for a previous engine, may arrive late.
    fn complete_staging(&mut self, digest: Digest, incarnation: Incarnation) {
        let key = Some((digest, incarnation));
        if self.staging == key {
            self.staged = key;
        }
    }

    fn accept_status(&mut self, poll: u64, status: Option<Status>) {
        if poll != self.poll || !self.poll_pending {
            return;
        }
        self.poll_pending = false;
        if let (Some(status), Some(sent_at)) = (status, self.last_poll_at) {
            if self
                .status()
                .is_some_and(|observed| observed.incarnation != status.incarnation)
            {
                self.close();
            }
            self.observed = Some(ObservedStatus { status, sent_at });
        }
    }

    fn end_order(
        &mut self,
        order: u64,
        answer: OrderAnswer,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.order_sent_at.filter(|_| order == self.order) else {
            return;
        };
        self.order_sent_at = None;
        self.retry_at = now + RETRY_INTERVAL;
        self.invalidate_status(now);
        match answer {
            OrderAnswer::Confirmed(status) => {
                self.observed = Some(ObservedStatus {
                    status,
                    sent_at: sent,
                });
            }
            OrderAnswer::Stale => {
                self.orders = OrderState::Superseded;
                actions.push(Action::Superseded);
            }
            OrderAnswer::Refused => {
                self.staged = None;
                self.staging = None;
            }
            OrderAnswer::Lost => return,
        }
        self.order_lost = None;
    }

    /// Closes the gate, drops the status and any poll in flight, and polls again at `from`.
    fn invalidate_status(&mut self, from: Instant) {
        self.close();
        self.observed = None;
        self.next_poll_at = from;
        self.poll_pending = false;
        self.last_poll_at = None;
    }

    fn close(&mut self) {
        self.gate = mem::take(&mut self.gate).close();
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.observed
            .is_none_or(|observed| now.duration_since(observed.sent_at) > STATUS_MAX_AGE)
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_expired(now) {
            self.close();
            self.observed = None;
        }
        self.start_poll(now, actions);
        if self.backend == Backend::Engine {
            self.start_staging(now, actions);
        }
        self.gate = match mem::take(&mut self.gate) {
            gate if !self.serves(gate.pin()) => gate.close(),
            Gate::Open(open) if self.must_drain(open.pin(), now) => {
                self.advance_drain(open.drain(now), now)
            }
            Gate::Draining(draining) => self.advance_drain(draining, now),
            gate => gate,
        };
        self.gate = match mem::take(&mut self.gate) {
            Gate::Closed(closed) => match self.pin_to_open() {
                Some(pin) => Gate::Open(closed.open(pin)),
                None => Gate::Closed(closed),
            },
            gate => gate,
        };
        if matches!(self.gate, Gate::Closed(_)) {
            self.start_order(now, actions);
            self.finish(actions);
        }
    }

    fn start_poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = self
            .last_poll_at
            .is_none_or(|last_poll_at| now.duration_since(last_poll_at) >= POLL_INTERVAL);
        if due && now >= self.next_poll_at && self.order_sent_at.is_none() {
            self.poll += 1;
            self.last_poll_at = Some(now);
            self.poll_pending = true;
            actions.push(Action::Poll(self.poll));
        }
    }

    fn start_staging(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (Some(pin), Some(observed)) = (&self.wanted, &self.observed) else {
            return;
        };
        let key = Some((pin.digest, observed.status.incarnation));
        let needed = observed.status.active != Some(pin.digest)
            && self.staged != key
            && self.staging != key
            && now >= self.retry_at;
        if needed && !self.leaving && self.orders != OrderState::Superseded {
            self.staging = key;
            actions.push(Action::Stage(pin.clone(), observed.status.incarnation));
        }
    }

    /// Returns whether the engine serves `pin`, or whether there is no pin.
    fn serves(&self, pin: Option<&Pin>) -> bool {
        let active = self.status().and_then(|status| status.active);
        pin.is_none_or(|pin| active == Some(pin.digest))
    }

    fn must_drain(&self, pin: Option<&Pin>, now: Instant) -> bool {
        if self.leaving {
            return true;
        }
        match (pin, &self.wanted) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(pin), Some(wanted)) if pin == wanted => false,
            // The same weights with a different name or version need no order.
            (Some(pin), Some(wanted)) if pin.digest == wanted.digest => true,
            _ => self.turn && self.number_to_order(now).is_some(),
        }
    }

    fn advance_drain(&mut self, draining: Draining, now: Instant) -> Gate {
        let returned = !self.leaving && self.wanted.as_ref() == draining.pin();
        if returned {
            return Gate::Open(draining.reopen());
        }
        let draining = match draining.finish(&self.calls) {
            Ok(closed) => return Gate::Closed(closed),
            Err(draining) => draining,
        };
        let timed_out = now.duration_since(draining.since()) >= DRAIN_TIMEOUT;
        if timed_out && !self.leaving && self.wanted.is_some() {
            self.retry_at = now + DRAIN_TIMEOUT;
            return Gate::Open(draining.reopen());
        }
        Gate::Draining(draining)
    }

    /// Returns the pin for which a closed gate may open; the inner `None` is for a plain backend.
    fn pin_to_open(&mut self) -> Option<Option<Pin>> {
        if self.leaving {
            return None;
        }
        if self.backend == Backend::Plain {
            return self.observed.map(|_| None);
        }
        if self.order_sent_at.is_some() || self.orders == OrderState::Superseded {
            return None;
        }
        let status = self.status()?;
        let active = status.active?;
        let wanted = self.wanted.as_ref()?;
        if wanted.digest == active {
            self.order_lost = None;
            return Some(Some(wanted.clone()));
        }
        // An order that is due or unresolved would replace the weights while new requests use them. Without a fencing
        // number, only the pin of the catalogue is served.
        if self.order_lost == Some(status.incarnation)
            || self.orders == OrderState::Unnumbered
            || self.turn && self.is_staged()
        {
            return None;
        }
        let pin = self.earlier.iter().find(|pin| pin.digest == active)?;
        Some(Some(pin.clone()))
    }

    fn is_staged(&self) -> bool {
        match (&self.wanted, self.status()) {
            (Some(pin), Some(status)) if status.active == Some(pin.digest) => false,
            (Some(pin), Some(status)) => self.staged == Some((pin.digest, status.incarnation)),
            _ => false,
        }
    }

    /// Returns the fencing number if an order for the wanted weights may be sent now.
    fn number_to_order(&self, now: Instant) -> Option<u64> {
        let OrderState::Numbered(number) = self.orders else {
            return None;
        };
        let ready = self.is_staged() && now >= self.retry_at && self.order_sent_at.is_none();
        ready.then_some(number)
    }

    fn start_order(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(number) = self.number_to_order(now) else {
            return;
        };
        let Some(pin) = self.wanted.clone().filter(|pin| !self.serves(Some(pin))) else {
            return;
        };
        if self.leaving || !self.calls.is_idle() {
            return;
        }
        self.order += 1;
        self.order_sent_at = Some(now);
        self.order_lost = self.status().map(|status| status.incarnation);
        // The answer of a poll in flight could be from before or after the order took effect.
        self.poll_pending = false;
        actions.push(Action::Activate {
            order: self.order,
            pin,
            number,
        });
    }

    fn finish(&mut self, actions: &mut Vec<Action>) {
        if self.leaving && !self.finished && self.calls.is_idle() && self.order_sent_at.is_none() {
            self.finished = true;
            actions.push(Action::Finished);
        }
    }
}

//! The controller: what the agent knows of its engine, and what follows from it.

use std::mem;
use std::time::{Duration, Instant};

use weights::{Digest, Pin};

use crate::Incarnation;
use crate::event::{Action, Backend, Event, Mismatch, OrderAnswer, Status};
use crate::gate::{Call, Calls, Draining, Gate, Refusal};

/// Time between two status polls.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Age at which a status no longer counts and the gate closes.
///
/// Two polls in a row may be lost before a healthy target leaves the service.
pub const STATUS_LIMIT: Duration = Duration::from_millis(2_500);

/// Time after which a drain for a switch is given up and the gate opens again for the old pin.
///
/// Requests end by their own deadline (30 s for the slowest service), so that only a stuck one outlasts this limit.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// Time between two attempts of an order that was refused or lost.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Earlier pins under which the gate may open while the wanted weights are staged.
const EARLIER_PINS: usize = 4;

/// The right to give orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Orders {
    /// There is no number yet, neither the platform's nor a provisional one.
    Unnumbered,
    /// Orders carry this number.
    Numbered(u64),
    /// The engine follows a newer giver of orders.
    Superseded,
}

/// Last status that counts.
#[derive(Clone, Copy, Debug)]
struct Seen {
    status: Status,
    /// When the poll or order that gave it was sent.
    asked: Instant,
}

/// Decides when requests are admitted and which orders the engine gets.
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
    calls: Calls,
    wanted: Option<Pin>,
    /// Pins that the catalogue named before, newest first: those seen here and those that its entry lists.
    earlier: Vec<Pin>,
    orders: Orders,
    seen: Option<Seen>,
    /// No status is asked for before this time.
    poll_from: Instant,
    poll: u64,
    polled: Option<Instant>,
    poll_pending: bool,
    /// Weights and engine for which staging was asked.
    staging: Option<(Digest, Incarnation)>,
    /// Weights and engine for which staging is complete.
    staged: Option<(Digest, Incarnation)>,
    turn: bool,
    order: u64,
    /// When the order in progress was sent.
    order_sent: Option<Instant>,
    /// Engine in which the last order may still take effect unseen.
    order_lost: Option<Incarnation>,
    retry_at: Instant,
    leaving: bool,
    finished: bool,
}

impl Controller {
    /// Returns the controller of a closed gate, with nothing known of the backend.
    pub fn new(backend: Backend, now: Instant) -> Self {
        Self {
            backend,
            gate: Gate::default(),
            calls: Calls::default(),
            wanted: None,
            earlier: Vec::new(),
            orders: Orders::Unnumbered,
            seen: None,
            poll_from: now,
            poll: 0,
            polled: None,
            poll_pending: false,
            staging: None,
            staged: None,
            turn: false,
            order: 0,
            order_sent: None,
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

    /// Returns the last status that counts.
    pub fn status(&self) -> Option<Status> {
        self.seen.map(|seen| seen.status)
    }

    /// Returns the count of requests in progress.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Tells whether the agent was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether only its turn keeps the target from switching.
    pub fn awaits_turn(&self) -> bool {
        matches!(self.gate, Gate::Open(_)) && self.is_staged() && !self.turn && !self.leaving
    }

    /// Admits a request with `pin`, or without one for plain backends.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] unless the gate is open and the backend is known to serve exactly `pin`.
    pub fn admit(&self, pin: Option<&Pin>, now: Instant) -> Result<Call, Refusal> {
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

    /// Checks that the answer to `call` was made from the weights that the request asked for.
    ///
    /// # Errors
    ///
    /// Returns a [`Mismatch`] when it was not; the answer must be dropped, and the gate is closed until a status asked
    /// for one [`POLL_INTERVAL`] later confirms the pin.
    pub fn check(
        &mut self,
        call: &Call,
        weights: Option<Digest>,
        now: Instant,
    ) -> Result<(), Mismatch> {
        match call.pin() {
            Some(pin) if weights != Some(pin.digest) => {
                self.distrust(now + POLL_INTERVAL);
                Err(Mismatch {
                    expected: pin.clone(),
                    found: weights,
                })
            }
            _ => Ok(()),
        }
    }

    /// Takes an event and returns what follows from it, in the order in which it must be done.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let before = mem::discriminant(&self.gate);
        let pin_before = self.gate.pin().cloned();
        match event {
            Event::Tick => {}
            Event::Wanted(wanted) => self.want(wanted),
            Event::Replaced(pins) => self.remember(pins),
            Event::Number(number) => self.take_number(number),
            Event::Staged(digest, incarnation) => self.take_staged(digest, incarnation),
            Event::Turn(turn) => self.turn = turn,
            Event::Polled(poll, status) => self.take_status(poll, status),
            // A poll in flight tells as much; many failures at once must not restart it each time.
            Event::ConnectionFailed if self.poll_pending => {}
            Event::ConnectionFailed => self.polled = None,
            Event::Ordered(order, answer) => self.take_answer(order, answer, now, &mut actions),
            Event::Leave if self.leaving => {}
            Event::Leave => {
                self.leaving = true;
                actions.push(Action::Report);
            }
        }
        self.advance(now, &mut actions);
        let changed =
            before != mem::discriminant(&self.gate) || pin_before.as_ref() != self.gate.pin();
        if changed && !actions.contains(&Action::Report) {
            actions.push(Action::Report);
        }
        actions
    }

    fn want(&mut self, wanted: Option<Pin>) {
        if wanted == self.wanted {
            return;
        }
        if let Some(pin) = mem::replace(&mut self.wanted, wanted) {
            self.remember(vec![pin]);
        }
        // The turn was computed for the earlier weights.
        self.turn = false;
    }

    /// Puts `pins` before the earlier pins known so far.
    fn remember(&mut self, mut pins: Vec<Pin>) {
        self.earlier.retain(|earlier| !pins.contains(earlier));
        pins.append(&mut self.earlier);
        pins.truncate(EARLIER_PINS);
        self.earlier = pins;
    }

    /// Takes a number that is higher than the one held; the platform's may follow a provisional one.
    fn take_number(&mut self, number: u64) {
        let higher = match self.orders {
            Orders::Unnumbered => true,
            Orders::Numbered(held) => number > held,
            Orders::Superseded => false,
        };
        if higher {
            self.orders = Orders::Numbered(number);
        }
    }

    /// Takes the end of the staging asked for last; an earlier one may arrive late, for an engine that is gone.
    fn take_staged(&mut self, digest: Digest, incarnation: Incarnation) {
        let key = Some((digest, incarnation));
        if self.staging == key {
            self.staged = key;
        }
    }

    fn take_status(&mut self, poll: u64, status: Option<Status>) {
        if poll != self.poll || !self.poll_pending {
            return;
        }
        self.poll_pending = false;
        if let (Some(status), Some(asked)) = (status, self.polled) {
            if self
                .status()
                .is_some_and(|seen| seen.incarnation != status.incarnation)
            {
                self.close();
            }
            self.seen = Some(Seen { status, asked });
        }
    }

    fn take_answer(
        &mut self,
        order: u64,
        answer: OrderAnswer,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.order_sent.filter(|_| order == self.order) else {
            return;
        };
        self.order_sent = None;
        self.retry_at = now + RETRY_INTERVAL;
        self.distrust(now);
        match answer {
            OrderAnswer::Confirmed(status) => {
                self.seen = Some(Seen {
                    status,
                    asked: sent,
                });
            }
            OrderAnswer::Stale => {
                self.orders = Orders::Superseded;
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

    /// Closes the gate, drops what is known of the engine and asks again at `from`.
    fn distrust(&mut self, from: Instant) {
        self.close();
        self.seen = None;
        self.poll_from = from;
        self.poll_pending = false;
        self.polled = None;
    }

    fn close(&mut self) {
        self.gate = mem::take(&mut self.gate).close();
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.seen
            .is_none_or(|seen| now.duration_since(seen.asked) > STATUS_LIMIT)
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_expired(now) {
            self.close();
            self.seen = None;
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
            .polled
            .is_none_or(|polled| now.duration_since(polled) >= POLL_INTERVAL);
        if due && now >= self.poll_from && self.order_sent.is_none() {
            self.poll += 1;
            self.polled = Some(now);
            self.poll_pending = true;
            actions.push(Action::Poll(self.poll));
        }
    }

    fn start_staging(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (Some(pin), Some(seen)) = (&self.wanted, &self.seen) else {
            return;
        };
        let key = Some((pin.digest, seen.status.incarnation));
        let needed = seen.status.active != Some(pin.digest)
            && self.staged != key
            && self.staging != key
            && now >= self.retry_at;
        if needed && !self.leaving && self.orders != Orders::Superseded {
            self.staging = key;
            actions.push(Action::Stage(pin.clone(), seen.status.incarnation));
        }
    }

    /// Tells whether the engine serves `pin`; without a pin, nothing contradicts it.
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
            // The same weights under another name need no order.
            (Some(pin), Some(wanted)) if pin.digest == wanted.digest => true,
            _ => self.turn && self.number_to_order(now).is_some(),
        }
    }

    fn advance_drain(&mut self, draining: Draining, now: Instant) -> Gate {
        let back = !self.leaving && self.wanted.as_ref() == draining.pin();
        if back {
            return Gate::Open(draining.reopen());
        }
        let draining = match draining.finish(&self.calls) {
            Ok(closed) => return Gate::Closed(closed),
            Err(draining) => draining,
        };
        let overdue = now.duration_since(draining.since()) >= DRAIN_LIMIT;
        if overdue && !self.leaving && self.wanted.is_some() {
            self.retry_at = now + DRAIN_LIMIT;
            return Gate::Open(draining.reopen());
        }
        Gate::Draining(draining)
    }

    /// Returns the pin under which a closed gate may open; the inner `None` is a plain backend's.
    fn pin_to_open(&mut self) -> Option<Option<Pin>> {
        if self.leaving {
            return None;
        }
        if self.backend == Backend::Plain {
            return self.seen.map(|_| None);
        }
        if self.order_sent.is_some() || self.orders == Orders::Superseded {
            return None;
        }
        let status = self.status()?;
        let active = status.active?;
        let wanted = self.wanted.as_ref()?;
        if wanted.digest == active {
            self.order_lost = None;
            return Some(Some(wanted.clone()));
        }
        // An order that is due or unresolved would take the weights away from under new requests. Without a number,
        // only the catalogue's pin is served.
        if self.order_lost == Some(status.incarnation)
            || self.orders == Orders::Unnumbered
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

    /// Returns the fencing number when an order for the wanted weights could be given now.
    fn number_to_order(&self, now: Instant) -> Option<u64> {
        let Orders::Numbered(number) = self.orders else {
            return None;
        };
        let possible = self.is_staged() && now >= self.retry_at && self.order_sent.is_none();
        possible.then_some(number)
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
        self.order_sent = Some(now);
        self.order_lost = self.status().map(|status| status.incarnation);
        // A poll in flight would be answered from before or after the order's effect.
        self.poll_pending = false;
        actions.push(Action::Activate {
            order: self.order,
            pin,
            number,
        });
    }

    fn finish(&mut self, actions: &mut Vec<Action>) {
        if self.leaving && !self.finished && self.calls.is_idle() && self.order_sent.is_none() {
            self.finished = true;
            actions.push(Action::Finished);
        }
    }
}

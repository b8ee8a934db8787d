//! Tests with event sequences against a model of an engine, whose answers may be late or lost.

use std::time::{Duration, Instant};

use gate::{
    Action, Backend, Controller, DRAIN_TIMEOUT, Event, Gate, InFlightGuard, OrderAnswer, Refusal,
    STATUS_MAX_AGE, Status,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use weights::{Digest, Pin};

fn pin(version: u8) -> Pin {
    Pin::new("lm", &format!("v{version}"), Digest::of(&[version]))
}

/// Model of an engine; the test decides when its answers are delivered.
struct Engine {
    incarnation: u64,
    active: Option<Digest>,
    highest: u64,
}

struct Simulation {
    now: Instant,
    controller: Controller,
    engine: Engine,
    polls: Vec<(u64, Instant, Status)>,
    /// Last status that was delivered, with the time at which its poll was sent.
    delivered: Option<(Instant, Status)>,
    /// The answers of polls up to this number are outdated.
    old_poll: u64,
    orders: Vec<(u64, Pin, u64)>,
    stages: Vec<(Pin, u64)>,
    calls: Vec<InFlightGuard>,
    finished: bool,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let engine = Engine {
            incarnation: 1,
            active: Some(pin(0).digest),
            highest: 0,
        };
        Self {
            now,
            controller: Controller::new(Backend::Engine, now),
            engine,
            polls: Vec::new(),
            delivered: None,
            old_poll: 0,
            orders: Vec::new(),
            stages: Vec::new(),
            calls: Vec::new(),
            finished: false,
        }
    }

    fn serving() -> Self {
        let mut simulation = Self::new();
        simulation.send(Event::Number(5));
        simulation.send(Event::Wanted(Some(pin(0))));
        simulation.answer_poll(true);
        simulation
    }

    fn send(&mut self, event: Event) {
        for action in self.controller.handle(event, self.now) {
            match action {
                // The status is recorded when the poll is sent, so that a late delivery is outdated.
                Action::Poll(poll) => self.polls.push((poll, self.now, self.status())),
                Action::Stage(pin, incarnation) => self.stages.push((pin, incarnation)),
                Action::Activate { order, pin, number } => {
                    assert!(
                        self.calls.is_empty(),
                        "order sent while requests are in progress"
                    );
                    self.orders.push((order, pin, number));
                    self.discard_delivered();
                }
                Action::Finished => {
                    assert!(
                        self.calls.is_empty(),
                        "agent finished while requests are in progress"
                    );
                    self.finished = true;
                }
                Action::Report | Action::Superseded => {}
            }
        }
    }

    fn status(&self) -> Status {
        Status {
            incarnation: self.engine.incarnation,
            active: self.engine.active,
        }
    }

    /// Discards the delivered status and those in flight, after an order or a wrong answer.
    fn discard_delivered(&mut self) {
        self.delivered = None;
        self.old_poll = self
            .polls
            .iter()
            .map(|(poll, ..)| *poll)
            .fold(self.old_poll, u64::max);
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.send(Event::Tick);
    }

    fn answer_poll(&mut self, reached: bool) {
        if let Some((poll, asked, status)) = self.polls.pop() {
            if poll > self.old_poll {
                self.old_poll = poll;
                self.delivered = reached.then_some((asked, status)).or(self.delivered);
            }
            self.send(Event::Polled(poll, reached.then_some(status)));
        }
    }

    fn stage(&mut self) {
        if let Some((pin, incarnation)) = self.stages.pop() {
            self.send(Event::Staged(pin.digest, incarnation));
        }
    }

    /// Applies an order in the engine, and delivers its answer or loses it.
    fn run_order(&mut self, answered: bool) {
        let Some((order, pin, number)) = self.orders.pop() else {
            return;
        };
        let stale = number < self.engine.highest;
        if !stale {
            self.engine.highest = number;
            self.engine.active = Some(pin.digest);
        }
        let answer = match (answered, stale) {
            (false, _) => OrderAnswer::Lost,
            (true, true) => OrderAnswer::Stale,
            (true, false) => OrderAnswer::Confirmed(self.status()),
        };
        if let OrderAnswer::Confirmed(status) = answer {
            self.delivered = Some((self.now, status));
        }
        self.send(Event::Ordered(order, answer));
    }

    fn admit(&mut self, version: u8) -> Result<(), Refusal> {
        let call = self.controller.admit(Some(&pin(version)), self.now)?;
        let delivered = self.delivered.is_some_and(|(asked, status)| {
            self.now - asked <= STATUS_MAX_AGE && status.active == Some(pin(version).digest)
        });
        assert!(
            delivered,
            "admitted without a status that confirms the weights"
        );
        self.calls.push(call);
        Ok(())
    }

    /// Ends the oldest request with an answer from the engine's current weights.
    fn answer_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(0);
        let right = call.pin().map(|pin| pin.digest) == self.engine.active;
        let checked = self
            .controller
            .check_weights(&call, self.engine.active, self.now);
        assert_eq!(checked.is_ok(), right, "answer from other weights accepted");
        if !right {
            assert!(matches!(self.controller.gate(), Gate::Closed(_)));
            self.discard_delivered();
        }
        drop(call);
        self.send(Event::Tick);
    }

    fn step(&mut self, step: u8, value: u8) {
        match step {
            0 => self.advance(u64::from(value) * 20),
            1 => self.answer_poll(value > 2),
            2 => self.stage(),
            3 => self.run_order(value > 2),
            4 => drop(self.admit(value % 3)),
            5 => self.answer_call(),
            6 if value % 4 == 3 => self.send(Event::Replaced(vec![pin(value % 3)])),
            6 => self.send(Event::Wanted(Some(pin(value % 3)))),
            7 => self.send(Event::Turn(value > 2)),
            8 if value < 3 => {
                self.engine.incarnation += 1;
                self.engine.active = (value > 0).then(|| pin(value).digest);
            }
            9 if value == 0 => self.engine.highest = 9,
            10 if value == 0 => self.send(Event::Leave),
            11 => self.send(Event::ConnectionFailed),
            12 if value == 0 => self.engine.active = None,
            _ => self.advance(300),
        }
    }
}

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against requests admitted for a pin that the engine doesn't serve, answers accepted from other weights,
    /// and orders or exits that interrupt requests, for any sequence of faults.
    #[test]
    fn events_any_order(steps in prop::collection::vec((0u8..14, 0u8..40), 1..150)) {
        let mut simulation = Simulation::serving();
        for (step, value) in steps {
            simulation.step(step, value);
        }
    }

    /// Guards against a gate that stays closed after a sequence of faults has ended.
    #[test]
    fn events_then_recovery(steps in prop::collection::vec((0u8..9, 0u8..40), 1..80)) {
        let mut simulation = Simulation::serving();
        for (step, value) in steps {
            simulation.step(step, value);
        }
        simulation.send(Event::Wanted(Some(pin(2))));
        for _ in 0..60 {
            simulation.send(Event::Turn(true));
            simulation.answer_call();
            simulation.answer_poll(true);
            simulation.stage();
            simulation.run_order(true);
            simulation.advance(300);
        }
        prop_assert_eq!(simulation.admit(2), Ok(()));
    }
}

/// Guards against a switch without its turn or a drain, and against a gate that stays closed after the confirmation.
#[test]
fn switch_in_order() {
    let mut simulation = Simulation::serving();
    simulation.admit(0).unwrap();
    simulation.send(Event::Wanted(Some(pin(1))));
    simulation.stage();
    assert_eq!(
        simulation.admit(0),
        Ok(()),
        "the old pin is served while the target stages and waits"
    );
    simulation.send(Event::Turn(true));
    assert_eq!(simulation.admit(0), Err(Refusal::Draining));
    simulation.answer_call();
    assert!(simulation.orders.is_empty());
    simulation.answer_call();
    simulation.run_order(true);
    assert_eq!(simulation.admit(0), Err(Refusal::Version));
    assert_eq!(simulation.admit(1), Ok(()));
}

/// Guards against a gate that reopens for the old pin while a lost order may still take effect.
#[test]
fn order_answer_lost() {
    let mut simulation = Simulation::serving();
    simulation.send(Event::Wanted(Some(pin(1))));
    simulation.stage();
    simulation.send(Event::Turn(true));
    let (order, ..) = simulation.orders[0];
    simulation.send(Event::Ordered(order, OrderAnswer::Lost));
    simulation.send(Event::Turn(false));
    simulation.answer_poll(true);
    assert_eq!(simulation.admit(0), Err(Refusal::Closed));
    simulation.run_order(false);
    simulation.advance(1_000);
    assert_eq!(simulation.orders.len(), 1, "the order is repeated");
    simulation.run_order(true);
    assert_eq!(simulation.admit(1), Ok(()));
}

/// Guards against further orders once the engine has accepted a higher fencing number.
#[test]
fn order_stale() {
    let mut simulation = Simulation::serving();
    simulation.engine.highest = 6;
    simulation.send(Event::Wanted(Some(pin(1))));
    simulation.stage();
    simulation.send(Event::Turn(true));
    simulation.run_order(true);
    for _ in 0..20 {
        simulation.advance(500);
        simulation.answer_poll(true);
        simulation.stage();
    }
    assert!(simulation.orders.is_empty());
    assert_eq!(simulation.admit(0), Err(Refusal::Closed));
}

/// Guards against an agent that admits requests by an expired status after a pause.
#[test]
fn status_expired() {
    let mut simulation = Simulation::serving();
    simulation.now += STATUS_MAX_AGE + Duration::from_millis(1);
    assert_eq!(simulation.admit(0), Err(Refusal::Closed));
}

/// Guards against orders, or a gate open for any pin but the catalogue's, before the platform assigned a number.
#[test]
fn start_without_number() {
    for (wanted, opens) in [(0, true), (1, false)] {
        let mut simulation = Simulation::new();
        simulation.send(Event::Wanted(Some(pin(0))));
        simulation.send(Event::Wanted(Some(pin(wanted))));
        simulation.send(Event::Turn(true));
        simulation.answer_poll(true);
        simulation.stage();
        assert_eq!(simulation.admit(wanted).is_ok(), opens);
        assert!(simulation.orders.is_empty());
        assert_eq!(matches!(simulation.controller.gate(), Gate::Open(_)), opens);
    }
}

/// Guards against a target that stays out of service, or interrupts the request, if a request exceeds the drain limit.
#[test]
fn drain_overdue() {
    let mut simulation = Simulation::serving();
    simulation.admit(0).unwrap();
    simulation.send(Event::Wanted(Some(pin(1))));
    simulation.stage();
    simulation.send(Event::Turn(true));
    let end = simulation.now + DRAIN_TIMEOUT;
    while simulation.now < end {
        assert_eq!(simulation.admit(0), Err(Refusal::Draining));
        simulation.advance(1_000);
        simulation.answer_poll(true);
    }
    assert_eq!(simulation.admit(0), Ok(()));
    assert!(simulation.orders.is_empty());
}

/// Guards against new work after a stop was requested, and against an exit before the last request ended.
#[test]
fn leave_with_request() {
    let mut simulation = Simulation::serving();
    simulation.admit(0).unwrap();
    let actions = simulation.controller.handle(Event::Leave, simulation.now);
    assert_eq!(actions, [Action::Report]);
    assert_eq!(simulation.admit(0), Err(Refusal::Leaving));
    assert!(!simulation.finished);
    simulation.answer_call();
    assert!(simulation.finished);
}

/// Guards against a plain backend that requires a pin or accepts a request with one.
#[test]
fn plain_without_pin() {
    let now = Instant::now();
    let mut controller = Controller::new(Backend::Plain, now);
    controller.handle(Event::Tick, now);
    assert_eq!(controller.admit(None, now).unwrap_err(), Refusal::Closed);
    controller.handle(Event::Polled(1, Some(Status::REACHABLE)), now);
    let call = controller.admit(None, now).unwrap();
    assert!(controller.check_weights(&call, None, now).is_ok());
    assert_eq!(
        controller.admit(Some(&pin(0)), now).unwrap_err(),
        Refusal::Version
    );
}

/// Guards against an open gate in front of an unreachable plain service, and a closed one after it is reachable again.
#[test]
fn plain_unreachable() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut controller = Controller::new(Backend::Plain, start);
    let reached = [true, false, false, false, true];
    let mut open = Vec::new();
    for (reached, second) in reached.into_iter().zip(0..) {
        let now = at(second * 1000);
        for action in controller.handle(Event::Tick, now) {
            if let Action::Poll(poll) = action {
                controller.handle(
                    Event::Polled(poll, reached.then_some(Status::REACHABLE)),
                    now,
                );
            }
        }
        open.push(controller.admit(None, now).is_ok());
    }
    assert_eq!(open, [true, true, true, false, true]);
}

/// Guards against a target that stays out of service if the catalogue reverts to the weights in service.
#[test]
fn drain_wanted_back() {
    let mut simulation = Simulation::serving();
    simulation.admit(0).unwrap();
    simulation.send(Event::Wanted(Some(pin(1))));
    simulation.stage();
    simulation.send(Event::Turn(true));
    simulation.send(Event::Wanted(Some(pin(0))));
    assert_eq!(simulation.admit(0), Ok(()));
}

/// Guards against an agent that starts during a switch and keeps its engine out of service until the new weights are
/// staged, although requests for the replaced ones may still be answered. Without a number its gate must stay closed.
#[test]
fn start_during_switch() {
    for numbered in [true, false] {
        let mut simulation = Simulation::new();
        if numbered {
            simulation.send(Event::Number(5));
        }
        simulation.send(Event::Replaced(vec![pin(2), pin(0)]));
        simulation.send(Event::Wanted(Some(pin(1))));
        simulation.answer_poll(true);
        assert_eq!(simulation.admit(0).is_ok(), numbered);
        assert_eq!(
            simulation.admit(2),
            Err(if numbered {
                Refusal::Version
            } else {
                Refusal::Closed
            })
        );
        assert!(simulation.orders.is_empty());
    }
}

//! Event sequences against a model of an engine, with late and lost answers.

use std::time::{Duration, Instant};

use gate::{
    Action, Backend, Call, Controller, DRAIN_LIMIT, Event, Gate, OrderAnswer, Refusal,
    STATUS_LIMIT, Status,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use weights::{Digest, Pin};

fn pin(version: u8) -> Pin {
    Pin::new("lm", &format!("v{version}"), Digest::of(&[version]))
}

/// An engine whose answers the test delivers when it likes.
struct Engine {
    incarnation: u64,
    active: Option<Digest>,
    highest: u64,
}

struct World {
    now: Instant,
    controller: Controller,
    engine: Engine,
    polls: Vec<(u64, Instant, Status)>,
    /// Last status that was delivered, with the time at which it was asked for.
    told: Option<(Instant, Status)>,
    /// Polls up to this number tell nothing new.
    old_poll: u64,
    orders: Vec<(u64, Pin, u64)>,
    stages: Vec<(Pin, u64)>,
    calls: Vec<Call>,
    finished: bool,
}

impl World {
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
            told: None,
            old_poll: 0,
            orders: Vec::new(),
            stages: Vec::new(),
            calls: Vec::new(),
            finished: false,
        }
    }

    fn serving() -> Self {
        let mut world = Self::new();
        world.send(Event::Number(5));
        world.send(Event::Wanted(Some(pin(0))));
        world.answer_poll(true);
        world
    }

    fn send(&mut self, event: Event) {
        for action in self.controller.handle(event, self.now) {
            match action {
                // The status is read when the poll is sent, so that a late delivery tells of the past.
                Action::Poll(poll) => self.polls.push((poll, self.now, self.status())),
                Action::Stage(pin, incarnation) => self.stages.push((pin, incarnation)),
                Action::Activate { order, pin, number } => {
                    assert!(self.calls.is_empty(), "an order cut requests in progress");
                    self.orders.push((order, pin, number));
                    self.doubt();
                }
                Action::Finished => {
                    assert!(
                        self.calls.is_empty(),
                        "the agent ended with requests in progress"
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

    /// Forgets what was told and is on its way, after an order or a wrong answer.
    fn doubt(&mut self) {
        self.told = None;
        self.old_poll = self
            .polls
            .iter()
            .map(|(poll, ..)| *poll)
            .fold(self.old_poll, u64::max);
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.send(Event::Tick);
    }

    fn answer_poll(&mut self, reached: bool) {
        if let Some((poll, asked, status)) = self.polls.pop() {
            if poll > self.old_poll {
                self.old_poll = poll;
                self.told = reached.then_some((asked, status)).or(self.told);
            }
            self.send(Event::Polled(poll, reached.then_some(status)));
        }
    }

    fn stage(&mut self) {
        if let Some((pin, incarnation)) = self.stages.pop() {
            self.send(Event::Staged(pin.digest, incarnation));
        }
    }

    /// Lets an order take effect in the engine and delivers its answer or loses it.
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
            self.told = Some((self.now, status));
        }
        self.send(Event::Ordered(order, answer));
    }

    fn admit(&mut self, version: u8) -> Result<(), Refusal> {
        let call = self.controller.admit(Some(&pin(version)), self.now)?;
        let told = self.told.is_some_and(|(asked, status)| {
            self.now - asked <= STATUS_LIMIT && status.active == Some(pin(version).digest)
        });
        assert!(told, "admitted without knowledge of the engine's weights");
        self.calls.push(call);
        Ok(())
    }

    /// Ends the oldest request with an answer from the engine's present weights.
    fn answer_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(0);
        let right = call.pin().map(|pin| pin.digest) == self.engine.active;
        let checked = self.controller.check(&call, self.engine.active, self.now);
        assert_eq!(
            checked.is_ok(),
            right,
            "an answer from other weights passed"
        );
        if !right {
            assert!(matches!(self.controller.gate(), Gate::Closed(_)));
            self.doubt();
        }
        drop(call);
        self.send(Event::Tick);
    }

    fn step(&mut self, step: u8, value: u8) {
        match step {
            0 => self.pass(u64::from(value) * 20),
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
            _ => self.pass(300),
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

    /// Guards against a request admitted under a pin that the gate doesn't serve, an answer from other weights passed
    /// on, and an order or exit that cuts requests, in any order of faults.
    #[test]
    fn events_any_order(steps in prop::collection::vec((0u8..14, 0u8..40), 1..150)) {
        let mut world = World::serving();
        for (step, value) in steps {
            world.step(step, value);
        }
    }

    /// Guards against a controller that stays closed for good after a sequence of faults has ended.
    #[test]
    fn events_then_recovery(steps in prop::collection::vec((0u8..9, 0u8..40), 1..80)) {
        let mut world = World::serving();
        for (step, value) in steps {
            world.step(step, value);
        }
        world.send(Event::Wanted(Some(pin(2))));
        for _ in 0..60 {
            world.send(Event::Turn(true));
            world.answer_call();
            world.answer_poll(true);
            world.stage();
            world.run_order(true);
            world.pass(300);
        }
        prop_assert_eq!(world.admit(2), Ok(()));
    }
}

/// Guards against a switch that skips the turn or the drain, or keeps the gate closed after the confirmation.
#[test]
fn switch_in_order() {
    let mut world = World::serving();
    world.admit(0).unwrap();
    world.send(Event::Wanted(Some(pin(1))));
    world.stage();
    assert_eq!(
        world.admit(0),
        Ok(()),
        "staging and waiting keep the old pin open"
    );
    world.send(Event::Turn(true));
    assert_eq!(world.admit(0), Err(Refusal::Draining));
    world.answer_call();
    assert!(world.orders.is_empty());
    world.answer_call();
    world.run_order(true);
    assert_eq!(world.admit(0), Err(Refusal::Version));
    assert_eq!(world.admit(1), Ok(()));
}

/// Guards against a gate that reopens for the old pin while a lost order may still take effect.
#[test]
fn order_answer_lost() {
    let mut world = World::serving();
    world.send(Event::Wanted(Some(pin(1))));
    world.stage();
    world.send(Event::Turn(true));
    let (order, ..) = world.orders[0];
    world.send(Event::Ordered(order, OrderAnswer::Lost));
    world.send(Event::Turn(false));
    world.answer_poll(true);
    assert_eq!(world.admit(0), Err(Refusal::Closed));
    world.run_order(false);
    world.pass(1_000);
    assert_eq!(world.orders.len(), 1, "the order is repeated");
    world.run_order(true);
    assert_eq!(world.admit(1), Ok(()));
}

/// Guards against further orders once the engine follows a newer giver of orders.
#[test]
fn order_stale() {
    let mut world = World::serving();
    world.engine.highest = 6;
    world.send(Event::Wanted(Some(pin(1))));
    world.stage();
    world.send(Event::Turn(true));
    world.run_order(true);
    for _ in 0..20 {
        world.pass(500);
        world.answer_poll(true);
        world.stage();
    }
    assert!(world.orders.is_empty());
    assert_eq!(world.admit(0), Err(Refusal::Closed));
}

/// Guards against an agent that was paused and admits requests from what it knew before.
#[test]
fn status_expired() {
    let mut world = World::serving();
    world.now += STATUS_LIMIT + Duration::from_millis(1);
    assert_eq!(world.admit(0), Err(Refusal::Closed));
}

/// Guards against orders, or an opening for anything but the catalogue's pin, before the platform gave a number.
#[test]
fn start_without_number() {
    for (wanted, opens) in [(0, true), (1, false)] {
        let mut world = World::new();
        world.send(Event::Wanted(Some(pin(0))));
        world.send(Event::Wanted(Some(pin(wanted))));
        world.send(Event::Turn(true));
        world.answer_poll(true);
        world.stage();
        assert_eq!(world.admit(wanted).is_ok(), opens);
        assert!(world.orders.is_empty());
        assert_eq!(matches!(world.controller.gate(), Gate::Open(_)), opens);
    }
}

/// Guards against a target that stays out of service, or cuts the request, when a request outlasts the drain limit.
#[test]
fn drain_overdue() {
    let mut world = World::serving();
    world.admit(0).unwrap();
    world.send(Event::Wanted(Some(pin(1))));
    world.stage();
    world.send(Event::Turn(true));
    let end = world.now + DRAIN_LIMIT;
    while world.now < end {
        assert_eq!(world.admit(0), Err(Refusal::Draining));
        world.pass(1_000);
        world.answer_poll(true);
    }
    assert_eq!(world.admit(0), Ok(()));
    assert!(world.orders.is_empty());
}

/// Guards against new work after a stop was asked for, and an exit before the last request ended.
#[test]
fn leave_with_request() {
    let mut world = World::serving();
    world.admit(0).unwrap();
    let actions = world.controller.handle(Event::Leave, world.now);
    assert_eq!(actions, [Action::Report]);
    assert_eq!(world.admit(0), Err(Refusal::Leaving));
    assert!(!world.finished);
    world.answer_call();
    assert!(world.finished);
}

/// Guards against a plain backend that waits for a pin or takes a request that carries one.
#[test]
fn plain_without_pin() {
    let now = Instant::now();
    let mut controller = Controller::new(Backend::Plain, now);
    controller.handle(Event::Tick, now);
    assert_eq!(controller.admit(None, now).unwrap_err(), Refusal::Closed);
    controller.handle(Event::Polled(1, Some(Status::REACHED)), now);
    let call = controller.admit(None, now).unwrap();
    assert!(controller.check(&call, None, now).is_ok());
    assert_eq!(
        controller.admit(Some(&pin(0)), now).unwrap_err(),
        Refusal::Version
    );
}

/// Guards against an open gate in front of a plain service that is gone, and a closed one when it is back.
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
                controller.handle(Event::Polled(poll, reached.then_some(Status::REACHED)), now);
            }
        }
        open.push(controller.admit(None, now).is_ok());
    }
    assert_eq!(open, [true, true, true, false, true]);
}

/// Guards against a target that stays out of service when the catalogue returns to the weights in service.
#[test]
fn drain_wanted_back() {
    let mut world = World::serving();
    world.admit(0).unwrap();
    world.send(Event::Wanted(Some(pin(1))));
    world.stage();
    world.send(Event::Turn(true));
    world.send(Event::Wanted(Some(pin(0))));
    assert_eq!(world.admit(0), Ok(()));
}

/// Guards against an agent that starts during a switch and keeps its engine out of service until the new weights are
/// staged, although requests may still be answered from the replaced ones; without a number it must stay closed.
#[test]
fn start_during_switch() {
    for numbered in [true, false] {
        let mut world = World::new();
        if numbered {
            world.send(Event::Number(5));
        }
        world.send(Event::Replaced(vec![pin(2), pin(0)]));
        world.send(Event::Wanted(Some(pin(1))));
        world.answer_poll(true);
        assert_eq!(world.admit(0).is_ok(), numbered);
        assert_eq!(
            world.admit(2),
            Err(if numbered {
                Refusal::Version
            } else {
                Refusal::Closed
            })
        );
        assert!(world.orders.is_empty());
    }
}

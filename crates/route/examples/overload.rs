//! Measures goodput by class at 0.5, 1, 2 and 5 times the capacity of a few targets.
//!
//! One router sends to four targets with a concurrency of four each and a fixed service time of 50 ms, which gives a
//! capacity of 320 requests per second. Arrivals are random (Poisson) and of mixed classes. Responses after the
//! deadline don't count. Time is simulated.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Action, InFlight, Outcome, RequestId, Router, Submission};
use wire::{Gate, Report};

const TARGETS: u32 = 4;
const CONCURRENCY_PER_TARGET: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(50);
const CAPACITY: f64 = (TARGETS * CONCURRENCY_PER_TARGET) as f64 / 0.05;
const WARM_UP: Duration = Duration::from_secs(5);
const SIMULATED_TIME: Duration = Duration::from_secs(60);
/// Classes and their shares of the offered load.
const CLASS_SHARES: [(&str, f64); 3] = [("urgent", 0.1), ("standard", 0.4), ("bulk", 0.5)];

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Report,
    Arrival,
    Completion(RequestId),
    Poll,
}

#[derive(Default)]
struct ClassCounts {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Simulation {
    router: Router,
    random: SmallRng,
    start: Instant,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    classes: HashMap<RequestId, &'static str>,
    in_flight: HashMap<RequestId, InFlight>,
    counts: BTreeMap<&'static str, ClassCounts>,
    sequence: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut router = Router::new("levis", 1);
        let mut revision = 0;
        let mut apply = |text: String| {
            revision += 1;
            router.apply(
                serde_json::from_str(&text).expect("the entry is valid"),
                revision,
            );
        };
        for (rank, (name, _)) in CLASS_SHARES.iter().enumerate() {
            apply(format!(
                r#"{{"kind":"class","name":"{name}","owner":"ops","class":"{name}","rank":{rank},
                "objective":{{"answered":0.99,"within_ms":1000,"within":0.95}}}}"#
            ));
            apply(format!(
                r#"{{"kind":"workspace","name":"{name}","owner":"ops","class":"{name}","services":["desk"]}}"#
            ));
        }
        apply(format!(
            r#"{{"kind":"service","name":"desk","owner":"ops","class":"urgent","backend":"plain",
            "limits":{{"per_target":{CONCURRENCY_PER_TARGET},"queue":64}},"repeatable":true,"deadline_ms":1000}}"#
        ));
        let start = Instant::now();
        let events = [Event::Report, Event::Arrival].map(|event| Reverse((start, event)));
        let mut simulation = Self {
            router,
            random: SmallRng::seed_from_u64(2),
            start,
            events: events.into(),
            classes: HashMap::new(),
            in_flight: HashMap::new(),
            counts: BTreeMap::new(),
            sequence: 0,
        };
        (0..TARGETS).for_each(|index| simulation.add_target(index));
        simulation
    }

    fn add_target(&mut self, index: u32) {
        let address = "127.0.0.1:1".parse().expect("the address is valid");
        self.router.upsert_target(
            &format!("t{index}"),
            &gossip::Target {
                domain: "levis".into(),
                region: "quebec".into(),
                service: "desk".into(),
                call: address,
                chunk: address,
                phase: gossip::Phase::Live,
            },
        );
    }

    fn run(&mut self, factor: f64) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > self.start + SIMULATED_TIME {
                break;
            }
            match event {
                Event::Report => self.send_reports(now),
                Event::Arrival => self.handle_arrival(now, factor),
                Event::Completion(id) => self.handle_completion(now, id),
                Event::Poll => {}
            }
            self.poll(now);
        }
    }

    fn send_reports(&mut self, now: Instant) {
        self.sequence += 1;
        for index in 0..TARGETS {
            let target = format!("t{index}");
            let running = self
                .in_flight
                .values()
                .filter(|request| request.target() == target)
                .count();
            self.router.apply_report(
                now,
                &Report {
                    target,
                    incarnation: 1,
                    sequence: self.sequence,
                    gate: Gate::Open,
                    weights: None,
                    chunks: 0,
                    running: running as u32,
                    waiting: 0,
                    slots: 0,
                    view: 0,
                    member: None,
                },
            );
        }
        self.events
            .push(Reverse((now + Duration::from_secs(1), Event::Report)));
    }

    fn handle_arrival(&mut self, now: Instant, factor: f64) {
        let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / (CAPACITY * factor);
        self.events.push(Reverse((
            now + Duration::from_secs_f64(gap),
            Event::Arrival,
        )));
        let mut remaining = self.random.random_range(0.0..1.0);
        let class = CLASS_SHARES.iter().find(|(_, share)| {
            remaining -= share;
            remaining < 0.0
        });
        let class = class.map_or("bulk", |(name, _)| name);
        let counted = now > self.start + WARM_UP;
        let count = self.counts.entry(class).or_default();
        count.offered += u32::from(counted);
        let submission = Submission {
            workspace: class,
            service: "desk",
            ..Submission::default()
        };
        match self.router.submit(now, &submission) {
            Ok(id) => {
                if counted {
                    self.classes.insert(id, class);
                }
            }
            Err(_) => count.refused += u32::from(counted),
        }
    }

    fn handle_completion(&mut self, now: Instant, id: RequestId) {
        let request = self
            .in_flight
            .remove(&id)
            .expect("a finished request was sent");
        let deadline = request.deadline();
        let request = self.router.answer_started(now, request);
        let done = self.router.answer_finished(now, request, true);
        assert_eq!(*done.outcome(), Outcome::Answered);
        if let Some(class) = self.classes.remove(&id) {
            let count = self.counts.entry(class).or_default();
            if now <= deadline {
                count.in_time += 1;
            } else {
                count.late += 1;
            }
        }
    }

    fn poll(&mut self, now: Instant) {
        for action in self.router.poll(now) {
            match action {
                Action::Send(request) => {
                    let id = request.id();
                    self.events
                        .push(Reverse((now + SERVICE_TIME, Event::Completion(id))));
                    self.in_flight.insert(id, request);
                }
                Action::Finish(request) => {
                    if let Some(class) = self.classes.remove(&request.id()) {
                        self.counts.entry(class).or_default().refused += 1;
                    }
                }
            }
        }
        if let Some(next) = self.router.next_poll()
            && next > now
        {
            self.events.push(Reverse((next, Event::Poll)));
        }
    }
}

fn main() {
    println!("load class    offered/s in_time/s late refused in_time/offered");
    for factor in [0.5, 1.0, 2.0, 5.0] {
        let mut simulation = Simulation::new();
        simulation.run(factor);
        let span = (SIMULATED_TIME - WARM_UP).as_secs_f64();
        let mut total = 0.0;
        for (class, _) in CLASS_SHARES {
            let Some(count) = simulation.counts.get(class) else {
                continue;
            };
            let (offered, in_time) = (f64::from(count.offered), f64::from(count.in_time));
            total += in_time / span;
            println!(
                "{factor:>3}x {class:<8} {:>9.1} {:>9.1} {:>4} {:>7} {:>15.3}",
                offered / span,
                in_time / span,
                count.late,
                count.refused,
                in_time / offered
            );
        }
        println!(
            "{factor:>3}x all      {:>9.1} {total:>9.1}",
            CAPACITY * factor
        );
    }
}

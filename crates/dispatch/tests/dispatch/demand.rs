//! Simulation of entries that share a rate-limited target while the number of entries with requests changes.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{
    Config, Decision, Limits, Load, Outcome, PermitQuery, Placement, RequestContext, RequestKind,
    RequiredVersions, RetryLimit, Scheduler, Service,
};
use quota::{AdvertisedLimit, Grant, Issuer, TargetStart};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use crate::support::{BOUND, engine, idle_load, ms, plain, streaming, target};

const STEP: Duration = Duration::from_millis(5);
/// Maximum network delay of a datagram or a request.
const MAX_TRANSIT_MS: u64 = 10;
/// Time that the target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Steps between two requests of the callers of one entry.
const REQUEST_STEPS: usize = 12;
/// Steps between two polls of an entry that nothing else causes, and of the engine's load by its agent.
const POLL_STEPS: usize = 20;
/// Interval at which an unchanged load is sent again.
const LOAD_REPEAT: Duration = Duration::from_millis(800);
/// Time for which all entries have requests.
const PRESSED: Duration = Duration::from_secs(11);
/// Time after the start from which the use of the limit is measured.
const SETTLED: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which only one entry has requests.
const SINGLE: Duration = Duration::from_secs(20);
/// Time within which the first request of that entry must reach the target.
const SERVED_WITHIN: Duration = Duration::from_secs(8);

/// The kind of the rate-limited target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Engine,
    Plain,
}

/// Something that arrives after a delay, at the entry with the given number or from it.
enum Event {
    Query(usize, PermitQuery),
    Grant(usize, TargetStart, Grant),
    Load(usize, Load),
    Request,
    Answer(usize, Box<Placement>, Instant),
}

struct Fleet {
    kind: Kind,
    limit: f64,
    entries: Vec<Scheduler>,
    issuers: BTreeMap<IpAddr, Issuer<usize>>,
    /// Events by their time and a random number.
    events: BTreeMap<(Instant, u64), Event>,
    random: SmallRng,
    start: Instant,
    steps: usize,
    /// Requests in progress at the target.
    running: u32,
    arrivals: Vec<Instant>,
    last_load: Option<(Instant, u32)>,
}

impl Fleet {
    fn new(count: usize, kind: Kind, limit: f64, seed: u64) -> Self {
        let start = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut entries: Vec<Scheduler> =
            (0..count).map(|_| entry(count, random.random())).collect();
        let (id, _) = limited_target(kind);
        let statement = AdvertisedLimit {
            number: 1,
            limit: Some(limit),
        };
        for entry in &mut entries {
            entry.merge_limit(start, &(id.into(), Some(1)), statement);
        }
        Self {
            kind,
            limit,
            entries,
            issuers: BTreeMap::new(),
            events: BTreeMap::new(),
            random,
            start,
            steps: 0,
            running: 0,
            arrivals: Vec::new(),
            last_load: None,
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.steps as u32
    }

    /// Runs for `time` with requests at the first `pressed` entries.
    fn run(&mut self, time: Duration, pressed: usize) {
        let end = self.now() + time;
        while self.now() < end {
            self.steps += 1;
            self.deliver();
            if self.kind == Kind::Engine && self.steps.is_multiple_of(POLL_STEPS) {
                self.report_load();
            }
            for number in 0..self.entries.len() {
                let due = (self.steps + number).is_multiple_of(REQUEST_STEPS);
                if number < pressed && due {
                    let (now, work) = (self.now(), self.work());
                    self.entries[number].submit(now, work);
                }
                let idle_poll = (self.steps + number).is_multiple_of(POLL_STEPS);
                if due || idle_poll || self.entries[number].waiting_count() > 0 {
                    self.poll(number);
                }
            }
        }
    }

    /// Handles the events that are due.
    fn deliver(&mut self) {
        let now = self.now();
        while let Some(event) = self.events.first_entry() {
            if event.key().0 > now {
                break;
            }
            match event.remove() {
                Event::Query(number, query) => {
                    let issuer = self.issuers.entry(query.issuer).or_default();
                    let (target, ask) = (&query.target, &query.ask);
                    let grant = issuer.handle_request(now, target, number, ask, query.role);
                    self.send(now, Event::Grant(number, query.target, grant));
                }
                Event::Grant(number, target, grant) => {
                    self.entries[number].apply_grant(now, &target, &grant);
                    self.poll(number);
                }
                Event::Load(number, load) => {
                    let (id, service) = limited_target(self.kind);
                    let address = target(id, service, "north").address;
                    self.entries[number].report_load(now, address, load);
                    self.poll(number);
                }
                Event::Request => {
                    self.arrivals.push(now);
                    self.running += 1;
                }
                Event::Answer(number, place, sent) => {
                    self.running -= 1;
                    let entry = &mut self.entries[number];
                    entry.set_target_limit(now, &place.target, sent, Some(self.limit));
                    entry.record_end(now, place.request, Outcome::Answered);
                    self.poll(number);
                }
            }
        }
    }

    /// Polls an entry and sends its requests and permit queries.
    fn poll(&mut self, number: usize) {
        let now = self.now();
        for decision in self.entries[number].poll(now) {
            if let Decision::Send(place) = decision {
                self.send(now, Event::Request);
                let answered = now + SERVICE_TIME + ms(MAX_TRANSIT_MS);
                self.send(answered, Event::Answer(number, Box::new(place), now));
            }
        }
        for query in self.entries[number].permit_queries(now) {
            self.send(now, Event::Query(number, query));
        }
    }

    fn send(&mut self, now: Instant, event: Event) {
        let transit = ms(self.random.random_range(1..=MAX_TRANSIT_MS));
        self.events
            .insert((now + transit, self.random.random()), event);
    }

    /// Sends the engine's load to all entries if it changed or is due again.
    fn report_load(&mut self) {
        let (now, running) = (self.now(), self.running);
        let unchanged =
            |(at, load): (Instant, u32)| load == running && now.duration_since(at) < LOAD_REPEAT;
        if self.last_load.is_some_and(unchanged) {
            return;
        }
        self.last_load = Some((now, running));
        for number in 0..self.entries.len() {
            let load = Load {
                running,
                ..idle_load()
            };
            self.send(now, Event::Load(number, load));
        }
    }

    fn work(&self) -> RequestContext {
        let now = self.now();
        let work = match self.kind {
            Kind::Engine => streaming(now),
            Kind::Plain => plain(now, RequestKind::Idempotent, 2),
        };
        RequestContext {
            objective: ms(300),
            deadline: now + ms(2_000),
            ..work
        }
    }
}

/// Returns the id and the service of the rate-limited target.
fn limited_target(kind: Kind) -> (&'static str, &'static str) {
    match kind {
        Kind::Engine => ("a", "drafts"),
        Kind::Plain => ("c", "desk"),
    }
}

/// Returns one of `count` entries, which knows an engine and a plain target.
fn entry(count: usize, seed: u64) -> Scheduler {
    let engines = Service {
        engine: Some(engine()),
        ..Service::default()
    };
    let services = BTreeMap::from([
        ("drafts".to_owned(), engines),
        ("desk".to_owned(), Service::default()),
    ]);
    let retries = RetryLimit {
        ratio: 0.2,
        extra_per_window: 100.0,
        window: Duration::from_secs(10),
    };
    let mut entry = Scheduler::new("north", RequiredVersions::new(BOUND), retries, seed);
    entry.set_entries(count);
    let config = Config::new(2, services, Limits::default(), [], None);
    entry.set_config(Rc::new(config));
    for kind in [Kind::Engine, Kind::Plain] {
        let (id, service) = limited_target(kind);
        entry.put_target(target(id, service, "north"));
    }
    entry
}

// Guards against permits that expire unused because the entry that holds them finds no share of the engine's free
// places.
#[parameterized(
    engine = { Kind::Engine, 1.0 },
    engine_fast = { Kind::Engine, 6.5 },
    plain = { Kind::Plain, 1.0 },
)]
fn limit_used(kind: Kind, limit: f64) {
    let mut low = Vec::new();
    for seed in 150..250 {
        let mut fleet = Fleet::new(6, kind, limit, seed);
        fleet.run(PRESSED, 6);
        let settled = fleet.start + SETTLED;
        let first = fleet.arrivals.partition_point(|at| *at < settled);
        let most = window::max_events(&fleet.arrivals[first..], WINDOW) as f64;
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        assert!(
            most <= allowed,
            "{most} requests, allowed {allowed}, seed {seed}"
        );
        let used = most / (limit * WINDOW.as_secs_f64());
        if used < 0.4 {
            low.push((seed, used));
        }
    }
    assert!(low.is_empty(), "seeds and used share of the limit: {low:?}");
}

// Guards against entries without requests that use up permits or slow down the only entry with requests.
#[parameterized(
    engine = { 6, Kind::Engine, 220..240 },
    plain = { 6, Kind::Plain, 30..50 },
    plain_many = { 99, Kind::Plain, 0..4 },
    plain_most = { 600, Kind::Plain, 0..4 },
)]
fn single_entry_served(count: usize, kind: Kind, seeds: Range<u64>) {
    let mut low = Vec::new();
    for seed in seeds {
        let mut fleet = Fleet::new(count, kind, 1.0, seed);
        fleet.run(PRESSED, count);
        // Requests in progress arrive before.
        let alone = fleet.now() + ms(MAX_TRANSIT_MS);
        fleet.run(SINGLE, 1);
        let first = fleet.arrivals.partition_point(|at| *at <= alone);
        let served_after = fleet.arrivals.get(first).map(|at| *at - alone);
        let sent = fleet.arrivals.len() - first;
        let in_time = served_after.is_some_and(|time| time < SERVED_WITHIN);
        if !in_time || (sent as f64) < 0.4 * SINGLE.as_secs_f64() {
            low.push((seed, served_after, sent));
        }
    }
    assert!(
        low.is_empty(),
        "seeds, time of the first request and number of requests: {low:?}"
    );
}

//! Short and long prompts that share engines, which read prompts in passes between the steps of running requests.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{
    Config, Decision, Limits, Load, Outcome, Placement, RequestContext, RequestId, RequestKind,
    RequiredVersions, RetryLimit, Route, Scheduler, Service,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use crate::support::{
    BOUND, OBJECTIVE, config, engine, idle_load, scheduler, streaming, submit, target,
};

const SLOTS: u32 = 12;

/// Prompt tokens of the four sizes, and the share of the requests that has each.
const SIZES: [(u32, f64); 4] = [(150, 0.3), (500, 0.3), (1_200, 0.25), (3_600, 0.15)];
const TICK: Duration = Duration::from_millis(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of prompt tokens that an engine reads in one step.
const CHUNK_TOKENS: f64 = 2_048.0;

/// Returns an engine that runs 12 requests concurrently and spends a third of its time on reading when it is full.
fn model() -> dispatch::Engine {
    dispatch::Engine {
        slots: SLOTS,
        base_step_ms: 9.3,
        step_ms_per_request: 0.02,
        step_ms_per_1k_context: 0.03,
        prefill_tokens_per_ms: 20.7,
        tokens_per_event: 5,
        mean_prompt_tokens: 1_035.0,
        ..engine()
    }
}

/// A request at a simulated engine.
struct Job {
    entry: usize,
    place: Placement,
    arrived: Instant,
    unread: f64,
    unwritten: f64,
}

/// Entry, number, prompt tokens and arrival of a request whose first event arrived.
type FirstEvent = (usize, RequestId, u32, Instant);

/// A simulated engine. Requests are admitted to its slots by priority, and read in the order of admission.
struct Engine {
    queue: Vec<Job>,
    reading: Vec<Job>,
    writing: Vec<Job>,
    pass_ends: Instant,
}

/// Requests of each size that were asked, that began in time, and that began late.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    in_time: u32,
    late: u32,
}

impl Engine {
    fn new(now: Instant) -> Self {
        Self {
            queue: Vec::new(),
            reading: Vec::new(),
            writing: Vec::new(),
            pass_ends: now,
        }
    }

    /// Begins a pass at `now`; returns its duration.
    ///
    /// A pass with writers takes several steps, in each of which a chunk of prompts is read as well.
    fn begin_pass(&mut self, now: Instant) -> Duration {
        let model = model();
        self.queue
            .sort_by_key(|job| (job.place.target_priority, job.arrived));
        let free = SLOTS as usize - self.reading.len() - self.writing.len();
        let admitted = free.min(self.queue.len());
        self.reading.extend(self.queue.drain(..admitted));
        let steps = match self.writing.is_empty() {
            true => 1,
            false => model.tokens_per_event,
        };
        let mut budget = CHUNK_TOKENS * f64::from(steps);
        let mut read = 0.0;
        for job in &mut self.reading {
            let part = job.unread.min(budget);
            job.unread -= part;
            budget -= part;
            read += part;
        }
        for job in &mut self.writing {
            job.unwritten -= f64::from(steps);
        }
        let writing_ms = match self.writing.is_empty() {
            true => 0.0,
            false => f64::from(steps) * model.base_step_ms,
        };
        let pass =
            Duration::from_secs_f64((writing_ms + read / model.prefill_tokens_per_ms) / 1000.0);
        self.pass_ends = now + pass;
        pass
    }

    /// Ends the pass: returns the requests that have their first event, and those that are complete.
    fn end_pass(&mut self) -> (Vec<FirstEvent>, Vec<Job>) {
        let (complete, writing) = self
            .writing
            .drain(..)
            .partition(|job: &Job| job.unwritten <= 0.0);
        self.writing = writing;
        let (begun, reading): (Vec<Job>, Vec<Job>) =
            self.reading.drain(..).partition(|job| job.unread <= 0.0);
        self.reading = reading;
        let first = |job: &Job| {
            let prompt = job.place.work.prompt_tokens;
            (job.entry, job.place.request, prompt, job.arrived)
        };
        let first_events = begun.iter().map(first).collect();
        self.writing.extend(begun);
        (first_events, complete)
    }

    fn load(&self) -> Load {
        Load {
            running: self.writing.len() as u32,
            waiting: (self.queue.len() + self.reading.len()) as u32,
            ..idle_load()
        }
    }
}

/// A simulation: entries that share engines, and the load that callers offer.
struct Replay {
    entries: usize,
    engines: usize,
    /// Requests per second of all callers together.
    rate: f64,
    /// Engines beyond the first of `engines` that accept requests from the middle of the time on.
    late_engines: usize,
    duration: Duration,
    seed: u64,
}

impl Replay {
    fn scheduler(&self, number: usize) -> Scheduler {
        let retry_limit = RetryLimit {
            ratio: 0.1,
            extra_per_window: 20.0,
            window: Duration::from_secs(10),
        };
        let seed = self.seed + number as u64;
        let mut scheduler =
            Scheduler::new("north", RequiredVersions::new(BOUND), retry_limit, seed);
        let service = Service {
            engine: Some(model()),
            ..Service::default()
        };
        let services = BTreeMap::from([("drafts".to_owned(), service)]);
        scheduler.set_config(Rc::new(Config::new(
            1,
            services,
            Limits::default(),
            [],
            None,
        )));
        scheduler.set_entries(self.entries);
        scheduler
    }

    /// Returns the counts of each size.
    fn run(&self) -> [Counts; 4] {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut schedulers: Vec<Scheduler> = (0..self.entries).map(|n| self.scheduler(n)).collect();
        let mut engines: BTreeMap<String, Engine> = BTreeMap::new();
        let mut arrivals: BTreeMap<(usize, RequestId), Instant> = BTreeMap::new();
        let mut counts = [Counts::default(); 4];
        let size_of = |prompt: u32| SIZES.iter().position(|(tokens, _)| *tokens == prompt);
        let steps = (self.duration.as_millis() / TICK.as_millis()) as u32;
        for step in 0..steps {
            let now = start + TICK * step;
            let late = if step >= steps / 2 {
                self.late_engines
            } else {
                0
            };
            for number in engines.len()..self.engines + late {
                let id = format!("engine-{number:02}");
                for scheduler in &mut schedulers {
                    scheduler.put_target(target(&id, "drafts", "north"));
                }
                engines.insert(id, Engine::new(now));
            }
            if rng.random_bool(self.rate * TICK.as_secs_f64()) {
                let mut draw: f64 = rng.random();
                let drawn = SIZES.iter().position(|(_, share)| {
                    draw -= share;
                    draw < 0.0
                });
                let size = drawn.unwrap_or(0);
                let entry = rng.random_range(0..self.entries);
                let work = RequestContext {
                    prompt_tokens: SIZES[size].0,
                    ..streaming(now)
                };
                counts[size].asked += 1;
                let id = schedulers[entry].submit(now, work);
                arrivals.insert((entry, id), now);
            }
            for (id, engine) in &mut engines {
                if engine.pass_ends <= now {
                    let (begun, complete) = engine.end_pass();
                    for (entry, request, prompt, arrived) in begun {
                        schedulers[entry].record_first_event(now, request, None);
                        let size = size_of(prompt).unwrap();
                        match now <= arrived + OBJECTIVE {
                            true => counts[size].in_time += 1,
                            false => counts[size].late += 1,
                        }
                    }
                    for job in complete {
                        schedulers[job.entry].record_end(now, job.place.request, Outcome::Answered);
                    }
                    engine.begin_pass(now);
                }
                if (TICK * step)
                    .as_millis()
                    .is_multiple_of(REPORT_INTERVAL.as_millis())
                {
                    for scheduler in &mut schedulers {
                        scheduler.report_answer_load(now, id, engine.load());
                    }
                }
            }
            for (entry, scheduler) in schedulers.iter_mut().enumerate() {
                for decision in scheduler.poll(now) {
                    if let Decision::Send(place) = decision {
                        let arrived = arrivals[&(entry, place.request)];
                        let target = place.target.clone();
                        engines.get_mut(&target).unwrap().queue.push(Job {
                            entry,
                            arrived,
                            unread: place.work.prompt_tokens.into(),
                            unwritten: place.work.output_tokens.into(),
                            place,
                        });
                    }
                }
            }
        }
        counts
    }
}

/// Returns the counts of each size over three runs.
fn replay(entries: usize, engines: usize, late_engines: usize, rate: f64) -> [Counts; 4] {
    let mut sums = [Counts::default(); 4];
    for seed in [11, 23, 47] {
        let replay = Replay {
            entries,
            engines,
            rate,
            late_engines,
            duration: Duration::from_secs(20),
            seed,
        };
        for (sum, counts) in sums.iter_mut().zip(replay.run()) {
            sum.asked += counts.asked;
            sum.in_time += counts.in_time;
            sum.late += counts.late;
        }
    }
    sums
}

// Guards against short prompts that are late because too many wait unread at their engine, and against long ones that
// starve. Requests of four sizes arrive at entries that share engines, each of which serves 7.5 of them per second: at
// half of that, at 0.93, at 1.25 times that, and at engines that join in the middle of the time. `least` are the shares
// in per mille that must begin within their objective, by size.
#[parameterized(
    half_load = { 8, 0, 30.0, [985, 985, 985, 920] },
    full_load = { 8, 0, 56.0, [945, 945, 925, 770] },
    overload = { 8, 0, 75.0, [745, 720, 695, 400] },
    engines_join = { 4, 4, 50.0, [755, 755, 715, 540] },
)]
fn sizes_in_time(engines: usize, late_engines: usize, rate: f64, least: [u32; 4]) {
    let counts = replay(4, engines, late_engines, rate);
    for (counts, least) in counts.iter().zip(least) {
        assert!(counts.in_time * 1_000 >= counts.asked * least, "{counts:?}");
    }
}

fn route(priority: u8) -> Route {
    Route {
        name: "chat".into(),
        prefix: "/".into(),
        kind: RequestKind::Streaming { resumable: true },
        timeout: Duration::from_secs(6),
        objective: OBJECTIVE,
        max_event_gap: None,
        priority,
        backends: vec![("drafts".into(), 1)],
        max_attempts: 2,
        anonymous: true,
        allowed_regions: None,
    }
}

/// Returns the priority that an engine is given with a request of `rank` that waited at the entry for `waited`, under a
/// configuration whose least urgent rank is `lowest_rank`.
fn target_priority(rank: u8, lowest_rank: u8, prompt_tokens: u32, waited: Duration) -> u8 {
    let arrived = Instant::now();
    let mut scheduler = scheduler();
    let services = config().services.clone();
    let routes = [("a.example".to_owned(), route(lowest_rank))];
    let config = Config::new(2, services, Limits::default(), routes, None);
    scheduler.set_config(Rc::new(config));
    scheduler.put_target(target("engine", "drafts", "north"));
    let work = RequestContext {
        priority: rank,
        prompt_tokens,
        ..streaming(arrived)
    };
    let place = submit(&mut scheduler, arrived + waited, work).unwrap();
    place.target_priority
}

// Guards against long prompts that go before short ones of their rank, against long ones that wait without end behind
// short ones, and against priorities beyond the engines' scale when a configuration has many ranks.
#[parameterized(
    short = { 1, 2, 300, 0, 3 },
    medium = { 1, 2, 900, 0, 4 },
    long = { 1, 2, 3_000, 0, 5 },
    long_waited = { 1, 2, 3_000, 120, 3 },
    many_ranks = { 7, 8, 3_000, 0, 7 },
)]
fn priority_by_size(rank: u8, lowest_rank: u8, prompt: u32, waited_ms: u64, expected: u8) {
    let waited = Duration::from_millis(waited_ms);
    assert_eq!(target_priority(rank, lowest_rank, prompt, waited), expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a size that outweighs a rank.
    #[test]
    fn priority_by_rank(lowest in 1u8..=9, rank in 0u8..9, prompts in (1u32..4_000, 1u32..4_000), waits in (0u64..300, 0u64..300)) {
        let rank = rank.min(lowest - 1);
        let wait = Duration::from_millis;
        let first = target_priority(rank, lowest, prompts.0, wait(waits.0));
        let second = target_priority(rank + 1, lowest, prompts.1, wait(waits.1));
        prop_assert!(first < second && second <= 9);
    }
}

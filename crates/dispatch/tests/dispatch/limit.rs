//! Targets that take a limited number of requests from all entries together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{
    Config, Decision, Kind, Limits, Question, Reason, Scheduler, Service, Target, Work,
};
use quota::{AdvertisedLimit, Grant, Issuer, TargetStart};
use yare::parameterized;

use crate::support::{call, draft, engine, ms, places, scheduler, submit, target};

const STEP: Duration = Duration::from_millis(10);
/// Time that a question, and its answer, take.
const TRANSIT: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(8);
/// Time after the start in which entries learn of a limit.
const CONTACT: Duration = Duration::from_secs(3);
const CUT: &str = "south";

/// Entries, the issuers that they ask and the requests that reach targets.
struct Fleet {
    entries: Vec<Scheduler>,
    issuers: BTreeMap<IpAddr, Issuer<usize>>,
    questions: Vec<(Instant, usize, Question)>,
    grants: Vec<(Instant, usize, TargetStart, Grant)>,
    arrivals: Vec<Instant>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self {
            entries: (0..count).map(|_| entry()).collect(),
            issuers: BTreeMap::new(),
            questions: Vec::new(),
            grants: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Carries questions and grants; `reaches` tells whether an entry reaches an issuer.
    fn carry(&mut self, now: Instant, reaches: impl Fn(usize, IpAddr) -> bool) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let questions = entry.questions(now).into_iter();
            let arriving = questions.filter(|question| reaches(number, question.issuer));
            let arriving = arriving.map(|question| (now + TRANSIT, number, question));
            self.questions.extend(arriving);
        }
        let (due, rest) = std::mem::take(&mut self.questions)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.questions = rest;
        let due: Vec<(Instant, usize, Question)> = due;
        for (_, number, question) in due {
            let issuer = self.issuers.entry(question.issuer).or_default();
            let (target, ask) = (&question.target, &question.ask);
            let grant = issuer.handle_request(now, target, number, ask, question.role);
            self.grants
                .push((now + TRANSIT, number, question.target, grant));
        }
        let (due, rest) = std::mem::take(&mut self.grants)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.grants = rest;
        let due: Vec<(Instant, usize, TargetStart, Grant)> = due;
        for (_, number, target, grant) in due {
            self.entries[number].take_grant(now, &target, &grant);
        }
    }

    /// Submits `work` at each of `entries`; what gets a place is answered with `limit`.
    fn submit(
        &mut self,
        now: Instant,
        entries: impl Fn(usize) -> bool,
        work: &Work,
        limit: Option<f64>,
    ) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            if !entries(number) {
                continue;
            }
            entry.submit(now, work.clone());
            for place in places(entry.poll(now)) {
                self.arrivals.push(now);
                if limit.is_some() {
                    entry.target_limits(now, &place.target, now, limit);
                }
                entry.ended(now, place.request, dispatch::Outcome::Answered);
            }
        }
    }

    /// Returns the most arrivals within any `window` from `start` on.
    fn most(&self, start: Instant, window: Duration) -> usize {
        let first = self.arrivals.partition_point(|at| *at < start);
        window::max_events(&self.arrivals[first..], window)
    }
}

fn entry() -> Scheduler {
    let engines = Service {
        engine: Some(engine()),
        cold_limit: Some(COLD_LIMIT),
        ..Service::default()
    };
    let services = BTreeMap::from([
        ("drafts".to_owned(), engines),
        ("desk".to_owned(), Service::default()),
    ]);
    let mut entry = scheduler();
    let config = Config::new(2, services, Limits::default(), [], []);
    entry.set_config(Rc::new(config));
    for (id, domain) in [("a", "north"), ("b", CUT)] {
        entry.put_target(engine_at(id, domain));
    }
    entry.put_target(target("c", "desk", CUT));
    entry
}

/// Returns an engine of `domain` with an address of its own.
fn engine_at(id: &str, domain: &str) -> Target {
    let mut target = target(id, "drafts", domain);
    let last = if domain == CUT { 3 } else { 2 };
    target.address.set_ip([127, 0, 0, last].into());
    target
}

/// Requests a second that a cold engine takes, as the configuration says.
const COLD_LIMIT: f64 = 26.0;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// Entries of the northern domain reach nothing in the southern one.
    Cut,
    /// Every second a tenth of the entries and all issuers start anew.
    Restarts,
}

// Guards against more requests than a target says it takes, summed over all entries, and against one that is left idle.
#[parameterized(
    few = { 6, 1.0, Fault::None },
    many = { 99, 1.0, Fault::None },
    most = { 600, 1.0, Fault::None },
    fast = { 99, 30.0, Fault::None },
    cut = { 99, 2.2, Fault::Cut },
    restarts = { 99, 2.2, Fault::Restarts },
)]
fn named_limit_kept(count: usize, limit: f64, fault: Fault) {
    let start = Instant::now();
    let mut fleet = Fleet::new(count);
    let known = AdvertisedLimit {
        number: 1,
        limit: Some(limit),
    };
    let named: TargetStart = ("c".into(), Some(1));
    for entry in &mut fleet.entries {
        entry.hear_limit(start, &named, known);
    }
    let work = |now| call(now, Kind::Idempotent, 1);
    let south = |number: usize| number.is_multiple_of(3);
    let mut now = start;
    for step in 1u32.. {
        now += STEP;
        if now > start + LENGTH {
            break;
        }
        let reaches = |number: usize, issuer: IpAddr| {
            fault != Fault::Cut || south(number) == (issuer == IpAddr::from([127, 0, 0, 3]))
        };
        fleet.carry(now, reaches);
        // A request of an entry that is cut off from the target doesn't arrive.
        let sends = |number: usize| fault != Fault::Cut || south(number);
        fleet.submit(now, sends, &work(now), Some(limit));
        if fault == Fault::Restarts && step.is_multiple_of(100) {
            fleet.issuers.clear();
            let first = (step / 100) as usize;
            for number in (first..count).step_by(10) {
                fleet.entries[number] = entry();
                fleet.entries[number].hear_limit(now, &named, known);
            }
        }
    }
    let window = Duration::from_secs(4);
    let most = fleet.most(start + CONTACT, window) as f64;
    let allowed = 1.5 * limit * window.as_secs_f64() + 5.0;
    assert!(most <= allowed, "{most} requests, allowed {allowed}");
    let share = most / (limit * window.as_secs_f64());
    assert!(share >= 0.4, "only {share:.2} of the limit was used");
}

// Guards against more requests a second than a target bears while it is cold, all entries together: it would crash.
#[parameterized(
    few = { 6 },
    many = { 99 },
    most = { 600 },
)]
fn cold_limit_kept(count: usize) {
    let start = Instant::now();
    let mut fleet = Fleet::new(count);
    for entry in &mut fleet.entries {
        entry.remove_target("a");
        entry.target_warms_up(start, "b", LENGTH / 2);
    }
    let mut now = start;
    while now + STEP < start + LENGTH / 2 {
        now += STEP;
        fleet.carry(now, |_, _| true);
        fleet.submit(now, |_| true, &draft(now), None);
    }
    let window = Duration::from_secs(1);
    let most = fleet.most(start, window) as f64;
    let allowed = 1.5 * COLD_LIMIT * window.as_secs_f64() + 5.0;
    assert!(most <= allowed, "{most} requests, allowed {allowed}");
    assert!(most >= COLD_LIMIT / 2.0, "only {most} requests in a second");

    let warm = start + LENGTH / 2 + ms(1);
    assert!(submit(&mut fleet.entries[0], warm, draft(warm)).is_some());
}

// Guards against requests to a target with a limit while others have room: it is in need.
#[test]
fn limited_last() {
    let now = Instant::now();
    let mut entry = entry();
    entry.target_limits(now, "a", now, Some(1_000.0));
    let place = submit(&mut entry, now, draft(now)).unwrap();
    assert_eq!(place.target, "b");
    let told: Vec<u16> = entry
        .questions(now)
        .iter()
        .map(|question| question.ask.wanted)
        .collect();
    assert_eq!(told, [0], "word of the limit, but no wish for permits");
}

// Guards against a limit that ends with an answer made before the target named it, or that doesn't end with a later one.
#[parameterized(
    sent_before = { 0, true },
    sent_after = { 200, false },
)]
fn unlimited_answer(sent_ms: u64, limited: bool) {
    let start = Instant::now();
    let mut entry = entry();
    let (learned, now) = (start + ms(100), start + ms(300));
    assert!(entry.target_limits(learned, "c", start, Some(2.0)));
    assert!(
        !entry.target_limits(learned, "c", start, Some(2.0)),
        "no news"
    );
    let news = entry.target_limits(now, "c", start + ms(sent_ms), None);
    assert_eq!(news, !limited);
    assert_eq!(entry.limit(now, "c").is_some(), limited);
}

// Guards against a limit that outlives the process that named it.
#[test]
fn limit_of_earlier_start() {
    let now = Instant::now();
    let mut entry = entry();
    entry.target_limits(now, "c", now, Some(2.0));
    let mut again = target("c", "desk", CUT);
    again.born = Some(2);
    entry.put_target(again);
    assert_eq!(entry.limit(now, "c"), None);
    let word = AdvertisedLimit {
        number: 9,
        limit: Some(1.0),
    };
    assert!(!entry.hear_limit(now, &("c".into(), Some(1)), word));
}

// Guards against requests that wait for a permit until their time is over, and against a permit that is used after it ran
// out because the entry had stood still.
#[test]
fn permit_runs_out() {
    let start = Instant::now();
    let mut entry = entry();
    entry.target_limits(start, "c", start, Some(2.0));
    let work = |now| call(now, Kind::Idempotent, 1);
    assert!(submit(&mut entry, start, work(start)).is_none());
    let questions = entry.questions(start);
    let question = questions
        .iter()
        .find(|question| question.ask.wanted > 0)
        .unwrap();
    let grant = Grant {
        number: question.ask.number,
        permits: 2,
        pause_ms: 4_000,
        statement: None,
    };
    let later = start + ms(700);
    entry.take_grant(later, &question.target, &grant);
    entry.submit(later, work(later));
    let decisions = entry.poll(later);
    let refused = |decision: &Decision| matches!(decision, Decision::Reject { reason: Reason::Paused, retry_after, .. } if *retry_after >= ms(2_000));
    assert!(decisions.iter().any(refused), "{decisions:?}");
    assert!(places(decisions).is_empty());
}

// Guards against an issuer that is gone: the target would get no request any more.
#[test]
fn issuer_gone() {
    let mut now = Instant::now();
    let mut entry = entry();
    entry.target_limits(now, "c", now, Some(2.0));
    let mut asked = BTreeSet::new();
    for _ in 0..200 {
        now += STEP;
        entry.submit(now, call(now, Kind::Idempotent, 1));
        entry.poll(now);
        asked.extend(entry.questions(now).iter().map(|question| question.issuer));
    }
    assert_eq!(asked.len(), 2, "{asked:?}");
}

//! Tests of targets whose request rate is limited over all entries together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{
    Config, Decision, Limits, PermitQuery, Reason, RequestContext, RequestKind, Scheduler, Service,
    Target,
};
use quota::{AdvertisedLimit, Grant, Issuer, TargetStart};
use yare::parameterized;

use crate::support::{engine, ms, places, plain, scheduler, streaming, submit, target};

const STEP: Duration = Duration::from_millis(10);
/// Time that a permit query takes to arrive, and its reply as well.
const TRANSIT: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(8);
/// Time after the start within which entries learn of a limit.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_secs(3);
const CUT_DOMAIN: &str = "south";

/// Simulation of entries, the issuers that they query and the requests that reach targets.
struct Cluster {
    entries: Vec<Scheduler>,
    issuers: BTreeMap<IpAddr, Issuer<usize>>,
    questions: Vec<(Instant, usize, PermitQuery)>,
    grants: Vec<(Instant, usize, TargetStart, Grant)>,
    arrivals: Vec<Instant>,
}

impl Cluster {
    fn new(count: usize) -> Self {
        Self {
            entries: (0..count).map(|_| entry()).collect(),
            issuers: BTreeMap::new(),
            questions: Vec::new(),
            grants: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Delivers permit queries and grants; `reaches` is whether an entry reaches an issuer.
    fn deliver(&mut self, now: Instant, reaches: impl Fn(usize, IpAddr) -> bool) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let questions = entry.permit_queries(now).into_iter();
            let arriving = questions.filter(|question| reaches(number, question.issuer));
            let arriving = arriving.map(|question| (now + TRANSIT, number, question));
            self.questions.extend(arriving);
        }
        let (due, rest) = std::mem::take(&mut self.questions)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.questions = rest;
        let due: Vec<(Instant, usize, PermitQuery)> = due;
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
            self.entries[number].apply_grant(now, &target, &grant);
        }
    }

    /// Submits `work` at each of `entries`; requests that are placed get an answer with `limit`.
    fn submit(
        &mut self,
        now: Instant,
        entries: impl Fn(usize) -> bool,
        work: &RequestContext,
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
                    entry.set_target_limit(now, &place.target, now, limit);
                }
                entry.record_end(now, place.request, dispatch::Outcome::Answered);
            }
        }
    }

    /// Returns the maximum number of arrivals within any `window` from `start` on.
    fn max_arrivals(&self, start: Instant, window: Duration) -> usize {
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
    let config = Config::new(2, services, Limits::default(), [], None);
    entry.set_config(Rc::new(config));
    for (id, domain) in [("a", "north"), ("b", CUT_DOMAIN)] {
        entry.put_target(engine_at(id, domain));
    }
    entry.put_target(target("c", "desk", CUT_DOMAIN));
    entry
}

/// Returns an engine in `domain`, with a separate IP address per domain.
fn engine_at(id: &str, domain: &str) -> Target {
    let mut target = target(id, "drafts", domain);
    let last = if domain == CUT_DOMAIN { 3 } else { 2 };
    target.address.set_ip([127, 0, 0, last].into());
    target
}

/// Configured limit for cold engines, in requests per second.
const COLD_LIMIT: f64 = 26.0;

/// Fault to inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// Entries of the northern domain reach nothing in the southern one.
    Cut,
    /// Every second, a tenth of the entries and all issuers restart.
    Restarts,
}

// Guards against exceeding the limit that a target states, summed over all entries, and against leaving it mostly
// unused.
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
    let mut cluster = Cluster::new(count);
    let statement = AdvertisedLimit {
        number: 1,
        limit: Some(limit),
    };
    let target: TargetStart = ("c".into(), Some(1));
    for entry in &mut cluster.entries {
        entry.merge_limit(start, &target, statement);
    }
    let work = |now| plain(now, RequestKind::Idempotent, 1);
    let south = |number: usize| number.is_multiple_of(3);
    let mut now = start;
    for step in 1u32.. {
        now += STEP;
        if now > start + DURATION {
            break;
        }
        let reaches = |number: usize, issuer: IpAddr| {
            fault != Fault::Cut || south(number) == (issuer == IpAddr::from([127, 0, 0, 3]))
        };
        cluster.deliver(now, reaches);
        // Requests of an entry that is cut off from the target do not arrive.
        let sends = |number: usize| fault != Fault::Cut || south(number);
        cluster.submit(now, sends, &work(now), Some(limit));
        if fault == Fault::Restarts && step.is_multiple_of(100) {
            cluster.issuers.clear();
            let first = (step / 100) as usize;
            for number in (first..count).step_by(10) {
                cluster.entries[number] = entry();
                cluster.entries[number].merge_limit(now, &target, statement);
            }
        }
    }
    let window = Duration::from_secs(4);
    let most = cluster.max_arrivals(start + LIMIT_KNOWN_AFTER, window) as f64;
    let allowed = 1.5 * limit * window.as_secs_f64() + 5.0;
    assert!(most <= allowed, "{most} requests, allowed {allowed}");
    let share = most / (limit * window.as_secs_f64());
    assert!(share >= 0.4, "only {share:.2} of the limit was used");
}

// Guards against exceeding the limit of a cold target, summed over all entries: it would crash.
#[parameterized(
    few = { 6 },
    many = { 99 },
    most = { 600 },
)]
fn cold_limit_kept(count: usize) {
    let start = Instant::now();
    let mut cluster = Cluster::new(count);
    for entry in &mut cluster.entries {
        entry.remove_target("a");
        entry.set_cold_period(start, "b", DURATION / 2);
    }
    let mut now = start;
    while now + STEP < start + DURATION / 2 {
        now += STEP;
        cluster.deliver(now, |_, _| true);
        cluster.submit(now, |_| true, &streaming(now), None);
    }
    let window = Duration::from_secs(1);
    let most = cluster.max_arrivals(start, window) as f64;
    let allowed = 1.5 * COLD_LIMIT * window.as_secs_f64() + 5.0;
    assert!(most <= allowed, "{most} requests, allowed {allowed}");
    assert!(most >= COLD_LIMIT / 2.0, "only {most} requests in a second");

    let warm = start + DURATION / 2 + ms(1);
    assert!(submit(&mut cluster.entries[0], warm, streaming(warm)).is_some());
}

// Guards against requests to a rate-limited target while others have room: the limit shows that it is in trouble.
#[test]
fn limited_last() {
    let now = Instant::now();
    let mut entry = entry();
    entry.set_target_limit(now, "a", now, Some(1_000.0));
    let place = submit(&mut entry, now, streaming(now)).unwrap();
    assert_eq!(place.target, "b");
    let wanted: Vec<u16> = entry
        .permit_queries(now)
        .iter()
        .map(|question| question.ask.wanted)
        .collect();
    assert_eq!(wanted, [0], "passes on the limit but wants no permits");
}

// Guards against a limit that is revoked by an answer from before the target stated it, or not revoked by a later one.
#[parameterized(
    sent_before = { 0, true },
    sent_after = { 200, false },
)]
fn unlimited_answer(sent_ms: u64, limited: bool) {
    let start = Instant::now();
    let mut entry = entry();
    let (learned, now) = (start + ms(100), start + ms(300));
    assert!(entry.set_target_limit(learned, "c", start, Some(2.0)));
    assert!(
        !entry.set_target_limit(learned, "c", start, Some(2.0)),
        "already known"
    );
    let news = entry.set_target_limit(now, "c", start + ms(sent_ms), None);
    assert_eq!(news, !limited);
    assert_eq!(entry.target_limit(now, "c").is_some(), limited);
}

// Guards against a limit that outlives the process that stated it.
#[test]
fn limit_of_earlier_start() {
    let now = Instant::now();
    let mut entry = entry();
    entry.set_target_limit(now, "c", now, Some(2.0));
    let mut again = target("c", "desk", CUT_DOMAIN);
    again.started_at_ms = Some(2);
    entry.put_target(again);
    assert_eq!(entry.target_limit(now, "c"), None);
    let statement = AdvertisedLimit {
        number: 9,
        limit: Some(1.0),
    };
    assert!(!entry.merge_limit(now, &("c".into(), Some(1)), statement));
}

// Guards against requests that wait for a permit until their deadline, and against the use of an expired permit by an
// entry that had been suspended.
#[test]
fn permit_runs_out() {
    let start = Instant::now();
    let mut entry = entry();
    entry.set_target_limit(start, "c", start, Some(2.0));
    let work = |now| plain(now, RequestKind::Idempotent, 1);
    assert!(submit(&mut entry, start, work(start)).is_none());
    let questions = entry.permit_queries(start);
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
    entry.apply_grant(later, &question.target, &grant);
    entry.submit(later, work(later));
    let decisions = entry.poll(later);
    let refused = |decision: &Decision| matches!(decision, Decision::Reject { reason: Reason::Paused, retry_after, .. } if *retry_after >= ms(2_000));
    assert!(decisions.iter().any(refused), "{decisions:?}");
    assert!(places(decisions).is_empty());
}

// Guards against querying only an issuer that is gone: the target would get no more requests.
#[test]
fn issuer_gone() {
    let mut now = Instant::now();
    let mut entry = entry();
    entry.set_target_limit(now, "c", now, Some(2.0));
    let mut asked = BTreeSet::new();
    for _ in 0..200 {
        now += STEP;
        entry.submit(now, plain(now, RequestKind::Idempotent, 1));
        entry.poll(now);
        asked.extend(
            entry
                .permit_queries(now)
                .iter()
                .map(|question| question.issuer),
        );
    }
    assert_eq!(asked.len(), 2, "{asked:?}");
}

//! Simulation of entries that share a target's limit over a network that delays and loses datagrams.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use quota::{AdvertisedLimit, Grant, Issuer, PermitRequest, Permits, Role, TargetStart};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

const TIME_STEP: Duration = Duration::from_millis(5);
const SIMULATED_TIME: Duration = Duration::from_secs(30);
/// Maximum network delay of a datagram or a request.
const MAX_TRANSIT_MS: u64 = 40;
const LOSS_PROBABILITY: f64 = 0.02;
/// Windows in which arrivals are bounded to `factor` times what the limit allows, plus `extra`.
const ARRIVAL_BOUNDS: [Bound; 2] = [
    Bound {
        length: Duration::from_secs(4),
        factor: 1.5,
        extra: 5.0,
    },
    Bound {
        length: Duration::from_secs(1),
        factor: 1.5,
        extra: 5.0,
    },
];

struct Bound {
    length: Duration,
    factor: f64,
    extra: f64,
}

/// Injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The issuer loses its state every 1.3 s.
    IssuerRestarts,
    /// A tenth of the entries lose their state every second.
    EntriesRestart,
    /// A third of the entries are suspended for 3 s of every 6 s; datagrams sent to them are delayed.
    EntriesPause,
    /// A third of the entries can reach neither the issuer nor the target.
    DomainCut,
    /// Half of the entries use another issuer.
    TwoIssuers,
    /// Each entry has requests for 1 s of every 3 s only.
    DemandChanges,
}

struct Entry {
    permits: Permits,
    statement: Option<AdvertisedLimit>,
    received: VecDeque<(Instant, Grant)>,
}

impl Entry {
    fn new(statement: Option<AdvertisedLimit>) -> Self {
        Self {
            permits: Permits::default(),
            statement,
            received: VecDeque::new(),
        }
    }
}

/// Simulates `count` entries, each with requests waiting unless `fault` says otherwise, that share a target with a
/// limit of `limit` requests per second, and returns the arrival times of all requests.
fn simulate(count: usize, limit: f64, fault: Fault, seed: u64) -> Vec<Instant> {
    let mut random = SmallRng::seed_from_u64(seed);
    let target: TargetStart = ("target".into(), Some(1));
    let mut known = None;
    AdvertisedLimit::record(&mut known, Some(limit));
    let start = Instant::now();
    let mut entries: Vec<Entry> = (0..count).map(|_| Entry::new(known)).collect();
    let mut issuers = [Issuer::default(), Issuer::default()];
    let mut pending: Vec<(Instant, usize, PermitRequest)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut now = start;
    let mut step = 0u32;
    while now < start + SIMULATED_TIME {
        now += TIME_STEP;
        step += 1;
        if fault == Fault::IssuerRestarts && step.is_multiple_of(260) {
            issuers[0] = Issuer::default();
        }
        if fault == Fault::EntriesRestart && step.is_multiple_of(200) {
            for entry in entries.iter_mut().filter(|_| random.random_bool(0.1)) {
                *entry = Entry::new(known);
            }
        }
        let paused = fault == Fault::EntriesPause && step % 1200 < 600;
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, ..)| *at <= now);
        pending = later;
        for (_, number, request) in due {
            let second = fault == Fault::TwoIssuers && number % 2 == 1;
            let role = match fault {
                Fault::TwoIssuers => Role::Chosen,
                _ => Role::Sole,
            };
            let issuer = &mut issuers[usize::from(second)];
            let grant = issuer.handle_request(now, &target, number, &request, role);
            if !random.random_bool(LOSS_PROBABILITY) {
                let transit = Duration::from_millis(random.random_range(1..MAX_TRANSIT_MS));
                entries[number].received.push_back((now + transit, grant));
            }
        }
        for (number, entry) in entries.iter_mut().enumerate() {
            let third = number % 3 == 0;
            if (paused || fault == Fault::DomainCut) && third {
                continue;
            }
            while entry.received.front().is_some_and(|(at, _)| *at <= now) {
                let (_, grant) = entry.received.pop_front().unwrap();
                entry.permits.apply_grant(now, &grant, random.random());
            }
            let phase = (step as usize + number * 37) % 600;
            let has_requests = fault != Fault::DemandChanges || phase < 200;
            if has_requests && entry.permits.try_take(now) {
                arrivals.push(now + Duration::from_millis(random.random_range(0..MAX_TRANSIT_MS)));
                continue;
            }
            if has_requests {
                entry.permits.set_wanted(now);
            }
            let wanted = 1 + random.random_range(0..3);
            let limit = entry.statement.and_then(|statement| statement.limit);
            if let Some(request) = entry
                .permits
                .next_request(now, wanted, limit, entry.statement)
                && !random.random_bool(LOSS_PROBABILITY)
            {
                let transit = Duration::from_millis(random.random_range(1..MAX_TRANSIT_MS));
                pending.push((now + transit, number, request));
            }
        }
    }
    arrivals.sort();
    arrivals
}

// Guards against exceeding a target's limit with the requests of all entries: if each entry kept to the limit on its
// own, the total would be the limit times the number of entries, and a single request from each is already too many.
#[parameterized(
    few = { 6, 1.0, Fault::None },
    many = { 99, 1.0, Fault::None },
    most = { 600, 1.0, Fault::None },
    most_fast = { 600, 26.0, Fault::None },
    few_fast = { 6, 40.0, Fault::None },
    issuer_restarts = { 99, 2.2, Fault::IssuerRestarts },
    entries_restart = { 99, 2.2, Fault::EntriesRestart },
    entries_pause = { 99, 10.0, Fault::EntriesPause },
    domain_cut = { 99, 1.0, Fault::DomainCut },
    two_issuers = { 99, 4.0, Fault::TwoIssuers },
    two_issuers_slow = { 600, 1.0, Fault::TwoIssuers },
    demand_changes = { 99, 2.2, Fault::DemandChanges },
    demand_changes_slow = { 600, 1.0, Fault::DemandChanges },
)]
fn limit_kept(entries: usize, limit: f64, fault: Fault) {
    for seed in 0..4 {
        let arrivals = simulate(entries, limit, fault, seed);
        for bound in &ARRIVAL_BOUNDS {
            let most = window::max_events(&arrivals, bound.length);
            let allowed = limit * bound.length.as_secs_f64() * bound.factor + bound.extra;
            let length = bound.length;
            assert!(
                most as f64 <= allowed,
                "{most} in {length:?}, allowed {allowed}, seed {seed}"
            );
        }
    }
}

// Guards against keeping the limit by sending too little: callers would be refused while the target has free capacity.
#[parameterized(
    few = { 6, 1.0, Fault::None },
    many = { 99, 1.0, Fault::None },
    most = { 600, 1.0, Fault::None },
    fast = { 6, 40.0, Fault::None },
    entries_restart = { 99, 2.2, Fault::EntriesRestart },
    domain_cut = { 99, 1.0, Fault::DomainCut },
    demand_changes = { 99, 2.2, Fault::DemandChanges },
    demand_changes_slow = { 600, 1.0, Fault::DemandChanges },
)]
fn limit_used(entries: usize, limit: f64, fault: Fault) {
    let sent: usize = (0..4)
        .map(|seed| simulate(entries, limit, fault, seed).len())
        .sum();
    let allowed = 4.0 * limit * SIMULATED_TIME.as_secs_f64();
    let share = sent as f64 / allowed;
    assert!(share >= 0.5, "only {share:.2} of the limit was used");
}

//! Shared fixtures: a configuration, targets and requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{
    Config, Decision, Engine, Limits, Load, Model, Outcome, Placement, RequestContext, RequestKind,
    RequiredVersions, RetryLimit, Scheduler, Service, Target,
};

pub const BOUND: Duration = Duration::from_secs(8);
pub const OBJECTIVE: Duration = Duration::from_millis(400);
pub const SLOTS: u32 = 4;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns an engine that runs 4 requests concurrently, each for about 1 s.
pub fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        kv_cache_tokens: 100_000,
        base_step_ms: 8.0,
        step_ms_per_request: 0.04,
        step_ms_per_1k_context: 0.02,
        prefill_tokens_per_ms: 30.0,
        tokens_per_event: 6,
        mean_prompt_tokens: 900.0,
        mean_output_tokens: 100.0,
        pieces: 96,
        piece_bytes: 24_576,
        models: vec![Model {
            name: "lm".into(),
            warmup: ms(300),
        }],
    }
}

/// Returns a configuration with an engine service, "drafts", and one without engines, "desk".
pub fn config() -> Rc<Config> {
    let engines = Service {
        engine: Some(engine()),
        origin: None,
        cold_limit: None,
    };
    let services = BTreeMap::from([
        ("drafts".to_owned(), engines),
        ("desk".to_owned(), Service::default()),
    ]);
    Rc::new(Config::new(1, services, Limits::default(), [], None))
}

pub fn scheduler() -> Scheduler {
    let retry_limit = RetryLimit {
        ratio: 0.2,
        extra_per_window: 100.0,
        window: Duration::from_secs(10),
    };
    let mut scheduler = Scheduler::new("north", RequiredVersions::new(BOUND), retry_limit, 7);
    scheduler.set_entries(1);
    scheduler.set_config(config());
    scheduler
}

pub fn target(id: &str, service: &str, domain: &str) -> Target {
    let port = id
        .bytes()
        .fold(1000, |port, byte| port + u16::from(byte) * 7);
    Target {
        id: id.into(),
        service: service.into(),
        address: address(port),
        domain: domain.into(),
        slots: SLOTS,
        draining: false,
        cold_period: Duration::ZERO,
        weights: BTreeMap::from([("lm".to_owned(), 1)]),
        started_at_ms: Some(1),
    }
}

pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Returns a streaming request to the engine service.
pub fn streaming(now: Instant) -> RequestContext {
    RequestContext {
        id: "9c41".into(),
        service: "drafts".into(),
        kind: RequestKind::Streaming { resumable: true },
        priority: 1,
        workspace: None,
        arrived: now,
        prior_wait: Duration::ZERO,
        objective: OBJECTIVE,
        deadline: now + Duration::from_secs(6),
        prompt_tokens: 900,
        prompt: Default::default(),
        output_tokens: 100,
        model: Some("lm".into()),
        weights_version: None,
        allowed_regions: None,
        attempts_left: 2,
        broken_attempts: 0,
        tried_targets: Vec::new(),
    }
}

/// Returns a request to the service without engines.
pub fn plain(now: Instant, kind: RequestKind, attempts_left: u32) -> RequestContext {
    RequestContext {
        service: "desk".into(),
        kind,
        objective: ms(150),
        deadline: now + ms(800),
        prompt_tokens: 0,
        prompt: Default::default(),
        output_tokens: 0,
        model: None,
        attempts_left,
        broken_attempts: 0,
        ..streaming(now)
    }
}

pub fn idle_load() -> Load {
    Load {
        running: 0,
        waiting: 0,
        slots: None,
        slowdown: 1.0,
        accepting: true,
        closes_in: None,
        weights: None,
    }
}

/// Returns the placements among `decisions`.
pub fn places(decisions: Vec<Decision>) -> Vec<Placement> {
    let place = |decision| match decision {
        Decision::Send(place) => Some(place),
        Decision::Move { .. } | Decision::Reject { .. } => None,
    };
    decisions.into_iter().filter_map(place).collect()
}

/// Submits requests until the next one would have to wait, and returns those that were placed.
pub fn fill_engines(scheduler: &mut Scheduler, now: Instant) -> Vec<Placement> {
    let mut placed = Vec::new();
    loop {
        let id = scheduler.submit(now, streaming(now));
        match places(scheduler.poll(now)).pop() {
            Some(place) => placed.push(place),
            None => {
                scheduler.cancel(id);
                return placed;
            }
        }
    }
}

/// Serves requests that fill the retry budget.
pub fn fill_budget(scheduler: &mut Scheduler, now: Instant) {
    for _ in 0..100 {
        let place = submit(scheduler, now, streaming(now)).unwrap();
        scheduler.record_end(now, place.request, Outcome::Answered);
    }
}

/// Submits `work` and returns its placement, if it gets one at once.
pub fn submit(scheduler: &mut Scheduler, now: Instant, work: RequestContext) -> Option<Placement> {
    scheduler.submit(now, work);
    places(scheduler.poll(now)).pop()
}

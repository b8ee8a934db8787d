//! Tests of the evacuation of failure domains.

use std::time::{Duration, Instant};

use dispatch::{Decision, Failure, Load, Outcome, Reason, RequestContext, RequestKind, Scheduler};
use yare::parameterized;

use crate::support::{
    fill_budget, fill_engines, idle_load, ms, places, plain, scheduler, streaming, submit, target,
};

/// Returns a scheduler with a target of each service in the domains `north`, the entry's own, and `south`.
fn with_domains() -> Scheduler {
    let mut scheduler = scheduler();
    for (id, service, domain) in [
        ("a", "drafts", "north"),
        ("b", "drafts", "south"),
        ("c", "desk", "north"),
        ("d", "desk", "south"),
    ] {
        scheduler.put_target(target(id, service, domain));
    }
    scheduler
}

/// Returns the reasons of rejections; each of them must state a time to come back.
fn rejections(decisions: &[Decision]) -> Vec<Reason> {
    let reason = |decision: &Decision| match decision {
        Decision::Reject {
            reason,
            retry_after,
            ..
        } => {
            assert!(*retry_after > Duration::ZERO);
            Some(*reason)
        }
        Decision::Send(_) | Decision::Move { .. } => None,
    };
    decisions.iter().filter_map(reason).collect()
}

fn work(now: Instant, service: &str) -> RequestContext {
    match service {
        "drafts" => streaming(now),
        _ => plain(now, RequestKind::NonIdempotent, 2),
    }
}

// Guards against requests to targets of an evacuated domain, and against a domain that stays unused after the
// evacuation has been taken back.
#[parameterized(
    stream = { "drafts", "b", "a" },
    once = { "desk", "d", "c" },
)]
fn evacuated_gets_none(service: &str, elsewhere: &str, near: &str) {
    let start = Instant::now();
    let mut scheduler = with_domains();
    assert!(scheduler.begin_evacuation(start, "north"));
    assert!(!scheduler.begin_evacuation(start + ms(100), "north"));
    for _ in 0..20 {
        let place = submit(&mut scheduler, start, work(start, service)).unwrap();
        assert_eq!(place.target, elsewhere);
        scheduler.record_end(start, place.request, Outcome::Answered);
    }
    let now = start + ms(1_500);
    assert_eq!(scheduler.end_evacuation(now, "south"), None);
    assert_eq!(scheduler.end_evacuation(now, "north"), Some(ms(1_500)));
    let place = submit(&mut scheduler, now, work(now, service)).unwrap();
    assert_eq!(place.target, near);
}

// Guards against requests that wait although all domains are evacuated, and against evacuations that end one another.
#[test]
fn all_evacuated_rejected() {
    let now = Instant::now();
    let mut scheduler = with_domains();
    scheduler.begin_evacuation(now, "north");
    scheduler.begin_evacuation(now, "south");
    scheduler.submit(now, streaming(now));
    assert_eq!(rejections(&scheduler.poll(now)), [Reason::Evacuated]);
    scheduler.end_evacuation(now, "north");
    let place = submit(&mut scheduler, now, streaming(now)).unwrap();
    assert_eq!(place.target, "a");
}

// Guards against requests that keep waiting for targets whose domain is evacuated meanwhile.
#[test]
fn waiting_rejected() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    fill_engines(&mut scheduler, now);
    scheduler.submit(now, streaming(now));
    assert_eq!(scheduler.poll(now), []);
    scheduler.begin_evacuation(now, "north");
    assert_eq!(rejections(&scheduler.poll(now)), [Reason::Evacuated]);
}

// Guards against repeats and second attempts in an evacuated domain, and against requests that it loses.
#[test]
fn attempts_after_evacuation() {
    let now = Instant::now();
    let mut scheduler = with_domains();
    fill_budget(&mut scheduler, now);
    scheduler.begin_evacuation(now, "north");
    let place = submit(&mut scheduler, now, streaming(now)).unwrap();
    assert_eq!(place.target, "b");
    assert!(
        scheduler
            .place_concurrent(now, place.work.clone())
            .is_none()
    );
    scheduler.record_end(now, place.request, Outcome::Failed(Failure::Refused));
    scheduler
        .retry(now, place.work, Failure::Refused)
        .expect("an attempt is left");
    let decisions = scheduler.poll(now);
    assert_eq!(rejections(&decisions), [Reason::Refused]);
    assert!(places(decisions).is_empty());
}

// Guards against streams that are moved to an evacuated domain, and against streams that an evacuation ends.
#[test]
fn streams_stay() {
    let start = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    fill_budget(&mut scheduler, start);
    let place = submit(&mut scheduler, start, streaming(start)).unwrap();
    scheduler.record_first_event(start, place.request, Some(1));
    scheduler.put_target(target("b", "drafts", "south"));
    scheduler.begin_evacuation(start, "south");
    let closed = Load {
        accepting: false,
        ..idle_load()
    };
    scheduler.report_answer_load(start, "a", closed);
    assert_eq!(scheduler.poll(start + ms(300)), []);
    scheduler.begin_evacuation(start, "north");
    assert_eq!(scheduler.poll(start + ms(400)), []);
    assert_eq!(scheduler.in_progress(), 1);
}

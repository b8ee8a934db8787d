//! Tests of second attempts that run concurrently with a late one.

use std::time::Instant;

use dispatch::{Load, Outcome, RequestContext, RequestKind};

use crate::support::{
    SLOTS, fill_budget, idle_load, ms, plain, scheduler, streaming, submit, target,
};

// Guards against a second attempt at the target that already has the request, and against one that ignores the attempts
// made before.
#[test]
fn place_concurrent_elsewhere() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    fill_budget(&mut scheduler, now);
    let place = submit(&mut scheduler, now, streaming(now)).unwrap();
    assert_eq!(scheduler.place_concurrent(now, place.work.clone()), None);
    scheduler.put_target(target("b", "drafts", "south"));
    let second = scheduler.place_concurrent(now, place.work).unwrap();
    assert_eq!(second.target, "b");
    assert_eq!(second.work.tried_targets, ["a", "b"]);
    assert_eq!(second.work.attempts_left, 0);
    assert_eq!(scheduler.place_concurrent(now, second.work), None);
}

// Guards against a second attempt that waits at a full target, which would only lengthen the queue there.
#[test]
fn place_concurrent_needs_room() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    fill_budget(&mut scheduler, now);
    let place = submit(&mut scheduler, now, streaming(now)).unwrap();
    scheduler.put_target(target("b", "drafts", "south"));
    let full = Load {
        running: SLOTS,
        ..idle_load()
    };
    scheduler.report_answer_load(now, "b", full);
    assert_eq!(scheduler.place_concurrent(now, place.work.clone()), None);
    scheduler.report_answer_load(now + ms(10), "b", idle_load());
    assert!(
        scheduler
            .place_concurrent(now + ms(10), place.work)
            .is_some()
    );
}

// Guards against running a non-idempotent request twice because its target is slow.
#[test]
fn place_concurrent_not_repeatable() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for id in ["a", "b"] {
        scheduler.put_target(target(id, "desk", "north"));
    }
    let work = plain(now, RequestKind::NonIdempotent, 2);
    let place = submit(&mut scheduler, now, work).unwrap();
    assert_eq!(scheduler.place_concurrent(now, place.work), None);
}

// Guards against a silent target that keeps getting requests because none of its attempts ends.
#[test]
fn late_ejects() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let work = RequestContext {
        attempts_left: 1,
        ..streaming(now)
    };
    let places: Vec<_> = (0..3)
        .map(|_| submit(&mut scheduler, now, work.clone()).unwrap())
        .collect();
    let ejected: Vec<bool> = places
        .iter()
        .map(|place| scheduler.record_late(now, place.request))
        .collect();
    assert_eq!(ejected, [false, false, true]);
    assert_eq!(scheduler.in_progress(), 3);
    assert!(!scheduler.record_end(now, places[0].request, Outcome::Answered));
}

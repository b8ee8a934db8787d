//! Tests of shutdowns and pauses that targets announce in their answers.

use std::time::{Duration, Instant};

use dispatch::{Decision, Reason, RequestKind};
use yare::parameterized;

use crate::support::{ms, plain, scheduler, streaming, submit, target};

// Guards against a request to a target that announced its shutdown. Its registration may still say that it is ready,
// and may expire and return.
#[parameterized(
    registered = { false, Some(1), false },
    lapsed = { true, Some(1), false },
    restarted = { false, Some(2), true },
)]
fn leaving_until_restart(lapsed: bool, started_at_ms: Option<u64>, chosen: bool) {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    assert!(scheduler.set_target_leaving(now, "a"));
    assert!(!scheduler.set_target_leaving(now, "a"), "already known");
    if lapsed {
        scheduler.remove_target("a");
    }
    let mut again = target("a", "drafts", "north");
    again.started_at_ms = started_at_ms;
    scheduler.put_target(again);
    let later = now + Duration::from_secs(60);
    assert_eq!(
        submit(&mut scheduler, later, streaming(later)).is_some(),
        chosen
    );
}

// Guards against an announcement of a target that has been removed.
#[test]
fn notice_of_unknown_target() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    assert!(!scheduler.set_target_leaving(now, "a"));
    assert!(!scheduler.pause_target(now, "a", ms(100)));
}

// Guards against requests to a target during the pause that it requested, even if a later answer requested a shorter
// one, and against a faulty answer that takes a target out of service for days.
#[parameterized(
    within = { 1_000, 100, 900, false },
    after = { 1_000, 100, 1_100, true },
    longer = { 100, 1_000, 900, false },
    fault = { u64::MAX, 100, 400_000, true },
)]
fn paused_as_asked(first_ms: u64, second_ms: u64, passed_ms: u64, chosen: bool) {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "desk", "north"));
    scheduler.pause_target(now, "a", ms(first_ms));
    scheduler.pause_target(now, "a", ms(second_ms));
    let later = now + ms(passed_ms);
    let work = plain(later, RequestKind::Idempotent, 2);
    assert_eq!(submit(&mut scheduler, later, work).is_some(), chosen);
}

// Guards against requests that wait while all targets are paused, and against rejected callers that return before the
// first pause ends, or all at the same time.
#[test]
fn paused_all_refused() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for (id, pause) in [("a", 3_000), ("b", 2_000)] {
        scheduler.put_target(target(id, "desk", "north"));
        scheduler.pause_target(now, id, ms(pause));
    }
    let mut times = Vec::new();
    for _ in 0..20 {
        scheduler.submit(now, plain(now, RequestKind::Idempotent, 2));
        let [
            Decision::Reject {
                reason: Reason::Paused,
                retry_after,
                ..
            },
        ] = scheduler.poll(now)[..]
        else {
            panic!("not rejected at once");
        };
        assert!(retry_after >= ms(2_000) && retry_after <= ms(2_300));
        times.push(retry_after);
    }
    times.dedup();
    assert!(times.len() > 10, "spread: {times:?}");
}

// Guards against rejecting a request although a pause ends while it may still wait in the queue.
#[test]
fn paused_briefly_waits() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "desk", "north"));
    scheduler.pause_target(now, "a", ms(20));
    assert!(submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).is_none());
    let decisions = scheduler.poll(now + ms(25));
    assert!(matches!(decisions[..], [Decision::Send(_)]));
}

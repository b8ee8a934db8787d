//! Tests of which requests are retried.

use std::time::{Duration, Instant};

use dispatch::{Failure, Outcome, RequestKind, Scheduler};
use yare::parameterized;

use crate::support::{ms, plain, scheduler, submit, target};

fn with_targets(now: Instant) -> Scheduler {
    let mut scheduler = scheduler();
    for id in ["a", "b", "c"] {
        scheduler.put_target(target(id, "desk", "north"));
    }
    // Requests that need no retry fill the budget.
    for step in 0..100 {
        let at = now - ms(2_000) + ms(10 * step);
        let place = submit(&mut scheduler, at, plain(at, RequestKind::NonIdempotent, 1)).unwrap();
        scheduler.record_end(at, place.request, Outcome::Answered);
    }
    scheduler
}

// Guards against running a non-idempotent request twice, and against failures that a retry would have hidden.
#[parameterized(
    broken_idempotent = { RequestKind::Idempotent, 2, Failure::Broken, true },
    broken_once_only = { RequestKind::NonIdempotent, 2, Failure::Broken, false },
    late_once_only = { RequestKind::NonIdempotent, 2, Failure::Late, false },
    refused_once_only = { RequestKind::NonIdempotent, 2, Failure::Refused, true },
    refused_last_attempt = { RequestKind::NonIdempotent, 1, Failure::Refused, false },
    unsent_last_attempt = { RequestKind::NonIdempotent, 1, Failure::NotConnected, true },
    unreachable_last_attempt = { RequestKind::NonIdempotent, 1, Failure::Unreachable, true },
    stream = { RequestKind::Streaming { resumable: true }, 2, Failure::Broken, true },
    stream_not_resumable = { RequestKind::Streaming { resumable: false }, 2, Failure::Broken, false },
    last_attempt = { RequestKind::Idempotent, 1, Failure::Broken, false },
)]
fn retry_allowed(kind: RequestKind, attempts: u32, failure: Failure, expected: bool) {
    let now = Instant::now() + Duration::from_secs(10);
    let mut scheduler = with_targets(now);
    let place = submit(&mut scheduler, now, plain(now, kind, attempts)).unwrap();
    scheduler.record_end(now, place.request, Outcome::Failed(failure));
    let first = place.target.clone();
    let again = scheduler.retry(now, place.work, failure);
    assert_eq!(again.is_some(), expected);
    if expected {
        let place = crate::support::places(scheduler.poll(now)).pop().unwrap();
        assert_ne!(place.target, first);
    }
}

// Guards against retrying a request whose caller gives up before the answer can arrive.
#[test]
fn retry_after_deadline() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut scheduler = with_targets(now);
    let work = plain(now, RequestKind::Idempotent, 2);
    let late = work.deadline - ms(5);
    assert!(scheduler.retry(late, work, Failure::Broken).is_none());
}

// Guards against retrying every request during an outage.
#[test]
fn retry_ends_with_budget() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut scheduler = with_targets(now);
    let retries = (0..500)
        .filter(|_| {
            let work = plain(now, RequestKind::Idempotent, 2);
            scheduler.retry(now, work, Failure::Broken).is_some()
        })
        .count();
    assert!(retries <= 120, "{retries} retries of 500 failures");
}

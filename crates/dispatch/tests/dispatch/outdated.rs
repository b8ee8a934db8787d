//! Tests of requests that must not begin because their target's weights have become too old.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dispatch::{Failure, Load, RequestContext, RequestId, RequestKind, Scheduler};

use crate::support::{BOUND, idle_load, ms, scheduler, streaming, submit, target};

/// Time for which the caller of each request waits.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a scheduler with a request at the engine "a" on version 1, while version 2 is required since `now`.
fn with_request(now: Instant, kind: RequestKind) -> (Scheduler, RequestId) {
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    scheduler.require_version(now, "lm", 2);
    let work = RequestContext {
        kind,
        deadline: now + CALLER_TIMEOUT,
        ..streaming(now)
    };
    let place = submit(&mut scheduler, now, work).unwrap();
    (scheduler, place.request)
}

// Guards against a request that waits in its engine's queue until the bound has passed and then begins on older
// weights.
#[test]
fn outdated_before_bound() {
    let now = Instant::now();
    let (scheduler, request) = with_request(now, RequestKind::Streaming { resumable: true });
    assert!(
        scheduler
            .unservable_streams(now + BOUND - ms(1_000))
            .is_empty()
    );
    assert_eq!(
        scheduler.unservable_streams(now + BOUND - ms(200)),
        [(request, Failure::Outdated)]
    );
}

// Guards against missing a request whose engine is no longer registered but still serves the requests that it holds.
#[test]
fn outdated_at_removed_target() {
    let now = Instant::now();
    let (mut scheduler, request) = with_request(now, RequestKind::Streaming { resumable: false });
    scheduler.remove_target("a");
    assert_eq!(
        scheduler.unservable_streams(now + BOUND),
        [(request, Failure::Outdated)]
    );
}

// Guards against cancelling an answer that began in time.
#[test]
fn outdated_not_begun() {
    let now = Instant::now();
    let (mut scheduler, request) = with_request(now, RequestKind::Streaming { resumable: true });
    scheduler.record_first_event(now, request, Some(1));
    assert!(scheduler.unservable_streams(now + BOUND).is_empty());
}

// Guards against cancelling an answer that arrives as a whole, because it may have begun in time.
#[test]
fn outdated_not_whole_answers() {
    let now = Instant::now();
    let (scheduler, _) = with_request(now, RequestKind::Idempotent);
    assert!(scheduler.unservable_streams(now + BOUND).is_empty());
}

// Guards against cancelling a request whose engine has loaded the new weights in the meantime.
#[test]
fn outdated_not_after_load() {
    let now = Instant::now();
    let (mut scheduler, _) = with_request(now, RequestKind::Streaming { resumable: true });
    let loaded = Load {
        weights: Some(BTreeMap::from([("lm".to_owned(), 2)])),
        ..idle_load()
    };
    scheduler.report_answer_load(now + ms(4_000), "a", loaded);
    assert!(scheduler.unservable_streams(now + BOUND).is_empty());
}

//! Tests of the selection of a request's target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dispatch::{Decision, Failure, Load, Outcome, Reason, RequestKind, Scheduler};
use yare::parameterized;

use crate::support::{
    BOUND, SLOTS, fill_engines, idle_load, ms, places, plain, scheduler, streaming, submit, target,
};

/// Returns a scheduler whose target `a` has just refused a connection, and two more targets in another domain.
fn with_failed_target(now: Instant) -> Scheduler {
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "desk", "north"));
    let place = submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).unwrap();
    scheduler.record_end(now, place.request, Outcome::Failed(Failure::NotConnected));
    for id in ["b", "c"] {
        scheduler.put_target(target(id, "desk", "south"));
    }
    scheduler
}

// Guards against unnecessary traffic between failure domains, which costs money.
#[test]
fn choose_own_domain() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("far", "drafts", "south"));
    scheduler.put_target(target("near", "drafts", "north"));
    for _ in 0..5 {
        let place = submit(&mut scheduler, now, streaming(now)).unwrap();
        assert_eq!(place.target, "near");
        scheduler.record_end(now, place.request, Outcome::Answered);
    }
}

// Guards against requests that queue in the entry's own domain while another one is idle.
#[test]
fn choose_other_domain_when_busy() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("far", "drafts", "south"));
    scheduler.put_target(target("near", "drafts", "north"));
    let busy = Load {
        running: SLOTS,
        waiting: 1,
        ..idle_load()
    };
    scheduler.report_answer_load(now, "near", busy);
    assert_eq!(
        submit(&mut scheduler, now, streaming(now)).unwrap().target,
        "far"
    );
}

// Guards against requests to targets that cannot serve them: draining, not accepting, without weights or of another
// service.
#[test]
fn choose_only_able() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    let mut draining = target("draining", "drafts", "north");
    draining.draining = true;
    let mut empty = target("empty", "drafts", "north");
    empty.weights.clear();
    let closed = target("closed", "drafts", "north");
    for target in [draining, empty, closed, target("other", "desk", "north")] {
        scheduler.put_target(target);
    }
    let closing = Load {
        accepting: false,
        ..idle_load()
    };
    scheduler.report_answer_load(now, "closed", closing);
    scheduler.submit(now, streaming(now));
    let decisions = scheduler.poll(now);
    assert!(matches!(
        decisions[..],
        [Decision::Reject {
            reason: Reason::NoTarget,
            ..
        }]
    ));
}

// Guards against requests that begin on older weights after the bound, and against excluding older weights before it.
#[test]
fn choose_version_in_force() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("old", "drafts", "north"));
    scheduler.require_version(now, "lm", 2);
    assert!(submit(&mut scheduler, now, streaming(now)).is_some());
    let due = now + BOUND;
    assert!(submit(&mut scheduler, due, streaming(due)).is_none());
    let mut new = target("new", "drafts", "south");
    new.weights.insert("lm".into(), 2);
    scheduler.put_target(new);
    assert_eq!(
        submit(&mut scheduler, due, streaming(due)).unwrap().target,
        "new"
    );
}

// Guards against long answers on an engine that is about to load weights: it would wait for them with idle slots.
#[test]
fn choose_by_end() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("closing", "drafts", "north"));
    scheduler.put_target(target("staying", "drafts", "south"));
    let closing = Load {
        closes_in: Some(ms(600)),
        ..idle_load()
    };
    scheduler.report_answer_load(now, "closing", closing);
    let mut short = streaming(now);
    short.output_tokens = 10;
    assert_eq!(
        submit(&mut scheduler, now, short).unwrap().target,
        "closing"
    );
    let mut long = streaming(now);
    long.output_tokens = 200;
    assert_eq!(submit(&mut scheduler, now, long).unwrap().target, "staying");
}

// Guards against sending several prompts to one engine at once, whose running streams would stall while it reads them.
#[test]
fn choose_spreads_prompts() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for id in ["a", "b", "c"] {
        scheduler.put_target(target(id, "drafts", "north"));
    }
    let mut chosen: Vec<String> = (0..3)
        .map(|_| submit(&mut scheduler, now, streaming(now)).unwrap().target)
        .collect();
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c"]);
}

// Guards against a service that loses all its targets because each of them failed a few requests.
#[test]
fn choose_ejected_when_most_are() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for id in ["a", "b"] {
        scheduler.put_target(target(id, "desk", "north"));
    }
    for _ in 0..2 {
        let work = plain(now, RequestKind::Idempotent, 2);
        let place = submit(&mut scheduler, now, work).unwrap();
        scheduler.record_end(now, place.request, Outcome::Failed(Failure::NotConnected));
    }
    let work = plain(now, RequestKind::Idempotent, 2);
    assert!(submit(&mut scheduler, now, work).is_some());
}

// Guards against a restarted target that inherits the ejection of the earlier start under the same id.
#[parameterized(
    same_start = { Some(1), "b" },
    new_start = { Some(2), "a" },
)]
fn choose_after_restart(started_at_ms: Option<u64>, expected: &str) {
    let now = Instant::now();
    let mut scheduler = with_failed_target(now);
    let mut again = target("a", "desk", "north");
    again.started_at_ms = started_at_ms;
    scheduler.put_target(again);
    let chosen = submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).unwrap();
    match expected {
        "a" => assert_eq!(chosen.target, "a"),
        _ => assert_ne!(chosen.target, "a"),
    }
}

// Guards against many requests to a target that is still broken when its ejection ends. With the links of eleven VMs
// throttled, 96 requests of one entry waited 0.3 s each for a connection.
#[test]
fn choose_after_ejection_one_at_a_time() {
    let mut now = Instant::now();
    let mut scheduler = with_failed_target(now);
    now += Duration::from_secs(1);
    let probe = submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).unwrap();
    assert_eq!(probe.target, "a");
    let other = submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).unwrap();
    assert_ne!(other.target, "a");
    scheduler.record_end(now, probe.request, Outcome::Answered);
    for _ in 0..2 {
        let place = submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).unwrap();
        assert_eq!(place.target, "a");
    }
}

// Guards against further requests to a target that reported being another one than registered. After a power loss, one
// entry sent 195 of them within 3 s, each of which used a retry of the budget.
#[parameterized(
    no_news = { false, 100, false },
    news = { true, 100, true },
    later = { false, 2_000, true },
)]
fn choose_after_misdirected(news: bool, passed_ms: u64, chosen: bool) {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let place = submit(&mut scheduler, now, streaming(now)).unwrap();
    scheduler.record_end(now, place.request, Outcome::Failed(Failure::Misdirected));
    if news {
        let weights = Some(BTreeMap::from([("lm".to_owned(), 2)]));
        let load = Load {
            weights,
            ..idle_load()
        };
        scheduler.report_load(now, place.address, load);
    }
    let now = now + ms(passed_ms);
    assert_eq!(
        submit(&mut scheduler, now, streaming(now)).is_some(),
        chosen
    );
}

// Guards against placing a request whose caller has disconnected.
#[test]
fn cancel_waiting() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let full = fill_engines(&mut scheduler, now);
    let waiting = scheduler.submit(now, streaming(now));
    assert!(scheduler.poll(now).is_empty());
    scheduler.cancel(waiting);
    scheduler.record_end(now, full[0].request, Outcome::Answered);
    assert!(places(scheduler.poll(now)).is_empty());
    assert_eq!(scheduler.waiting_count(), 0);
}

// Guards against requests to a target that has just stated that its work takes three times as long, while another one
// is half full, and against a target that is avoided for what it stated long ago.
#[parameterized(
    just_stated = { 0, "usual" },
    long_ago = { 1_000, "slow" },
)]
fn choose_by_slowdown(age_ms: u64, expected: &str) {
    let now = Instant::now();
    let mut scheduler = scheduler();
    let slow = Load {
        slowdown: 3.0,
        ..idle_load()
    };
    let half_full = Load {
        running: SLOTS / 2,
        ..idle_load()
    };
    for (id, load) in [("slow", slow), ("usual", half_full)] {
        scheduler.put_target(target(id, "desk", "north"));
        scheduler.report_answer_load(now, id, load);
    }
    let later = now + ms(age_ms);
    let place = submit(
        &mut scheduler,
        later,
        plain(later, RequestKind::Idempotent, 2),
    )
    .unwrap();
    assert_eq!(place.target, expected);
}

// Guards against a target that counts as full because it registered fewer slots than it states.
#[test]
fn choose_by_stated_slots() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "desk", "north"));
    let load = Load {
        running: SLOTS * 2,
        slots: Some(SLOTS * 4),
        ..idle_load()
    };
    scheduler.report_answer_load(now, "a", load);
    assert!(submit(&mut scheduler, now, plain(now, RequestKind::Idempotent, 2)).is_some());
}

//! Which target serves a request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dispatch::{Decision, Failure, Kind, Load, Outcome, Reason, Scheduler};
use yare::parameterized;

use crate::support::{
    BOUND, SLOTS, call, draft, fill, idle, ms, places, scheduler, submit, target,
};

/// Returns a scheduler whose target `a` could not be connected to just now, and two others in another domain.
fn with_failed_target(now: Instant) -> Scheduler {
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "desk", "north"));
    let place = submit(&mut scheduler, now, call(now, Kind::Idempotent, 2)).unwrap();
    scheduler.ended(now, place.request, Outcome::Failed(Failure::NotConnected));
    for id in ["b", "c"] {
        scheduler.put_target(target(id, "desk", "south"));
    }
    scheduler
}

// Guards against bytes between failure domains that nobody needs to pay for.
#[test]
fn choose_own_domain() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("far", "drafts", "south"));
    scheduler.put_target(target("near", "drafts", "north"));
    for _ in 0..5 {
        let place = submit(&mut scheduler, now, draft(now)).unwrap();
        assert_eq!(place.target, "near");
        scheduler.ended(now, place.request, Outcome::Answered);
    }
}

// Guards against requests that queue in the own domain while another one is idle.
#[test]
fn choose_other_domain_when_busy() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("far", "drafts", "south"));
    scheduler.put_target(target("near", "drafts", "north"));
    let busy = Load {
        running: SLOTS,
        waiting: 1,
        ..idle()
    };
    scheduler.answer_load(now, "near", busy);
    assert_eq!(
        submit(&mut scheduler, now, draft(now)).unwrap().target,
        "far"
    );
}

// Guards against work for targets that can't serve it: draining, changing their weights, without weights, gone.
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
        ..idle()
    };
    scheduler.answer_load(now, "closed", closing);
    scheduler.submit(now, draft(now));
    let decisions = scheduler.poll(now);
    assert!(matches!(
        decisions[..],
        [Decision::Reject {
            reason: Reason::NoTarget,
            ..
        }]
    ));
}

// Guards against older weights that begin requests after the bound, and a version that no engine has yet.
#[test]
fn choose_version_in_force() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("old", "drafts", "north"));
    scheduler.name_version(now, "lm", 2);
    assert!(submit(&mut scheduler, now, draft(now)).is_some());
    let due = now + BOUND;
    assert!(submit(&mut scheduler, due, draft(due)).is_none());
    let mut new = target("new", "drafts", "south");
    new.weights.insert("lm".into(), 2);
    scheduler.put_target(new);
    assert_eq!(
        submit(&mut scheduler, due, draft(due)).unwrap().target,
        "new"
    );
}

// Guards against long answers on an engine that is about to load: it would wait for them with empty slots.
#[test]
fn choose_by_end() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("closing", "drafts", "north"));
    scheduler.put_target(target("staying", "drafts", "south"));
    let closing = Load {
        closes: Some(ms(600)),
        ..idle()
    };
    scheduler.answer_load(now, "closing", closing);
    let mut short = draft(now);
    short.output = 10;
    assert_eq!(
        submit(&mut scheduler, now, short).unwrap().target,
        "closing"
    );
    let mut long = draft(now);
    long.output = 200;
    assert_eq!(submit(&mut scheduler, now, long).unwrap().target, "staying");
}

// Guards against prompts that are sent all at once to one engine, whose running streams would pause while it reads.
#[test]
fn choose_spreads_prompts() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for id in ["a", "b", "c"] {
        scheduler.put_target(target(id, "drafts", "north"));
    }
    let mut chosen: Vec<String> = (0..3)
        .map(|_| submit(&mut scheduler, now, draft(now)).unwrap().target)
        .collect();
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c"]);
}

// Guards against a service that loses all targets because each of them failed a few requests.
#[test]
fn choose_ejected_when_most_are() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for id in ["a", "b"] {
        scheduler.put_target(target(id, "desk", "north"));
    }
    for _ in 0..2 {
        let work = call(now, Kind::Idempotent, 2);
        let place = submit(&mut scheduler, now, work).unwrap();
        scheduler.ended(now, place.request, Outcome::Failed(Failure::NotConnected));
    }
    let work = call(now, Kind::Idempotent, 2);
    assert!(submit(&mut scheduler, now, work).is_some());
}

// Guards against a new start under the id of a target that failed, which would inherit the ejection.
#[parameterized(
    same_start = { Some(1), "b" },
    new_start = { Some(2), "a" },
)]
fn choose_after_restart(born: Option<u64>, expected: &str) {
    let now = Instant::now();
    let mut scheduler = with_failed_target(now);
    let mut again = target("a", "desk", "north");
    again.born = born;
    scheduler.put_target(again);
    let chosen = submit(&mut scheduler, now, call(now, Kind::Idempotent, 2)).unwrap();
    match expected {
        "a" => assert_eq!(chosen.target, "a"),
        _ => assert_ne!(chosen.target, "a"),
    }
}

// Guards against many requests that all go to a target which still doesn't work when its ejection ends: with eleven VMs
// whose links were squeezed, 96 requests of one entry waited 0.3 s each for a connection.
#[test]
fn choose_after_ejection_one_at_a_time() {
    let mut now = Instant::now();
    let mut scheduler = with_failed_target(now);
    now += Duration::from_secs(1);
    let probe = submit(&mut scheduler, now, call(now, Kind::Idempotent, 2)).unwrap();
    assert_eq!(probe.target, "a");
    let other = submit(&mut scheduler, now, call(now, Kind::Idempotent, 2)).unwrap();
    assert_ne!(other.target, "a");
    scheduler.ended(now, probe.request, Outcome::Answered);
    for _ in 0..2 {
        let place = submit(&mut scheduler, now, call(now, Kind::Idempotent, 2)).unwrap();
        assert_eq!(place.target, "a");
    }
}

// Guards against requests that go on to a target which said that it is another one than registered: after a loss of power,
// 195 requests of one entry did within 3 s, each of which took a repeat of the budget.
#[parameterized(
    no_news = { false, 100, false },
    news = { true, 100, true },
    later = { false, 2_000, true },
)]
fn choose_after_misdirected(news: bool, passed_ms: u64, chosen: bool) {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let place = submit(&mut scheduler, now, draft(now)).unwrap();
    scheduler.ended(now, place.request, Outcome::Failed(Failure::Misdirected));
    if news {
        let weights = Some(BTreeMap::from([("lm".to_owned(), 2)]));
        let load = Load { weights, ..idle() };
        scheduler.report(now, place.address, load);
    }
    let now = now + ms(passed_ms);
    assert_eq!(submit(&mut scheduler, now, draft(now)).is_some(), chosen);
}

// Guards against a caller that left and whose request still takes a place when one is free.
#[test]
fn cancel_waiting() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let full = fill(&mut scheduler, now);
    let waiting = scheduler.submit(now, draft(now));
    assert!(scheduler.poll(now).is_empty());
    scheduler.cancel(waiting);
    scheduler.ended(now, full[0].request, Outcome::Answered);
    assert!(places(scheduler.poll(now)).is_empty());
    assert_eq!(scheduler.waiting(), 0);
}

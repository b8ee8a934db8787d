//! Runs that move away from an engine that is about to load.

use std::time::Instant;

use dispatch::{Decision, Load, Scheduler};

use crate::support::{SLOTS, draft, fill_budget, idle, ms, scheduler, submit, target};

fn closing() -> Load {
    Load {
        running: 1,
        accepting: false,
        ..idle()
    }
}

/// Returns a scheduler with a run of `version` on the engine "a", which is closed at `now`, and enough repeats.
fn with_run(now: Instant, version: Option<u64>) -> (Scheduler, u64) {
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let start = now - ms(1_000);
    fill_budget(&mut scheduler, start);
    let place = submit(&mut scheduler, start, draft(start)).unwrap();
    scheduler.started(start, place.request, version);
    scheduler.answer_load(now, "a", closing());
    (scheduler, place.request)
}

fn moves(decisions: &[Decision]) -> Vec<(u64, String)> {
    let moved = |decision: &Decision| match decision {
        Decision::Move { request, place } => Some((*request, place.target.clone())),
        _ => None,
    };
    decisions.iter().filter_map(moved).collect()
}

// Guards against an engine that waits for one long answer with all its other slots empty.
#[test]
fn move_to_same_version() {
    let now = Instant::now() + ms(60_000);
    let (mut scheduler, request) = with_run(now, Some(1));
    scheduler.put_target(target("b", "drafts", "south"));
    assert!(moves(&scheduler.poll(now + ms(100))).is_empty());
    let later = now + ms(300);
    let decisions = scheduler.poll(later);
    assert_eq!(moves(&decisions), [(request, "b".to_owned())]);
    assert!(moves(&scheduler.poll(later)).is_empty(), "moved once only");
}

// Guards against an answer that is made from two versions of the weights.
#[test]
fn move_never_to_other_version() {
    let now = Instant::now() + ms(60_000);
    let (mut scheduler, _) = with_run(now, Some(1));
    let mut newer = target("b", "drafts", "south");
    newer.weights.insert("lm".into(), 2);
    scheduler.put_target(newer);
    assert!(moves(&scheduler.poll(now + ms(300))).is_empty());
}

// Guards against a run that is broken off although no other engine could go on with it.
#[test]
fn move_needs_room_and_version() {
    let now = Instant::now() + ms(60_000);
    let (mut scheduler, _) = with_run(now, Some(1));
    scheduler.put_target(target("b", "drafts", "south"));
    let full = Load {
        running: SLOTS,
        waiting: 2,
        ..idle()
    };
    scheduler.answer_load(now, "b", full);
    assert!(moves(&scheduler.poll(now + ms(300))).is_empty());
    let (mut scheduler, _) = with_run(now, None);
    scheduler.put_target(target("b", "drafts", "south"));
    assert!(moves(&scheduler.poll(now + ms(300))).is_empty());
}

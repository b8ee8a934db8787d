//! Tests of streams that are moved away from an engine that is about to load weights.

use std::time::Instant;

use dispatch::{Decision, Load, Scheduler};

use crate::support::{SLOTS, fill_budget, idle_load, ms, scheduler, streaming, submit, target};

fn closing() -> Load {
    Load {
        running: 1,
        accepting: false,
        ..idle_load()
    }
}

/// Returns a scheduler with a stream of `version` on the engine "a", which stops accepting requests at `now`, and with
/// a full retry budget.
fn with_stream(now: Instant, version: Option<u64>) -> (Scheduler, u64) {
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let start = now - ms(1_000);
    fill_budget(&mut scheduler, start);
    let place = submit(&mut scheduler, start, streaming(start)).unwrap();
    scheduler.record_first_event(start, place.request, version);
    scheduler.report_answer_load(now, "a", closing());
    (scheduler, place.request)
}

fn moves(decisions: &[Decision]) -> Vec<(u64, String)> {
    let moved = |decision: &Decision| match decision {
        Decision::Move { request, place } => Some((*request, place.target.clone())),
        _ => None,
    };
    decisions.iter().filter_map(moved).collect()
}

// Guards against an engine that waits for one long answer while all its other slots are idle.
#[test]
fn move_to_same_version() {
    let now = Instant::now() + ms(60_000);
    let (mut scheduler, request) = with_stream(now, Some(1));
    scheduler.put_target(target("b", "drafts", "south"));
    assert!(moves(&scheduler.poll(now + ms(100))).is_empty());
    let later = now + ms(300);
    let decisions = scheduler.poll(later);
    assert_eq!(moves(&decisions), [(request, "b".to_owned())]);
    assert!(moves(&scheduler.poll(later)).is_empty(), "moved once only");
}

// Guards against an answer that is generated from two versions of the weights.
#[test]
fn move_never_to_other_version() {
    let now = Instant::now() + ms(60_000);
    let (mut scheduler, _) = with_stream(now, Some(1));
    let mut newer = target("b", "drafts", "south");
    newer.weights.insert("lm".into(), 2);
    scheduler.put_target(newer);
    assert!(moves(&scheduler.poll(now + ms(300))).is_empty());
}

// Guards against a stream that is cancelled although no other engine can continue it.
#[test]
fn move_needs_room_and_version() {
    let now = Instant::now() + ms(60_000);
    let (mut scheduler, _) = with_stream(now, Some(1));
    scheduler.put_target(target("b", "drafts", "south"));
    let full = Load {
        running: SLOTS,
        waiting: 2,
        ..idle_load()
    };
    scheduler.report_answer_load(now, "b", full);
    assert!(moves(&scheduler.poll(now + ms(300))).is_empty());
    let (mut scheduler, _) = with_stream(now, None);
    scheduler.put_target(target("b", "drafts", "south"));
    assert!(moves(&scheduler.poll(now + ms(300))).is_empty());
}

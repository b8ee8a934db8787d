//! Tests for the decisions of an owner.

use std::time::Duration;

use claim::{Answer, Decision, Outcome, Owner, Reason, TERM, Table};
use uuid::Uuid;
use yare::parameterized;

const NOW: Duration = Duration::from_millis(1_760_000_000_000);

/// Added to revisions of era 1; they are higher than all of era 0.
const NEXT_ERA: u64 = 1 << 40;

fn key(time: Duration, tail: u64) -> Uuid {
    let millis = time.as_millis() << 80;
    Uuid::from_u128(millis | 0x7000_8000_0000_0000_0000 | u128::from(tail))
}

/// Applies the owner's planned write at the next revision, as the platform does.
fn plan_and_apply(owner: &mut Owner, now: Duration, live: &[&str]) -> Option<(u64, Table)> {
    let live: Vec<String> = live.iter().map(|name| name.to_string()).collect();
    let plan_and_apply = owner.plan(now, &live, &[])?;
    owner.observe(plan_and_apply.base + 1, &plan_and_apply.table);
    Some((plan_and_apply.base + 1, plan_and_apply.table))
}

fn sole_owner() -> (Owner, u64, Table) {
    let mut owner = Owner::new("vm-1", 1);
    owner.observe(0, &Table::default());
    let (revision, table) = plan_and_apply(&mut owner, NOW, &["vm-1"]).unwrap();
    (owner, revision, table)
}

fn body(size: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; size],
    }
}

fn answer(size: usize) -> Outcome {
    Outcome::Answered(body(size))
}

/// Guards against a second run of a key, and against a missing or wrong answer to its retries.
#[parameterized(
    stored = { answer(16 * 1024), Decision::Stored(body(16 * 1024).into()) },
    too_large = { answer(16 * 1024 + 1), Decision::Unknown(Reason::NotStored) },
    unknown = { Outcome::Unknown, Decision::Unknown(Reason::NotStored) },
    not_run = { Outcome::NotRun, Decision::Run },
)]
fn begin_after_finish(outcome: Outcome, expected: Decision) {
    let (mut owner, _, _) = sole_owner();
    assert_eq!(owner.begin("a", key(NOW, 1), NOW), Decision::Run);
    assert_eq!(owner.begin("a", key(NOW, 1), NOW), Decision::Wait);
    owner.finish("a", key(NOW, 1), NOW, outcome);
    assert_eq!(owner.begin("a", key(NOW, 1), NOW), expected);
}

/// Guards against answering a call of one workspace with the answer of another that uses the same key.
#[test]
fn begin_same_key_of_two_workspaces() {
    let (mut owner, _, _) = sole_owner();
    assert_eq!(owner.begin("a", key(NOW, 1), NOW), Decision::Run);
    assert_eq!(owner.begin("b", key(NOW, 1), NOW), Decision::Run);
}

/// Guards against running keys that belong to another interval.
#[parameterized(
    at_end = { key(NOW + TERM, 1), Decision::NotRun { reason: Reason::Late, retry_after: Duration::from_secs(1) } },
    before_end = { key(NOW + TERM - Duration::from_millis(1), 1), Decision::Run },
    before_start = { key(NOW - Duration::from_secs(901), 1), Decision::Unknown(Reason::Early) },
    other_version = { Uuid::from_u128(4 << 76), Decision::NotRun { reason: Reason::Malformed, retry_after: Duration::ZERO } },
)]
fn begin_at_the_edges(key: Uuid, expected: Decision) {
    let (mut owner, _, _) = sole_owner();
    assert_eq!(owner.begin("a", key, NOW), expected);
}

/// Guards against using a renewal whose answer was lost before it is observed, and against losing the slot by it.
#[test]
fn plan_lost_renewal() {
    let (mut owner, revision, _) = sole_owner();
    let later = NOW + Duration::from_secs(3);
    let lost = owner.plan(later, &["vm-1".into()], &[]).unwrap();
    let new = key(NOW + TERM, 1);
    assert!(matches!(
        owner.begin("a", new, later),
        Decision::NotRun { .. }
    ));
    owner.observe(revision + 1, &lost.table);
    assert_eq!(owner.begin("a", new, later), Decision::Run);
}

/// Guards against running keys after a release that may have taken effect even though its answer was lost.
#[test]
fn plan_lost_release() {
    let (mut owner, _, _) = sole_owner();
    owner.stop();
    let release = owner.plan(NOW, &["vm-1".into()], &[]).unwrap();
    assert!(matches!(
        owner.begin("a", key(NOW, 1), NOW),
        Decision::NotRun { .. }
    ));
    assert_eq!(
        owner.begin("a", key(NOW - Duration::from_millis(1), 1), NOW),
        Decision::Run
    );
    owner.observe(release.base + 1, &release.table);
    assert!(owner.is_released());
}

/// Guards against a release that ends the interval before a key that ran and was issued ahead of the owner's clock.
#[test]
fn plan_release_above_keys_that_ran() {
    let (mut owner, _, _) = sole_owner();
    let ahead = key(NOW + Duration::from_secs(9), 1);
    assert_eq!(owner.begin("a", ahead, NOW), Decision::Run);
    owner.stop();
    let (_, table) = plan_and_apply(&mut owner, NOW, &["vm-1"]).unwrap();
    let end = table.claim(claim::slot("a", ahead)).until_ms;
    assert_eq!(
        u128::from(end),
        (NOW + Duration::from_secs(9)).as_millis() + 1
    );
}

/// Guards against running a key a second time after it has expired.
#[test]
fn begin_after_retention() {
    let (mut owner, _, _) = sole_owner();
    owner.begin("a", key(NOW, 1), NOW);
    owner.finish("a", key(NOW, 1), NOW, answer(1));
    let later = NOW + claim::KEY_RETENTION;
    assert_eq!(
        owner.begin("a", key(NOW, 1), later),
        Decision::Unknown(Reason::Early)
    );
    assert_eq!(owner.stored_bytes(), 0);
}

/// Guards against unbounded growth of the stored answers.
#[test]
fn finish_bounds_stored_answers() {
    let (mut owner, _, _) = sole_owner();
    for tail in 0..1100 {
        owner.begin("a", key(NOW, tail), NOW);
        owner.finish("a", key(NOW, tail), NOW, answer(16 * 1024));
    }
    assert!(owner.stored_bytes() <= 16 * 1024 * 1024);
    assert_eq!(
        owner.begin("a", key(NOW, 0), NOW),
        Decision::Unknown(Reason::NotStored)
    );
    assert!(matches!(
        owner.begin("a", key(NOW, 1099), NOW),
        Decision::Stored(_)
    ));
}

/// Guards against keys that never ran and stay at an agent whose backend is closed, and against a handover back after
/// each short recovery.
#[test]
fn plan_closed_backend() {
    let (mut first, revision, table) = sole_owner();
    let both = ["vm-1", "vm-2"];
    assert_eq!(first.begin("a", key(NOW, 1), NOW), Decision::Run);
    first.finish("a", key(NOW, 1), NOW, answer(1));
    let slot = 1 << claim::slot("a", key(NOW, 1));
    let mut refused = (2..).map(|tail| key(NOW + Duration::from_millis(5), tail));
    let refused = refused
        .find(|key| 1 << claim::slot("a", *key) == slot)
        .unwrap();
    // The backend refuses the connection before the gate closes.
    assert_eq!(first.begin("a", refused, NOW), Decision::Run);
    first.finish("a", refused, NOW, Outcome::NotRun);
    first.set_backend_open(false, NOW);
    let closed = Decision::NotRun {
        reason: Reason::Closed,
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(first.begin("a", refused, NOW), closed);
    assert!(matches!(
        first.begin("a", key(NOW, 1), NOW),
        Decision::Stored(_)
    ));
    plan_and_apply(&mut first, NOW + Duration::from_millis(1_900), &both);
    assert_eq!(first.owned_slots(), 0xffff);
    let later = NOW + Duration::from_secs(2);
    let (released, table_2) = plan_and_apply(&mut first, later, &both).unwrap();
    assert_eq!(first.owned_slots(), 0);

    let mut second = Owner::new("vm-2", 2);
    second.observe(revision, &table);
    second.observe(released, &table_2);
    plan_and_apply(&mut second, later, &both);
    let (revision, table) =
        plan_and_apply(&mut second, later + Duration::from_secs(2), &both).unwrap();
    assert_eq!(second.owned_slots(), 0xffff);
    assert_eq!(second.begin("a", refused, later), Decision::Run);
    assert_eq!(
        second.begin("a", key(NOW, 1), later),
        Decision::Redirect("vm-1".into())
    );

    first.observe(revision, &table);
    first.set_backend_open(true, later);
    let (revision, table) =
        plan_and_apply(&mut second, later + Duration::from_secs(25), &both).unwrap();
    first.observe(revision, &table);
    let requests_slots = |first: &mut Owner, seconds: u64| {
        let live = both.map(String::from);
        first
            .plan(later + Duration::from_secs(seconds), &live, &[])
            .is_some()
    };
    assert!(!requests_slots(&mut first, 29));
    assert!(requests_slots(&mut first, 30));
}

/// Guards against an agent that releases its slots although no other agent could claim them.
#[test]
fn plan_closed_backend_alone() {
    let (mut owner, _, _) = sole_owner();
    owner.set_backend_open(false, NOW);
    plan_and_apply(&mut owner, NOW + Duration::from_secs(5), &["vm-1"]);
    assert_eq!(owner.owned_slots(), 0xffff);
}

/// Guards against an agent that keeps all slots after others have joined, and against keys that none runs meanwhile.
#[test]
fn plan_hands_over() {
    let (mut first, revision, table) = sole_owner();
    let mut second = Owner::new("vm-2", 2);
    second.observe(revision, &table);
    let both = ["vm-1", "vm-2"];
    let (revision, table) = plan_and_apply(&mut second, NOW, &both).unwrap();
    first.observe(revision, &table);
    let (revision, table) = plan_and_apply(&mut first, NOW, &both).unwrap();
    second.observe(revision, &table);
    plan_and_apply(&mut second, NOW, &both).unwrap();
    assert_eq!(
        (
            first.owned_slots().count_ones(),
            second.owned_slots().count_ones()
        ),
        (8, 8)
    );
    assert_eq!(first.owned_slots() & second.owned_slots(), 0);
    let (before, after) = (NOW, NOW + Duration::from_secs(2));
    let moved =
        (0..).find(|tail| second.owned_slots() & 1 << claim::slot("a", key(before, *tail)) != 0);
    let moved = key(before, moved.unwrap());
    assert_eq!(
        second.begin("a", moved, NOW),
        Decision::Redirect("vm-1".into())
    );
    assert_eq!(first.begin("a", moved, NOW), Decision::Run);
    let late =
        (0..).find(|tail| second.owned_slots() & 1 << claim::slot("a", key(after, *tail)) != 0);
    let late = key(after, late.unwrap());
    assert!(matches!(
        first.begin("a", late, NOW),
        Decision::NotRun { .. }
    ));
    assert_eq!(second.begin("a", late, NOW), Decision::Run);
}

/// Guards against a second run of a key after the platform came back from an older copy: the copy lacks the renewal by
/// which the first owner may run it, and its slots look free to the second.
#[parameterized(
    table_older = { true },
    table_missing = { false },
)]
fn set_era_keys_run_once(table_in_copy: bool) {
    let (mut first, revision, mut copy) = sole_owner();
    let renewed = NOW + TERM - Duration::from_millis(1);
    plan_and_apply(&mut first, renewed, &["vm-1"]).unwrap();
    let late = key(renewed + TERM / 2, 1);
    if !table_in_copy {
        copy = Table::default();
    }

    let mut second = Owner::new("vm-2", 2);
    second.set_era(1);
    second.observe(NEXT_ERA + revision, &copy);
    let live = ["vm-2"];
    let down = ["vm-1".to_owned()];
    let mut now = renewed;
    let mut started = Vec::new();
    while now < renewed + 4 * TERM {
        if let Some(write) = second.plan(now, &live.map(String::from), &down) {
            second.observe(write.base + 1, &write.table);
        }
        now += Duration::from_millis(500);
        if second.begin("a", late, now) == Decision::Run {
            panic!("the second owner runs a key of the first");
        }
        started.push(second.begin("a", key(now, 2), now) == Decision::Run);
    }
    assert_eq!(first.begin("a", late, renewed), Decision::Run);
    assert!(
        !started[0],
        "keys run before the intervals of the lost claims end"
    );
    assert!(started[started.len() - 1], "keys don't run again");
}

/// Guards against an owner that believes in its claims after the platform came back from an older copy, and against a
/// table of an earlier era that a late write put into the new one.
#[test]
fn set_era_drops_claims() {
    let (mut owner, revision, table) = sole_owner();
    assert_eq!(owner.owned_slots(), u16::MAX);
    owner.set_era(1);
    assert_eq!(owner.owned_slots(), 0);
    let live = ["vm-1".to_owned()];
    assert_eq!(
        owner.plan(NOW, &live, &[]),
        None,
        "the table isn't read yet"
    );
    owner.observe(NEXT_ERA + revision, &table);
    assert_eq!(owner.owned_slots(), 0);
    let (_, started) = plan_and_apply(&mut owner, NOW, &["vm-1"]).unwrap();
    assert_eq!((started.era(), owner.owned_slots()), (1, 0));
    let (_, claimed) = plan_and_apply(&mut owner, NOW, &["vm-1"]).unwrap();
    assert_eq!((claimed.era(), owner.owned_slots()), (1, u16::MAX));
}

/// Guards against a stopping process, or one that accepts no work, that starts an era and so delays the calls of
/// others.
#[test]
fn plan_era_only_if_live() {
    let (mut owner, revision, table) = sole_owner();
    owner.set_era(1);
    owner.observe(NEXT_ERA + revision, &table);
    assert_eq!(owner.plan(NOW, &["vm-2".into()], &[]), None);
    owner.stop();
    assert_eq!(owner.plan(NOW, &["vm-1".into()], &[]), None);
    assert!(owner.is_released());
}

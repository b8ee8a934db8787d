//! When an engine loads which version.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rollout::{Position, Rollout, Step};
use yare::parameterized;

const BOUND: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the rollout of an engine that serves version 1, at position `rank` of `count`.
fn serving(rank: usize, count: usize) -> Rollout {
    let names: Vec<String> = (0..count).map(|number| format!("vm-{number}")).collect();
    let live: Vec<&str> = names.iter().map(String::as_str).collect();
    let position = |name: &&&str| Position::among(name, &live, 2);
    let mut positions: Vec<Position> = live.iter().map(|name| position(&name)).collect();
    positions.sort_by(|a, b| a.fraction().total_cmp(&b.fraction()));
    let mut rollout = Rollout::new(BOUND);
    rollout.set_position(positions[rank]);
    rollout.engine_observed(Some(1), false);
    rollout
}

// Guards against an engine without weights that delays its load although it serves nothing.
#[test]
fn next_empty_engine_loads_at_once() {
    let now = Instant::now();
    let mut rollout = Rollout::new(BOUND);
    rollout.engine_observed(None, false);
    rollout.chunks_complete(now, 1);
    assert_eq!(rollout.next_step(now), Step::Load(1));
}

// Guards against engines that all load at the same moment, and against one that loads after the bound.
#[parameterized(
    first = { 0, 4_000 },
    middle = { 3, 5_600 },
    last = { 6, 7_200 },
)]
fn next_in_turn(rank: usize, expected_ms: u64) {
    let now = Instant::now();
    let mut rollout = serving(rank, 7);
    rollout.require_version(now, 2);
    rollout.chunks_complete(now + ms(4_000), 2);
    let turn = now + ms(expected_ms);
    let before = turn - ms(10);
    if before > now + ms(4_000) {
        assert!(matches!(rollout.next_step(before), Step::Wait(Some(_))));
    }
    assert_eq!(rollout.next_step(turn + ms(10)), Step::Load(2));
}

// Guards against an engine that still waits for its turn although its chunks arrived late.
#[test]
fn next_late_parts_load_at_once() {
    let now = Instant::now();
    let mut rollout = serving(3, 7);
    rollout.require_version(now, 2);
    assert_eq!(rollout.next_step(now + ms(7_500)), Step::Wait(None));
    rollout.chunks_complete(now + ms(7_500), 2);
    assert_eq!(rollout.next_step(now + ms(7_500)), Step::Load(2));
}

// Guards against a second order while the first one is in progress, and against a lost order that is never repeated.
#[test]
fn next_after_order() {
    let now = Instant::now();
    let mut rollout = serving(0, 7);
    rollout.require_version(now, 2);
    rollout.chunks_complete(now, 2);
    assert_eq!(rollout.next_step(now), Step::Load(2));
    rollout.order_sent(now, 2);
    assert!(matches!(
        rollout.next_step(now + ms(100)),
        Step::Wait(Some(_))
    ));
    assert!(rollout.is_switching());
    rollout.engine_observed(Some(1), true);
    assert_eq!(rollout.next_step(now + ms(3_000)), Step::Wait(None));
    rollout.engine_observed(Some(1), false);
    assert_eq!(rollout.next_step(now + ms(3_000)), Step::Load(2));
    rollout.engine_observed(Some(2), false);
    assert_eq!(rollout.next_step(now + ms(3_000)), Step::Wait(None));
    assert!(!rollout.is_switching());
}

// Guards against an engine that stays without weights after a restart.
#[test]
fn next_after_engine_restart() {
    let now = Instant::now();
    let mut rollout = serving(6, 7);
    rollout.require_version(now, 2);
    rollout.chunks_complete(now + ms(3_000), 2);
    rollout.engine_observed(Some(2), false);
    assert_eq!(rollout.next_step(now + ms(9_000)), Step::Wait(None));
    rollout.engine_observed(None, false);
    assert_eq!(rollout.next_step(now + ms(9_000)), Step::Load(2));
}

// Guards against a transfer that is cancelled for a newer version although the newer one would arrive too late: on
// quiet-1 the second version, 4 s after the first, left no engine that was allowed to serve.
#[parameterized(
    soon_after = { 1_000, 3 },
    long_after = { 4_000, 2 },
)]
fn wanted_two_versions(gap_ms: u64, expected: u64) {
    let now = Instant::now();
    let mut rollout = serving(0, 7);
    rollout.require_version(now, 2);
    assert_eq!(rollout.wanted(now), Some(2));
    rollout.require_version(now + ms(gap_ms), 3);
    assert_eq!(rollout.wanted(now + ms(gap_ms)), Some(expected));
    rollout.chunks_complete(now + ms(4_200), 2);
    assert_eq!(rollout.wanted(now + ms(4_200)), Some(3));
    rollout.chunks_complete(now + ms(8_000), 3);
    assert_eq!(rollout.wanted(now + ms(8_000)), None);
}

// Guards against an agent that fetches a version which is overdue already while all others fetch the one after it: it
// then never received the chunks that it should have passed on.
#[test]
fn wanted_late_version_passed_over() {
    let now = Instant::now();
    let mut rollout = serving(0, 7);
    rollout.require_version(now, 2);
    rollout.require_version(now + ms(4_000), 3);
    assert_eq!(rollout.wanted(now + ms(5_000)), Some(2));
    assert_eq!(rollout.wanted(now + BOUND), Some(3));
}

// Guards against the same after a restart, when a version is found first and its time is learned later.
#[test]
fn wanted_after_restart() {
    let now = Instant::now() + BOUND * 2;
    let mut rollout = serving(0, 7);
    rollout.add_undated_version(now, 2);
    assert_eq!(rollout.wanted(now), Some(2));
    rollout.require_version(now + ms(4_000), 3);
    assert_eq!(rollout.wanted(now + ms(4_000)), Some(3));
    rollout.require_version(now + ms(500), 2);
    assert_eq!(rollout.wanted(now + ms(4_000)), Some(2));
}

// Guards against an agent that restarts and gives its engine another whole bound.
#[test]
fn find_is_due() {
    let now = Instant::now() + BOUND * 2;
    let mut rollout = serving(6, 7);
    rollout.add_undated_version(now, 2);
    rollout.chunks_complete(now + ms(3_000), 2);
    assert_eq!(rollout.next_step(now + ms(3_000)), Step::Load(2));
    assert_eq!(rollout.observed_versions(now).count(), 0);
}

// Guards against engines that announce a load which doesn't come: while the origin was down for 6 s, entries sent them
// nothing, and half of the requests were refused before any engine had to stop.
#[test]
fn closing_waits_for_parts() {
    let now = Instant::now();
    let mut rollout = serving(0, 7);
    rollout.set_expected_transfer_time(ms(4_000));
    rollout.require_version(now, 2);
    for passed in [0, 2_000, 7_000] {
        let now = now + ms(passed);
        assert_eq!(rollout.closes_at(now), Some(now + ms(4_000)));
    }
    rollout.set_missing_fraction(0.25);
    assert_eq!(rollout.closes_at(now), Some(now + ms(1_000)));
}

// Guards against entries that send requests with long answers to an engine that is about to load.
#[test]
fn closing_told_ahead() {
    let now = Instant::now();
    let mut rollout = serving(6, 7);
    assert_eq!(rollout.closes_at(now), None);
    rollout.require_version(now, 2);
    let turn = now + ms(7_200);
    let told = rollout.closes_at(now).unwrap();
    assert!(told <= turn && told > now + ms(6_000));
    rollout.chunks_complete(now + ms(4_000), 2);
    assert_eq!(rollout.closes_at(now + ms(4_000)), Some(turn));
    rollout.order_sent(turn, 2);
    assert_eq!(rollout.closes_at(turn), Some(turn));
    rollout.engine_observed(Some(2), false);
    assert_eq!(rollout.closes_at(turn + ms(500)), None);
}

proptest! {
    // Guards against agents that compute different orders, and against two engines at one position.
    #[test]
    fn place_one_order(count in 2usize..60, version in 0u64..100, rotate in 0usize..60) {
        let names: Vec<String> = (0..count).map(|number| format!("10.0.0.{number}:80")).collect();
        let mut live: Vec<&str> = names.iter().map(String::as_str).collect();
        let shares = |live: &[&str]| -> Vec<f64> {
            names.iter().map(|name| Position::among(name, live, version).fraction()).collect()
        };
        let before = shares(&live);
        live.rotate_left(rotate % count);
        prop_assert_eq!(&before, &shares(&live));
        let mut sorted = before;
        sorted.sort_by(f64::total_cmp);
        sorted.dedup();
        prop_assert_eq!(sorted.len(), count);
    }

    // Guards against a version that an engine never loads, for any order of events.
    #[test]
    fn next_always_ends(named in 0u64..6_000, second in 0u64..6_000, first_done in 0u64..9_000, rank in 0usize..7) {
        let now = Instant::now();
        let mut rollout = serving(rank, 7);
        rollout.require_version(now + ms(named), 2);
        rollout.require_version(now + ms(named + second), 3);
        rollout.chunks_complete(now + ms(named + first_done), 2);
        rollout.chunks_complete(now + ms(named + second + first_done), 3);
        let end = now + ms(named + second) + BOUND + ms(first_done);
        let Step::Load(version) = rollout.next_step(end) else {
            return Err(TestCaseError::fail("nothing to load"));
        };
        prop_assert_eq!(version, 3);
    }
}

// Guards against an engine that loads a version too late because the first process that told of it had learned of it
// late. An entry that had been frozen told an age of 0 for a version that was named 4 s before.
#[parameterized(
    earlier = { 4_000, 3_200 },
    later = { 0, 7_200 },
)]
fn require_version_again(earlier_ms: u64, load_ms: u64) {
    let now = Instant::now() + BOUND;
    let mut rollout = serving(6, 7);
    assert!(rollout.require_version(now, 2));
    assert!(!rollout.require_version(now - ms(earlier_ms), 2));
    assert!(!rollout.require_version(now + ms(1_000), 2));
    rollout.chunks_complete(now, 2);
    assert_eq!(rollout.next_step(now), Step::Wait(Some(now + ms(load_ms))));
}

// Guards against an agent that learns of an older version after the newest one and gives its engine the bound of the
// newest, although the older one is due earlier.
#[test]
fn name_older_later() {
    let now = Instant::now() + BOUND;
    let mut rollout = serving(6, 7);
    assert!(rollout.require_version(now, 3));
    assert!(!rollout.require_version(now - ms(6_000), 2));
    rollout.chunks_complete(now, 3);
    assert_eq!(rollout.next_step(now), Step::Wait(Some(now + ms(1_200))));
    let told: Vec<u64> = rollout
        .observed_versions(now)
        .map(|(version, _)| version)
        .collect();
    assert_eq!(told, [2, 3]);
}

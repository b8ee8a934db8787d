//! Tests of the retry budget.

use std::time::{Duration, Instant};

use dispatch::{Budget, RetryLimit};
use proptest::prelude::*;
use yare::parameterized;

const WINDOW: Duration = Duration::from_secs(10);

fn retry_limit(ratio: f64, extra_per_window: f64) -> RetryLimit {
    RetryLimit {
        ratio,
        extra_per_window,
        window: WINDOW,
    }
}

// Guards against entries that restart together and spend the constant part a second time. After a power loss, nine
// entries sent 693 retries in 10 s, which was the whole bound.
#[test]
fn new_is_empty() {
    let now = Instant::now();
    let mut budget = Budget::new(retry_limit(0.2, 106.0), 9, now);
    assert!(!budget.try_take(now));
}

// Guards against a budget that refills when the number of entries alternates.
#[test]
fn share_adds_nothing() {
    let now = Instant::now();
    let mut budget = Budget::new(retry_limit(0.2, 100.0), 1, now);
    let later = now + WINDOW;
    let mut taken = 0;
    for entries in [1, 6, 1, 6, 1, 6] {
        budget.set_entries(entries);
        while budget.try_take(later) {
            taken += 1;
        }
    }
    assert!(taken <= 60, "{taken} retries from a constant part of 100");
}

// Guards against entries that together exceed the deployment's bound, for several numbers of entries and request rates.
#[parameterized(
    few = { 6, 218 },
    many = { 37, 600 },
    idle = { 9, 3 },
)]
fn take_stays_within_bound(entries: usize, requests_per_s: u64) {
    let start = Instant::now();
    let (ratio, extra_per_window) = (0.2, 100.0);
    let mut budgets: Vec<Budget> = (0..entries)
        .map(|_| Budget::new(retry_limit(ratio, extra_per_window), entries, start))
        .collect();
    let mut taken = Vec::new();
    for step in 0..(requests_per_s * 30) {
        let now = start + Duration::from_secs_f64(step as f64 / requests_per_s as f64);
        let entry = step as usize % entries;
        budgets[entry].record_request(now);
        while budgets[entry].try_take(now) {
            taken.push(now);
        }
    }
    let most = taken
        .iter()
        .map(|from| {
            let window = taken
                .iter()
                .filter(|at| **at >= *from && **at < *from + WINDOW);
            window.count()
        })
        .max();
    let bound = ratio * (requests_per_s * 10) as f64 + extra_per_window;
    assert!(most.unwrap_or(0) as f64 <= bound, "{most:?} of {bound}");
}

proptest! {
    // Guards against timestamps out of order that create retries.
    #[test]
    fn take_any_times(times in proptest::collection::vec(0u64..5_000, 1..200)) {
        let start = Instant::now();
        let mut budget = Budget::new(retry_limit(0.2, 100.0), 1, start);
        let mut taken = 0;
        for at in &times {
            taken += u32::from(budget.try_take(start + Duration::from_millis(*at)));
        }
        prop_assert!(taken <= 60);
    }
}

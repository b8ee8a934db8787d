//! When agents read the store for what entries usually send.

use std::time::{Duration, Instant};

use rollout::Fallback;

const STEP: Duration = Duration::from_millis(50);
const AGENTS: usize = 58;

fn agents(now: Instant) -> Vec<Fallback> {
    let position = |rank| rank as f64 / AGENTS as f64;
    (0..AGENTS)
        .map(|rank| Fallback::new(now, position(rank)))
        .collect()
}

/// Returns the largest number of reads that fail in one second of `time`.
fn max_reads_per_s(fallbacks: &mut [Fallback], start: Instant, time: Duration) -> usize {
    let mut reads: Vec<Instant> = Vec::new();
    let mut now = start;
    while now < start + time {
        for fallback in fallbacks.iter_mut().filter(|fallback| fallback.is_due(now)) {
            fallback.record_failure(now);
            reads.push(now);
        }
        now += STEP;
    }
    let within = |first: &Instant| {
        let second = *first..*first + Duration::from_secs(1);
        reads.iter().filter(|read| second.contains(read)).count()
    };
    reads.iter().map(within).max().unwrap_or(0)
}

// Guards against a configuration of 500 KB that every agent of a region reads after an outage, over the link that the
// entries need to read it and to tell the agents of it, so that the system doesn't recover.
#[test]
fn told_before_outage() {
    let start = Instant::now();
    let mut fallbacks = agents(start);
    for fallback in &mut fallbacks {
        fallback.record_told(start);
    }
    let outage = Duration::from_secs(12);
    assert_eq!(max_reads_per_s(&mut fallbacks, start, outage), 0);
    let after = max_reads_per_s(&mut fallbacks, start + outage, Duration::from_secs(60));
    assert!((1..=8).contains(&after), "{after}");
}

// Guards against reads that fail because of their number and are repeated at the same rate, so that they go on failing.
#[test]
fn failures_thin_out() {
    let start = Instant::now();
    let mut fallbacks = agents(start);
    max_reads_per_s(&mut fallbacks, start, Duration::from_secs(30));
    let later = start + Duration::from_secs(30);
    let reads = max_reads_per_s(&mut fallbacks, later, Duration::from_secs(30));
    assert!(reads <= AGENTS / 4, "{reads}");
}

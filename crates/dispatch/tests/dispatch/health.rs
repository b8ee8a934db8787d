//! Tests of the ejection of targets that fail.

use std::time::{Duration, Instant};

use dispatch::{Failure, Health};
use yare::parameterized;

use crate::support::ms;

// Guards against targets that fail every request without being ejected, and against the ejection of busy ones.
#[parameterized(
    not_connected = { Failure::NotConnected, 1, true },
    unreachable = { Failure::Unreachable, 1, true },
    broken = { Failure::Broken, 3, true },
    broken_twice = { Failure::Broken, 2, false },
    late = { Failure::Late, 3, true },
    refused = { Failure::Refused, 20, false },
    misdirected = { Failure::Misdirected, 20, false },
    other_weights = { Failure::OtherWeights, 20, false },
    rejected = { Failure::Rejected, 20, false },
)]
fn failure_ejects(failure: Failure, times: usize, ejected: bool) {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..times {
        health.record_failure(now, failure);
    }
    assert_eq!(health.is_ejected(now), ejected);
}

// Guards against ejecting the targets of a service whose requests occasionally fail by themselves, as its callers
// expect.
#[test]
fn failure_errors_now_and_then() {
    let now = Instant::now();
    let mut health = Health::default();
    for step in 0u64..700 {
        let at = now + ms(30 * step);
        match step % 7 {
            0 => {
                health.record_failure(at, Failure::Error);
            }
            _ => health.record_success(at),
        }
        assert!(!health.is_ejected(at), "after {step} requests");
    }
}

// Guards against an ejection that never ends, or that does not get longer for a target that stays broken.
#[test]
fn ejection_ends_and_doubles() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut last = Duration::ZERO;
    for _ in 0..3 {
        while !health.record_failure(now, Failure::Broken) {}
        let start = now;
        while health.is_ejected(now) {
            now += ms(10);
        }
        assert!(now - start > last);
        last = now - start;
    }
    assert!(last <= Duration::from_secs(4));
}

//! Tests of the bound until which older weights may serve.

use std::time::{Duration, Instant};

use dispatch::RequiredVersions;

use crate::support::{BOUND, ms};

// Guards against requests that begin on older weights after the bound, and against excluding engines too early.
#[test]
fn oldest_after_bound() {
    let now = Instant::now();
    let mut versions = RequiredVersions::new(BOUND);
    assert!(versions.require(now, "lm", 2));
    assert_eq!(versions.oldest_routable("lm", now + ms(6_000)), 0);
    assert_eq!(versions.oldest_routable("lm", now + ms(7_500)), 2);
    assert_eq!(versions.oldest_routable("other", now + ms(9_000)), 0);
}

// Guards against a request that begins after the bound because it waited in its target's queue. One that was sent 1,064
// ms before the bound waited 1,042 ms and began at the bound.
#[test]
fn oldest_before_bound() {
    let now = Instant::now();
    let mut versions = RequiredVersions::new(BOUND);
    versions.require(now, "lm", 2);
    assert_eq!(versions.oldest_routable("lm", now + BOUND - ms(1_064)), 2);
}

// Guards against a bound that restarts with each new version.
#[test]
fn oldest_two_versions() {
    let now = Instant::now();
    let mut versions = RequiredVersions::new(BOUND);
    versions.require(now, "lm", 2);
    versions.require(now + ms(4_000), "lm", 3);
    assert_eq!(versions.oldest_routable("lm", now + BOUND), 2);
    assert_eq!(versions.oldest_routable("lm", now + ms(4_000) + BOUND), 3);
    assert!(!versions.require(now + ms(9_000), "lm", 2));
}

// Guards against a restarted entry that takes a known version for new. A request began on version 1 12.8 s after
// version 2 was required.
#[test]
fn oldest_found_at_start() {
    let now = Instant::now();
    let mut versions = RequiredVersions::new(BOUND);
    assert!(versions.add_undated("lm", 2));
    assert_eq!(versions.oldest_routable("lm", now), 2);
}

// Guards against an entry that ignores versions reported by agents because it has not seen any itself, for example
// while its watch of the store hangs. It would send requests to older weights all that time.
#[test]
fn aged_without_own_watch() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut versions = RequiredVersions::new(BOUND);
    assert!(versions.add_with_age(now, "lm", 2, BOUND));
    assert_eq!(versions.oldest_routable("lm", now), 2);
    assert!(!versions.add_with_age(now, "lm", 2, ms(100)));
    assert_eq!(versions.newest("lm"), Some(2));
}

// Guards against an entry that restarts during a rollout and excludes all engines that have not loaded the version yet.
#[test]
fn oldest_found_and_aged() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut versions = RequiredVersions::new(BOUND);
    versions.add_undated("lm", 2);
    versions.add_with_age(now, "lm", 2, ms(3_000));
    assert_eq!(versions.oldest_routable("lm", now), 0);
    // Another agent learned of the version earlier; the earliest time is the most accurate.
    versions.add_with_age(now, "lm", 2, ms(7_500));
    versions.add_with_age(now, "lm", 2, ms(1_000));
    assert_eq!(versions.oldest_routable("lm", now), 2);
}

// Guards against an entry that starts between two versions and knows only the newer one. It let an engine that had been
// suspended begin requests on version 1, 15.3 s after version 2 was required.
#[test]
fn oldest_after_start_between_versions() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut versions = RequiredVersions::new(BOUND);
    versions.add_undated("lm", 3);
    versions.add_with_age(now, "lm", 2, BOUND + ms(1_000));
    versions.add_with_age(now, "lm", 3, ms(3_000));
    assert_eq!(versions.oldest_routable("lm", now), 2);
    let told: Vec<_> = versions.in_force(now).collect();
    let expected = [
        ("lm", 2, Some(BOUND + ms(1_000))),
        ("lm", 3, Some(ms(3_000))),
    ];
    assert_eq!(told, expected);
    assert_eq!(versions.in_force(now + BOUND).count(), 1);
}

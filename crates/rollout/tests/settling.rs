//! When requests without a response count as handled by the engine.

use std::time::{Duration, Instant};

use rollout::Settling;
use weights::Digest;
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn manifest(version: u8) -> Digest {
    Digest::of(&[version])
}

/// Answers a report at each of `times`.
fn report(settling: &mut Settling, start: Instant, times: impl IntoIterator<Item = u64>) {
    for time in times {
        settling.report_answered(start + ms(time));
    }
}

// Guards against an agent that stages while requests of its predecessor are still in the engine's sockets.
#[parameterized(
    no_report = { &[], 5_000, false },
    first_report = { &[5_000], 5_000, false },
    short = { &[100, 500, 900], 900, false },
    settled = { &[100, 500, 900, 1_100], 1_100, true },
    interrupted = { &[100, 500, 1_300, 1_700], 1_700, false },
    settled_after_pause = { &[100, 500, 4_000, 4_500, 5_000], 5_000, true },
    silent_again = { &[100, 500, 900, 1_100], 2_000, false },
)]
fn start_reports(reports: &[u64], at: u64, settled: bool) {
    let start = Instant::now();
    let mut settling = Settling::new(start);
    report(&mut settling, start, reports.iter().copied());
    assert_eq!(settling.may_stage(start + ms(at), manifest(2)), settled);
}

// Guards against staging a version while a request of another one may still take effect, and against a wait for a
// request of the same version.
#[parameterized(
    at_once = { 10_000, true, false },
    too_early = { 10_900, true, false },
    settled = { 11_100, true, true },
)]
fn response_lost_versions(at: u64, same: bool, other: bool) {
    let start = Instant::now();
    let mut settling = Settling::new(start);
    report(&mut settling, start, (0..100).map(|step| step * 100));
    settling.response_lost(start + ms(10_000), manifest(2));
    report(&mut settling, start, (10_000..=at).step_by(100));
    let now = start + ms(at);
    assert_eq!(settling.may_stage(now, manifest(2)), same);
    assert_eq!(settling.may_stage(now, manifest(3)), other);
}

// Guards against forgetting a lost request of one version when one of another version is lost, too.
#[test]
fn response_lost_twice() {
    let start = Instant::now();
    let mut settling = Settling::new(start);
    report(&mut settling, start, (0..20).map(|step| step * 100));
    settling.response_lost(start + ms(2_000), manifest(2));
    settling.response_lost(start + ms(2_100), manifest(3));
    let now = start + ms(2_100);
    assert!(!settling.may_stage(now, manifest(2)) && !settling.may_stage(now, manifest(3)));
    report(&mut settling, start, (2_000..=3_200).step_by(100));
    assert!(settling.may_stage(start + ms(3_200), manifest(2)));
}

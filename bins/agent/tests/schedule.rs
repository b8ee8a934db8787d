//! When reports are due, and that the interval is short enough for the failure detector of entries.

use std::time::{Duration, Instant};

use agent::ReportSchedule;
use gossip::{FailureDetector, Liveness};
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a changed load that is reported more than a second late, and against early reports for small changes,
/// which would exceed the limit of control traffic.
#[parameterized(
    before_minimum = { 400, 8, 99, 600 },
    unchanged = { 1_000, 8, 8, 400 },
    small_change = { 1_000, 8, 9, 400 },
    quarter_up = { 1_000, 8, 10, 0 },
    quarter_down = { 1_000, 40, 30, 0 },
    below_a_quarter = { 1_000, 40, 31, 400 },
    from_idle = { 1_000, 0, 2, 0 },
    late_change = { 1_200, 8, 16, 0 },
    interval = { 1_400, 8, 8, 0 },
    overdue = { 9_000, 8, 8, 0 },
)]
fn wait_load(elapsed: u64, reported: u32, load: u32, expected: u64) {
    let start = Instant::now();
    let schedule = ReportSchedule::new(start, reported);
    assert_eq!(schedule.wait(start + ms(elapsed), load), ms(expected));
}

/// Guards against a report interval at which a report that is half a second late makes a live target suspect.
#[test]
fn interval_leaves_slack() {
    let (start, mut detector) = (Instant::now(), FailureDetector::default());
    detector.record_contact("t1", start);
    let late_report = start + wire::REPORT_INTERVAL + ms(500);
    assert_eq!(detector.liveness("t1", late_report), Liveness::Alive);
}

//! When the next report is due.

use std::time::{Duration, Instant};

use wire::REPORT_INTERVAL;

/// Time after a report from which a changed load makes the next report due.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum change of the load that is reported early, in requests.
const MIN_LOAD_CHANGE: u32 = 2;

/// Divisor of the reported load that gives the minimum change that is reported early: a quarter of the load.
///
/// A target of the planned size runs about 18 requests and starts or ends 2 per second, so random variation seldom
/// reaches the threshold.
const LOAD_CHANGE_DIVISOR: u32 = 4;

/// Determines when the next report is due, from the time and the load of the last one.
///
/// The interval is measured from the start of a report, so that an entry that doesn't respond in time doesn't delay the
/// reports to the others.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let schedule = agent::ReportSchedule::new(start, 8);
/// assert_eq!(schedule.wait(start, 8), Duration::from_secs(1));
/// assert_eq!(schedule.wait(start + Duration::from_secs(1), 12), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    started: Instant,
    load: u32,
}

impl ReportSchedule {
    /// Creates the schedule after a report of `load` requests that started at `now`.
    pub fn new(now: Instant, load: u32) -> Self {
        Self { started: now, load }
    }

    /// Returns the time until the next report is due or the load must be checked again; zero if a report is due.
    pub fn wait(&self, now: Instant, load: u32) -> Duration {
        let elapsed = now.saturating_duration_since(self.started);
        let min_change = (self.load / LOAD_CHANGE_DIVISOR).max(MIN_LOAD_CHANGE);
        if elapsed < LOAD_INTERVAL {
            LOAD_INTERVAL - elapsed
        } else if load.abs_diff(self.load) >= min_change {
            Duration::ZERO
        } else {
            REPORT_INTERVAL.saturating_sub(elapsed)
        }
    }
}

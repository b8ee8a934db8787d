//! Times of the reports.

use std::time::{Duration, Instant};

use wire::REPORT_INTERVAL;

/// Time after which a changed load is reported.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Smallest change of the load that is reported early, in requests.
const LOAD_STEP: u32 = 2;

/// One in this many requests: the relative change of the load that is reported early.
///
/// A target of the target size runs about 18 requests and starts or ends 2 a second, so chance alone seldom reaches it.
const LOAD_SHARE: u32 = 4;

/// The last report, from which the time of the next follows.
///
/// The interval counts from the start of a report: an entry that doesn't answer in time must not make the target late
/// for the others.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let schedule = agent::Schedule::new(start, 8);
/// assert_eq!(schedule.wait(start, 8), Duration::from_secs(1));
/// assert_eq!(schedule.wait(start + Duration::from_secs(1), 12), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    started: Instant,
    load: u32,
}

impl Schedule {
    /// Returns the schedule after a report of `load` requests that started at `now`.
    pub fn new(now: Instant, load: u32) -> Self {
        Self { started: now, load }
    }

    /// Returns the time until the next report is due or the load must be looked at again; zero when it is due.
    pub fn wait(&self, now: Instant, load: u32) -> Duration {
        let elapsed = now.saturating_duration_since(self.started);
        let step = (self.load / LOAD_SHARE).max(LOAD_STEP);
        if elapsed < LOAD_INTERVAL {
            LOAD_INTERVAL - elapsed
        } else if load.abs_diff(self.load) >= step {
            Duration::ZERO
        } else {
            REPORT_INTERVAL.saturating_sub(elapsed)
        }
    }
}

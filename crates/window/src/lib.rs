//! Counts events in sliding windows, for tests of rate limits.

use std::time::{Duration, Instant};

/// Returns the maximum number of events in any window of `length`, whose ends are both inclusive. `times` must be
/// sorted.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let times = [0, 400, 1_000, 1_001].map(|ms| start + Duration::from_millis(ms));
/// assert_eq!(window::max_events(&times, Duration::from_secs(1)), 3);
/// ```
pub fn max_events(times: &[Instant], length: Duration) -> usize {
    let count_until = |end: Instant| times.partition_point(|at| *at <= end);
    let count_from = |(index, at): (usize, &Instant)| count_until(*at + length) - index;
    times
        .iter()
        .enumerate()
        .map(count_from)
        .max()
        .unwrap_or_default()
}

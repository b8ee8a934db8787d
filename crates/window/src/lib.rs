//! Counts events in sliding windows, for tests of rates.

use std::time::{Duration, Instant};

/// Returns the most events within any window of `length`, which holds both of its ends; `times` are in order.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let times = [0, 400, 1_000, 1_001].map(|ms| start + Duration::from_millis(ms));
/// assert_eq!(window::most(&times, Duration::from_secs(1)), 3);
/// ```
pub fn most(times: &[Instant], length: Duration) -> usize {
    let up_to = |end: Instant| times.partition_point(|at| *at <= end);
    let within = |(index, at): (usize, &Instant)| up_to(*at + length) - index;
    times
        .iter()
        .enumerate()
        .map(within)
        .max()
        .unwrap_or_default()
}

//! Summaries of measured durations.

use std::time::Duration;

use serde::Serialize;

/// Percentiles of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Percentiles {
    /// Number of durations.
    pub count: usize,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

impl Percentiles {
    /// Returns the percentiles of `durations` by the nearest-rank method.
    ///
    /// ```
    /// use std::time::Duration;
    /// let durations: Vec<_> = (1..=100).map(Duration::from_millis).collect();
    /// let percentiles = load::Percentiles::of(&durations);
    /// assert_eq!(percentiles.p95_ms, 95.0);
    /// ```
    pub fn of(durations: &[Duration]) -> Self {
        let mut sorted = durations.to_vec();
        sorted.sort_unstable();
        Self {
            count: sorted.len(),
            p50_ms: rank(&sorted, 0.5),
            p95_ms: rank(&sorted, 0.95),
            p99_ms: rank(&sorted, 0.99),
            max_ms: rank(&sorted, 1.0),
        }
    }
}

/// Returns the duration at nearest rank `share` of a sorted list, in milliseconds; 0 for an empty list.
fn rank(sorted: &[Duration], share: f64) -> f64 {
    let position = (share * sorted.len() as f64).ceil() as usize;
    sorted
        .get(position.saturating_sub(1))
        .map_or(0.0, |duration| duration.as_secs_f64() * 1000.0)
}

//! Estimates of the queueing delay of a service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Weight of the newest sample in the moving average of the time at a target.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the exponential average of arrival rates, in seconds.
const ARRIVAL_WINDOW_S: f64 = 2.0;
/// Minimum share of dispatches that a rank leaves to the lower ones.
const LOWER_RANK_SHARE: f64 = 0.1;
/// Length of each of the two windows over which the shortest time to a response is tracked.
const MIN_LATENCY_WINDOW: Duration = Duration::from_secs(10);

/// Estimates the time that requests spend at a target, the arrival rate of each rank, and the resulting wait.
#[derive(Debug, Default)]
pub(crate) struct WaitEstimator {
    mean_occupancy_s: Option<f64>,
    arrivals: BTreeMap<u8, (Instant, f64)>,
    min_latency: Option<Duration>,
    previous_min_latency: Option<Duration>,
    window_start: Option<Instant>,
}

impl WaitEstimator {
    /// Counts an arrival of `rank`.
    pub(crate) fn record_arrival(&mut self, now: Instant, rank: u8) {
        let rate = self.arrival_rate(now, rank);
        self.arrivals
            .insert(rank, (now, rate + 1.0 / ARRIVAL_WINDOW_S));
    }

    /// Adds a sample of the time for which a request occupied its target.
    pub(crate) fn record_occupancy(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        self.mean_occupancy_s = Some(match self.mean_occupancy_s {
            Some(mean) => mean + SAMPLE_WEIGHT * (sample - mean),
            None => sample,
        });
    }

    /// Adds a sample of the time from sending a request to the start of its response.
    pub(crate) fn record_latency(&mut self, now: Instant, time: Duration) {
        let window_start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(window_start) > MIN_LATENCY_WINDOW {
            self.previous_min_latency = self.min_latency.take();
            self.window_start = Some(now);
        }
        self.min_latency = Some(
            self.min_latency
                .map_or(time, |min_latency| min_latency.min(time)),
        );
    }

    /// Returns the shortest recent time from sending a request to the start of its response. A waiting request with
    /// less time left can't meet its deadline.
    pub(crate) fn min_latency(&self) -> Duration {
        self.min_latency
            .into_iter()
            .chain(self.previous_min_latency)
            .min()
            .unwrap_or_default()
    }

    /// Returns the expected wait of a request of `rank` while `busy` requests are at targets, or zero before the first
    /// sample. `more_urgent` and `equal_rank` requests of more urgent and of the same rank are ahead of it.
    ///
    /// Arrivals of more urgent ranks are subtracted from the service rate. The wait is at most the one at the floor
    /// rate, because each more urgent rank leaves a tenth of the rate to lower ones.
    pub(crate) fn expected_wait(
        &self,
        now: Instant,
        rank: u8,
        (more_urgent, equal_rank): (usize, usize),
        busy: u32,
    ) -> Duration {
        let Some(mean) = self.mean_occupancy_s.filter(|mean| *mean > 0.0) else {
            return Duration::ZERO;
        };
        let total_rate = f64::from(busy.max(1)) / mean;
        let urgent_rates = self
            .arrivals
            .range(..rank)
            .map(|(rank, _)| self.arrival_rate(now, *rank));
        let (mut rate_left, mut floor_rate) = (total_rate, total_rate);
        for rate in urgent_rates.filter(|rate| *rate > 1.0 / ARRIVAL_WINDOW_S) {
            rate_left -= rate;
            floor_rate *= LOWER_RANK_SHARE;
        }
        let by_rank = (more_urgent + equal_rank) as f64 / rate_left.max(0.0);
        let by_floor = (equal_rank + 1) as f64 / floor_rate;
        let wait = if rate_left > floor_rate {
            by_rank.min(by_floor)
        } else {
            by_floor
        };
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Returns the exponentially decayed arrival rate of `rank`, in requests per second.
    fn arrival_rate(&self, now: Instant, rank: u8) -> f64 {
        self.arrivals.get(&rank).map_or(0.0, |(at, rate)| {
            rate * (-now.saturating_duration_since(*at).as_secs_f64() / ARRIVAL_WINDOW_S).exp()
        })
    }
}

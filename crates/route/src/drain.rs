//! How fast a service's queue drains.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Weight of the newest sample of the mean time at a target.
const SAMPLE: f64 = 0.1;
/// Time over which arrivals are averaged, in seconds.
const WINDOW_S: f64 = 2.0;
/// Share of dispatches that lower classes get at least.
const FLOOR: f64 = 0.1;
/// Span of the two windows whose shortest time to an answer is kept.
const SHORTEST_SPAN: Duration = Duration::from_secs(10);

/// Estimates of the time at a target, of arrivals by rank, and of the wait that follows.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    mean_s: Option<f64>,
    arrivals: BTreeMap<u8, (Instant, f64)>,
    shortest: Option<Duration>,
    last_shortest: Option<Duration>,
    turned: Option<Instant>,
}

impl Drain {
    /// Counts a request of `rank`.
    pub(crate) fn arrived(&mut self, now: Instant, rank: u8) {
        let rate = self.arrival_rate(now, rank);
        self.arrivals.insert(rank, (now, rate + 1.0 / WINDOW_S));
    }

    /// Counts the time for which a request occupied its target.
    pub(crate) fn held(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        self.mean_s = Some(match self.mean_s {
            Some(mean) => mean + SAMPLE * (sample - mean),
            None => sample,
        });
    }

    /// Counts the time from sending a request to the start of its answer.
    pub(crate) fn answered(&mut self, now: Instant, time: Duration) {
        let turned = *self.turned.get_or_insert(now);
        if now.saturating_duration_since(turned) > SHORTEST_SPAN {
            self.last_shortest = self.shortest.take();
            self.turned = Some(now);
        }
        self.shortest = Some(self.shortest.map_or(time, |shortest| shortest.min(time)));
    }

    /// Returns the shortest recent time from sending a request to its answer: with less time left, a waiting request
    /// can't meet its deadline.
    pub(crate) fn shortest(&self) -> Duration {
        self.shortest
            .into_iter()
            .chain(self.last_shortest)
            .min()
            .unwrap_or_default()
    }

    /// Returns the expected wait of a request of `rank` while `busy` requests are at targets, or zero before any
    /// estimate; `urgent` requests of more urgent rank and `equal` ones of its own are ahead.
    ///
    /// More urgent arrivals take their part of the rate first. The floor is an upper bound of the wait: each more
    /// urgent rank leaves a tenth of the rate to lower ones.
    pub(crate) fn wait(
        &self,
        now: Instant,
        rank: u8,
        (urgent, equal): (usize, usize),
        busy: u32,
    ) -> Duration {
        let Some(mean) = self.mean_s.filter(|mean| *mean > 0.0) else {
            return Duration::ZERO;
        };
        let total = f64::from(busy.max(1)) / mean;
        let rates = self
            .arrivals
            .range(..rank)
            .map(|(rank, _)| self.arrival_rate(now, *rank));
        let (mut left, mut floor) = (total, total);
        for rate in rates.filter(|rate| *rate > 1.0 / WINDOW_S) {
            left -= rate;
            floor *= FLOOR;
        }
        let by_rank = (urgent + equal) as f64 / left.max(0.0);
        let by_floor = (equal + 1) as f64 / floor;
        let wait = if left > floor {
            by_rank.min(by_floor)
        } else {
            by_floor
        };
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn arrival_rate(&self, now: Instant, rank: u8) -> f64 {
        self.arrivals.get(&rank).map_or(0.0, |(at, rate)| {
            rate * (-now.saturating_duration_since(*at).as_secs_f64() / WINDOW_S).exp()
        })
    }
}

//! Differences of counters between two readings of an entry.

use std::collections::BTreeMap;

use crate::outcome::{Verdict, classify};
use crate::sample::{Bucket, Causes, Reading, Sample};

/// Requests that finished at one entry between two of its readings.
#[derive(Clone, Debug, PartialEq)]
pub struct Increment {
    /// Time of the earlier reading, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Time of the later reading, in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// Whether the entry restarted in between; requests between the earlier reading and the restart are not counted.
    pub restarted: bool,
    /// Counts by class.
    pub classes: BTreeMap<String, Counts>,
}

/// Counts of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Finished requests by cause.
    pub causes: Causes,
    /// Histogram of times to the first byte.
    pub buckets: Vec<Bucket>,
}

/// Requests that count towards an objective, and those among them that miss it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Requests that count towards the objective.
    pub total: u64,
    /// Requests that consume the error budget, at most `total`.
    pub bad: u64,
}

impl Increment {
    /// Returns the increments of one entry; `samples` must be sorted by time.
    ///
    /// An increment spans failed samples between its readings. Of two readings with the same time, the second is
    /// ignored.
    pub fn from_samples(samples: &[&Sample]) -> Vec<Self> {
        let mut increments = Vec::new();
        let mut last: Option<(u64, &Reading)> = None;
        for sample in samples {
            let Some(reading) = sample.reading() else {
                continue;
            };
            match last {
                Some((time_ms, _)) if time_ms == sample.time_ms => continue,
                Some((time_ms, old)) => {
                    increments.push(Self::between(time_ms, old, sample.time_ms, reading));
                }
                None => {}
            }
            last = Some((sample.time_ms, reading));
        }
        increments
    }

    fn between(from_ms: u64, old: &Reading, to_ms: u64, new: &Reading) -> Self {
        let restarted = has_restarted(old, new);
        let empty = Reading::default();
        let old = if restarted { &empty } else { old };
        let mut classes: BTreeMap<String, Counts> = BTreeMap::new();
        for (class, causes) in &new.requests {
            let before = |cause| cause_count(old.requests.get(class), cause);
            classes.entry(class.clone()).or_default().causes = causes
                .iter()
                .map(|(cause, count)| (cause.clone(), count.saturating_sub(before(cause))))
                .collect();
        }
        for (class, buckets) in &new.first_byte {
            let before = |bound| bucket_count(old.first_byte.get(class), bound);
            classes.entry(class.clone()).or_default().buckets = buckets
                .iter()
                .map(|Bucket { bound, count }| Bucket {
                    bound: *bound,
                    count: count.saturating_sub(before(*bound)),
                })
                .collect();
        }
        Self {
            from_ms,
            to_ms,
            restarted,
            classes,
        }
    }

    /// Returns whether the increment is counted in the window `(start_ms, end_ms]`: its midpoint and its end lie within
    /// the window.
    ///
    /// Counters don't show when a request finished within an increment, so an increment is counted entirely or not at
    /// all. A long one, across a time when the entry was unreachable, is therefore counted in long windows only.
    pub fn is_in_window(&self, start_ms: u64, end_ms: u64) -> bool {
        let twice_midpoint = u128::from(self.from_ms) + u128::from(self.to_ms);
        twice_midpoint > 2 * u128::from(start_ms) && self.to_ms <= end_ms
    }

    /// Returns how much of the increment lies after `start_ms`, in milliseconds.
    pub fn overlap_ms(&self, start_ms: u64) -> u64 {
        self.to_ms.saturating_sub(self.from_ms.max(start_ms))
    }
}

impl Counts {
    /// Returns the tally of the objective `answered`.
    pub fn answered(&self) -> Tally {
        let mut tally = Tally::default();
        for (cause, count) in &self.causes {
            match classify(cause) {
                Verdict::Good => tally.total += count,
                Verdict::Bad => tally.add(Tally {
                    total: *count,
                    bad: *count,
                }),
                Verdict::Excluded => {}
            }
        }
        tally
    }

    /// Returns the tally of the objective `within`: answers must start within `within_ms`.
    ///
    /// `within_ms` is rounded down to a bucket bound of the histogram; answers between the two count as late.
    pub fn within(&self, within_ms: u64) -> Tally {
        let total = bucket_count(Some(&self.buckets), None);
        let bound = highest_bound(&self.buckets, within_ms);
        let in_time = bound.map_or(0, |bound| bucket_count(Some(&self.buckets), Some(bound)));
        Tally {
            total,
            bad: total.saturating_sub(in_time),
        }
    }
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad).min(self.total);
    }
}

/// Returns the highest bucket bound that does not exceed `within_ms`, in seconds.
pub fn highest_bound(buckets: &[Bucket], within_ms: u64) -> Option<f64> {
    let bounds = buckets.iter().filter_map(|bucket| bucket.bound);
    bounds
        .filter(|bound| bound * 1000.0 <= within_ms as f64 + 1e-6)
        .max_by(f64::total_cmp)
}

/// Returns whether the entry restarted: its start time changed, or a counter decreased or disappeared.
pub fn has_restarted(old: &Reading, new: &Reading) -> bool {
    let start_changed =
        old.started.is_some() && new.started.is_some() && old.started != new.started;
    let mut causes = old.requests.iter().flat_map(|(class, causes)| {
        let new = new.requests.get(class);
        causes
            .iter()
            .map(move |(cause, old)| (old, cause_count(new, cause)))
    });
    let mut buckets = old.first_byte.iter().flat_map(|(class, buckets)| {
        let new = new.first_byte.get(class);
        buckets
            .iter()
            .map(move |old| (old.count, bucket_count(new, old.bound)))
    });
    start_changed || causes.any(|(old, new)| new < *old) || buckets.any(|(old, new)| new < old)
}

fn cause_count(causes: Option<&Causes>, cause: &str) -> u64 {
    causes
        .and_then(|causes| causes.get(cause).copied())
        .unwrap_or(0)
}

fn bucket_count(buckets: Option<&Vec<Bucket>>, bound: Option<f64>) -> u64 {
    let mut buckets = buckets.into_iter().flatten();
    let bucket = buckets.find(|bucket| bucket.bound == bound);
    bucket.map_or(0, |bucket| bucket.count)
}

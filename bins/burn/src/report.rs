//! Computes budgets, burn rates and alerts from samples.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::{Class, Objective};
use serde::Serialize;

use crate::increment::{self, Counts, Increment, Tally};
use crate::sample::{Causes, Observation, Sample};
use crate::window::WindowPair;

/// Minimum budget that rates are computed with: an objective of 1 leaves a budget of 0, and a rate must stay finite.
const MIN_BUDGET: f64 = 1e-9;

/// Parameters of a report.
#[derive(Clone, Debug)]
pub struct ReportConfig {
    /// Classes with their objectives.
    pub classes: Vec<Class>,
    /// Entries given by the operator; entries that occur in samples are added.
    pub entries: Vec<String>,
    /// Window pairs to evaluate for alerts.
    pub pairs: Vec<WindowPair>,
    /// Period over which budget consumption is reported.
    pub period: Duration,
}

/// Error budget burn of all objectives at a point in time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Time of the report, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Whether a pair of windows raises an alert.
    pub alert: bool,
    /// All entries, given by the operator or found in the samples.
    pub entries: Vec<String>,
    /// Entries with a failed sample in the longest window of any pair, or without an increment in the shortest.
    pub unreached: Vec<Unreached>,
    /// Restarts detected in the period, by entry.
    pub restarts: BTreeMap<String, usize>,
    /// Burn of each objective, ordered by rank and name of its class.
    pub objectives: Vec<Burn>,
    /// Finished requests of the period, by class and cause, including those that count towards no objective.
    pub causes: BTreeMap<String, Causes>,
}

/// An entry whose requests are missing from some window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Unreached {
    /// Address of the entry.
    pub entry: String,
    /// Failed samples in the longest window.
    pub failed: usize,
    /// All samples in the longest window.
    pub samples: usize,
    /// Error of the latest failed sample.
    pub error: Option<String>,
    /// Time of the latest reading, in milliseconds since the Unix epoch.
    pub last_read_ms: Option<u64>,
}

/// Burn of one objective.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Burn {
    /// Name of the class.
    pub class: String,
    /// Kind of the objective.
    pub kind: Kind,
    /// Target share of good requests, 0 to 1.
    pub objective: f64,
    /// Error budget: share of requests that may miss the objective.
    pub budget: f64,
    /// Target time to the first byte, in milliseconds; only for [`Kind::Within`].
    pub within_ms: Option<u64>,
    /// Bucket bound used in place of `within_ms`, in seconds; only for [`Kind::Within`].
    ///
    /// `None` if some entry's histogram has no bound at or below `within_ms`, or if there is no histogram.
    pub measured_s: Option<f64>,
    /// Requests of the period; its `burn` is the consumed share of the budget, above 1 if the budget is exceeded.
    pub period: Window,
    /// Burn in each window pair.
    pub pairs: Vec<PairBurn>,
}

/// Kind of an objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Share of requests that are answered.
    Answered,
    /// Share of answers that start within a time.
    Within,
}

/// Burn in a pair of windows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct PairBurn {
    /// Whether the burn rate exceeds `rate` in both windows.
    pub alert: bool,
    /// Burn rate that both windows must exceed to raise an alert.
    pub rate: f64,
    /// The short window.
    pub fast: Window,
    /// The long window.
    pub slow: Window,
}

/// Burn in a window that ends at the time of the report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Window {
    /// Length in seconds.
    pub seconds: u64,
    /// Requests that count towards the objective.
    pub requests: u64,
    /// Requests that miss the objective.
    pub missed: u64,
    /// Burn rate: share of missed requests divided by the budget; `None` without requests.
    pub burn: Option<f64>,
    /// Share of the window covered by readings, 0 to 1; the minimum over all entries.
    pub covered: f64,
    /// Entries with a failed sample or no increment in the window; some or all of their requests are not counted.
    pub missing: Vec<String>,
}

/// Samples and increments by entry, evaluated as of `now_ms`.
struct Evaluation<'a> {
    now_ms: u64,
    entries: BTreeMap<&'a str, (Vec<&'a Sample>, Vec<Increment>)>,
}

impl Report {
    /// Computes the report from `samples` as of `now_ms`, in milliseconds since the Unix epoch; later samples are
    /// ignored.
    ///
    /// The order of samples, entries and classes doesn't matter.
    pub fn new(config: &ReportConfig, samples: &[Sample], now_ms: u64) -> Self {
        let evaluation = Evaluation::new(config, samples, now_ms);
        let objectives: Vec<Burn> = objectives(config)
            .into_iter()
            .map(|(class, kind)| evaluation.burn(config, class, kind))
            .collect();
        Self {
            time_ms: now_ms,
            alert: objectives
                .iter()
                .any(|burn| burn.pairs.iter().any(|pair| pair.alert)),
            entries: evaluation.entries.keys().map(ToString::to_string).collect(),
            unreached: evaluation.unreached(config),
            restarts: evaluation.count_restarts(config.period),
            objectives,
            causes: evaluation.sum_causes(config.period),
        }
    }

    /// Returns the burn rates of each objective in windows of length `window` that end at `times`.
    ///
    /// The objectives are in the order of [`Report::objectives`].
    pub fn burn_rates(
        config: &ReportConfig,
        samples: &[Sample],
        window: Duration,
        times: &[u64],
    ) -> Vec<Vec<Option<f64>>> {
        let last = times.iter().copied().max().unwrap_or(0);
        let mut evaluation = Evaluation::new(config, samples, last);
        let mut burn_rates = Vec::new();
        for (class, kind) in objectives(config) {
            let budget = 1.0 - kind.objective(&class.objective);
            let burns = times.iter().map(|time| {
                evaluation.now_ms = *time;
                evaluation.window(window, class, kind, budget).burn
            });
            burn_rates.push(burns.collect());
        }
        burn_rates
    }
}

/// Returns the objectives, ordered by rank and name of their classes.
fn objectives(config: &ReportConfig) -> Vec<(&Class, Kind)> {
    let mut classes: Vec<&Class> = config.classes.iter().collect();
    classes.sort_by(|one, other| (one.rank, &one.name).cmp(&(other.rank, &other.name)));
    classes
        .into_iter()
        .flat_map(|class| [(class, Kind::Answered), (class, Kind::Within)])
        .collect()
}

impl Kind {
    fn objective(self, objective: &Objective) -> f64 {
        match self {
            Self::Answered => objective.answered,
            Self::Within => objective.within,
        }
    }

    fn tally(self, counts: &Counts, objective: &Objective) -> Tally {
        match self {
            Self::Answered => counts.answered(),
            Self::Within => counts.within(objective.within_ms),
        }
    }
}

impl<'a> Evaluation<'a> {
    fn new(config: &'a ReportConfig, samples: &'a [Sample], now_ms: u64) -> Self {
        let mut by_entry: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
        for entry in &config.entries {
            by_entry.entry(entry).or_default();
        }
        for sample in samples.iter().filter(|sample| sample.time_ms <= now_ms) {
            by_entry.entry(&sample.entry).or_default().push(sample);
        }
        let entries = by_entry.into_iter().map(|(entry, mut samples)| {
            samples.sort_by(|one, other| one.cmp_by_time(other));
            let increments = Increment::from_samples(&samples);
            (entry, (samples, increments))
        });
        Self {
            now_ms,
            entries: entries.collect(),
        }
    }

    fn window_start(&self, window: Duration) -> u64 {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        self.now_ms.saturating_sub(window_ms)
    }

    fn burn(&self, config: &ReportConfig, class: &Class, kind: Kind) -> Burn {
        let objective = kind.objective(&class.objective);
        let budget = 1.0 - objective;
        let window = |length| self.window(length, class, kind, budget);
        let pairs = config.pairs.iter().map(|pair| {
            let (fast, slow) = (window(pair.fast), window(pair.slow));
            let exceeds = |window: &Window| window.burn.is_some_and(|burn| burn > pair.rate);
            PairBurn {
                alert: exceeds(&fast) && exceeds(&slow),
                rate: pair.rate,
                fast,
                slow,
            }
        });
        let is_within = kind == Kind::Within;
        Burn {
            class: class.name.clone(),
            kind,
            objective,
            budget,
            within_ms: is_within.then_some(class.objective.within_ms),
            measured_s: self.measured_bound(class).filter(|_| is_within),
            period: window(config.period),
            pairs: pairs.collect(),
        }
    }

    /// Returns the bucket bound that stands for the class's `within_ms`: the lowest over the entries' latest readings.
    ///
    /// Returns `None` if there is no histogram of the class, or if any has no bound at or below `within_ms`.
    fn measured_bound(&self, class: &Class) -> Option<f64> {
        let latest = self
            .entries
            .values()
            .filter_map(|(samples, _)| samples.iter().rev().find_map(|sample| sample.reading()));
        let buckets = latest.filter_map(|reading| reading.first_byte.get(&class.name));
        let bounds =
            buckets.map(|buckets| increment::highest_bound(buckets, class.objective.within_ms));
        let bounds: Option<Vec<f64>> = bounds.collect();
        bounds?.into_iter().min_by(f64::total_cmp)
    }

    fn window(&self, length: Duration, class: &Class, kind: Kind, budget: f64) -> Window {
        let start = self.window_start(length);
        let mut tally = Tally::default();
        let mut covered: f64 = if self.entries.is_empty() { 0.0 } else { 1.0 };
        let mut missing = Vec::new();
        for (entry, (samples, increments)) in &self.entries {
            let inside = increments
                .iter()
                .filter(|increment| increment.is_in_window(start, self.now_ms));
            let mut covered_ms = 0;
            for increment in inside {
                covered_ms += increment.overlap_ms(start);
                if let Some(counts) = increment.classes.get(&class.name) {
                    tally.add(kind.tally(counts, &class.objective));
                }
            }
            let failed = samples
                .iter()
                .any(|sample| sample.time_ms > start && sample.reading().is_none());
            if failed || covered_ms == 0 {
                missing.push((*entry).to_owned());
            }
            let share = covered_ms as f64 / (length.as_secs_f64() * 1000.0);
            covered = covered.min(share);
        }
        let missed_share = (tally.total > 0).then(|| tally.bad as f64 / tally.total as f64);
        Window {
            seconds: length.as_secs(),
            requests: tally.total,
            missed: tally.bad,
            burn: missed_share.map(|share| share / budget.max(MIN_BUDGET)),
            covered,
            missing,
        }
    }

    /// Returns the entries with a failed sample in the longest window of any pair or no increment in the shortest.
    fn unreached(&self, config: &ReportConfig) -> Vec<Unreached> {
        let fast = config.pairs.iter().map(|pair| pair.fast).min();
        let slow = config.pairs.iter().map(|pair| pair.slow).max();
        let (fast, slow) = (
            self.window_start(fast.unwrap_or(config.period)),
            self.window_start(slow.unwrap_or(config.period)),
        );
        let unreached = self
            .entries
            .iter()
            .filter_map(|(entry, (samples, increments))| {
                let recent = || samples.iter().filter(|sample| sample.time_ms > slow);
                let errors = recent().filter_map(|sample| match &sample.observation {
                    Observation::Error(error) => Some(error),
                    Observation::Reading(_) => None,
                });
                let errors: Vec<&String> = errors.collect();
                let counted = |increment: &Increment| increment.is_in_window(fast, self.now_ms);
                if errors.is_empty() && increments.iter().any(counted) {
                    return None;
                }
                let last = samples
                    .iter()
                    .rev()
                    .find(|sample| sample.reading().is_some());
                Some(Unreached {
                    entry: (*entry).to_owned(),
                    failed: errors.len(),
                    samples: recent().count(),
                    error: errors.last().map(ToString::to_string),
                    last_read_ms: last.map(|sample| sample.time_ms),
                })
            });
        unreached.collect()
    }

    fn increments_in(&self, length: Duration) -> impl Iterator<Item = (&str, &Increment)> {
        let start = self.window_start(length);
        self.entries
            .iter()
            .flat_map(move |(entry, (_, increments))| {
                let inside = increments
                    .iter()
                    .filter(move |increment| increment.is_in_window(start, self.now_ms));
                inside.map(|increment| (*entry, increment))
            })
    }

    fn count_restarts(&self, period: Duration) -> BTreeMap<String, usize> {
        let mut restarts = BTreeMap::new();
        for (entry, _) in self.increments_in(period).filter(|(_, one)| one.restarted) {
            *restarts.entry(entry.to_owned()).or_default() += 1;
        }
        restarts
    }

    fn sum_causes(&self, period: Duration) -> BTreeMap<String, Causes> {
        let mut sums: BTreeMap<String, Causes> = BTreeMap::new();
        for (class, counts) in self.increments_in(period).flat_map(|(_, one)| &one.classes) {
            for (cause, count) in counts.causes.iter().filter(|(_, count)| **count > 0) {
                let sum = sums.entry(class.clone()).or_default();
                *sum.entry(cause.clone()).or_default() += count;
            }
        }
        sums
    }
}

//! The report: budgets, burn rates and alerts.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::{Class, Objective};
use serde::Serialize;

use crate::increment::{self, Counts, Increment, Tally};
use crate::sample::{Causes, Observation, Sample};
use crate::window::Pair;

/// Least budget that rates are computed with: an objective of 1 leaves none, and a rate must stay finite.
const LEAST_BUDGET: f64 = 1e-9;

/// What a report is made of, besides samples and time.
#[derive(Clone, Debug)]
pub struct Question {
    /// Classes with their objectives.
    pub classes: Vec<Class>,
    /// Entries that the operator named; entries that occur in samples are added.
    pub entries: Vec<String>,
    /// Pairs of windows.
    pub pairs: Vec<Pair>,
    /// Time over which the share used of a budget is shown.
    pub period: Duration,
}

/// Burn of all objectives at one time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Time of the report, in milliseconds since 1970.
    pub time_ms: u64,
    /// Whether a pair of windows raises an alert.
    pub alert: bool,
    /// All entries, named by the operator or in the samples.
    pub entries: Vec<String>,
    /// Entries that were not reached at some time in the longest window, or have too few samples.
    pub unreached: Vec<Unreached>,
    /// Restarts seen in the period, by entry.
    pub restarts: BTreeMap<String, usize>,
    /// Objectives by class.
    pub objectives: Vec<Burn>,
    /// Ended requests of the period, by class and cause; also those that no objective counts.
    pub causes: BTreeMap<String, Causes>,
}

/// An entry whose requests are missing in some window.
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
    /// Time of the latest reading, in milliseconds since 1970.
    pub last_read_ms: Option<u64>,
}

/// Burn of one objective.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Burn {
    /// Name of the class.
    pub class: String,
    /// What is promised.
    pub kind: Kind,
    /// Share promised, 0 to 1.
    pub objective: f64,
    /// Share that may miss the objective.
    pub budget: f64,
    /// Time promised for the start of answers, in milliseconds; only for [`Kind::Within`].
    pub within_ms: Option<u64>,
    /// Bound of the histogram that stands for `within_ms`, in seconds; `None` when there is none at or below it.
    pub measured_s: Option<f64>,
    /// Requests of the period; its `burn` is the share used of their budget, above 1 when it is exceeded.
    pub period: Window,
    /// Pairs of windows.
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
    /// Whether both windows exceed the rate.
    pub alert: bool,
    /// Rate of the alert.
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
    /// Requests that count.
    pub requests: u64,
    /// Requests that miss the objective.
    pub missed: u64,
    /// Share missed divided by the budget; `None` without requests.
    pub burn: Option<f64>,
    /// Least part of the window that any entry's readings cover, 0 to 1.
    pub covered: f64,
    /// Entries with a failed sample or no count in the window: the figures lack some or all of their requests.
    pub missing: Vec<String>,
}

/// Samples by entry, with what they counted.
struct Entries<'a> {
    now_ms: u64,
    entries: BTreeMap<&'a str, (Vec<&'a Sample>, Vec<Increment>)>,
}

impl Report {
    /// Returns the report on `samples` at `now_ms`, in milliseconds since 1970; later samples are ignored.
    ///
    /// The order of samples, entries and classes doesn't matter.
    pub fn new(question: &Question, samples: &[Sample], now_ms: u64) -> Self {
        let entries = Entries::new(question, samples, now_ms);
        let objectives: Vec<Burn> = objectives(question)
            .into_iter()
            .map(|(class, kind)| entries.burn(question, class, kind))
            .collect();
        Self {
            time_ms: now_ms,
            alert: objectives
                .iter()
                .any(|burn| burn.pairs.iter().any(|pair| pair.alert)),
            entries: entries.entries.keys().map(ToString::to_string).collect(),
            unreached: entries.unreached(question),
            restarts: entries.restarts(question.period),
            objectives,
            causes: entries.causes(question.period),
        }
    }

    /// Returns the burn rate of each objective in a window of `window` that ends at each of `times`.
    ///
    /// The objectives are in the order of [`Report::objectives`].
    pub fn history(
        question: &Question,
        samples: &[Sample],
        window: Duration,
        times: &[u64],
    ) -> Vec<Vec<Option<f64>>> {
        let last = times.iter().copied().max().unwrap_or(0);
        let mut entries = Entries::new(question, samples, last);
        let mut histories = Vec::new();
        for (class, kind) in objectives(question) {
            let budget = 1.0 - kind.objective(&class.objective);
            let burns = times.iter().map(|time| {
                entries.now_ms = *time;
                entries.window(window, class, kind, budget).burn
            });
            histories.push(burns.collect());
        }
        histories
    }
}

/// Returns the objectives in the order of urgency of their classes.
fn objectives(question: &Question) -> Vec<(&Class, Kind)> {
    let mut classes: Vec<&Class> = question.classes.iter().collect();
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

impl<'a> Entries<'a> {
    fn new(question: &'a Question, samples: &'a [Sample], now_ms: u64) -> Self {
        let mut by_entry: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
        for entry in &question.entries {
            by_entry.entry(entry).or_default();
        }
        for sample in samples.iter().filter(|sample| sample.time_ms <= now_ms) {
            by_entry.entry(&sample.entry).or_default().push(sample);
        }
        let entries = by_entry.into_iter().map(|(entry, mut samples)| {
            samples.sort_by(|one, other| one.order(other));
            let increments = Increment::all(&samples);
            (entry, (samples, increments))
        });
        Self {
            now_ms,
            entries: entries.collect(),
        }
    }

    fn start(&self, window: Duration) -> u64 {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        self.now_ms.saturating_sub(window_ms)
    }

    fn burn(&self, question: &Question, class: &Class, kind: Kind) -> Burn {
        let objective = kind.objective(&class.objective);
        let budget = 1.0 - objective;
        let window = |length| self.window(length, class, kind, budget);
        let pairs = question.pairs.iter().map(|pair| {
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
            measured_s: self.measured(class).filter(|_| is_within),
            period: window(question.period),
            pairs: pairs.collect(),
        }
    }

    /// Returns the lowest bound that any entry's histogram offers for the class's time.
    fn measured(&self, class: &Class) -> Option<f64> {
        let latest = self
            .entries
            .values()
            .filter_map(|(samples, _)| samples.iter().rev().find_map(|sample| sample.reading()));
        let buckets = latest.filter_map(|reading| reading.first_byte.get(&class.name));
        let bounds = buckets.map(|buckets| increment::bound(buckets, class.objective.within_ms));
        let bounds: Option<Vec<f64>> = bounds.collect();
        bounds?.into_iter().min_by(f64::total_cmp)
    }

    fn window(&self, length: Duration, class: &Class, kind: Kind, budget: f64) -> Window {
        let start = self.start(length);
        let mut tally = Tally::default();
        let mut covered: f64 = if self.entries.is_empty() { 0.0 } else { 1.0 };
        let mut missing = Vec::new();
        for (entry, (samples, increments)) in &self.entries {
            let inside = increments
                .iter()
                .filter(|increment| increment.is_within(start, self.now_ms));
            let mut covered_ms = 0;
            for increment in inside {
                covered_ms += increment.overlap(start);
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
            let part = covered_ms as f64 / (length.as_secs_f64() * 1000.0);
            covered = covered.min(part);
        }
        let share = (tally.total > 0).then(|| tally.bad as f64 / tally.total as f64);
        Window {
            seconds: length.as_secs(),
            requests: tally.total,
            missed: tally.bad,
            burn: share.map(|share| share / budget.max(LEAST_BUDGET)),
            covered,
            missing,
        }
    }

    /// Returns the entries that any pair's window or the time since the latest reading lacks.
    fn unreached(&self, question: &Question) -> Vec<Unreached> {
        let fast = question.pairs.iter().map(|pair| pair.fast).min();
        let slow = question.pairs.iter().map(|pair| pair.slow).max();
        let (fast, slow) = (
            self.start(fast.unwrap_or(question.period)),
            self.start(slow.unwrap_or(question.period)),
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
                let counted = |increment: &Increment| increment.is_within(fast, self.now_ms);
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

    fn inside(&self, length: Duration) -> impl Iterator<Item = (&str, &Increment)> {
        let start = self.start(length);
        self.entries
            .iter()
            .flat_map(move |(entry, (_, increments))| {
                let inside = increments
                    .iter()
                    .filter(move |increment| increment.is_within(start, self.now_ms));
                inside.map(|increment| (*entry, increment))
            })
    }

    fn restarts(&self, period: Duration) -> BTreeMap<String, usize> {
        let mut restarts = BTreeMap::new();
        for (entry, _) in self.inside(period).filter(|(_, one)| one.restarted) {
            *restarts.entry(entry.to_owned()).or_default() += 1;
        }
        restarts
    }

    fn causes(&self, period: Duration) -> BTreeMap<String, Causes> {
        let mut sums: BTreeMap<String, Causes> = BTreeMap::new();
        for (class, counts) in self.inside(period).flat_map(|(_, one)| &one.classes) {
            for (cause, count) in counts.causes.iter().filter(|(_, count)| **count > 0) {
                let sum = sums.entry(class.clone()).or_default();
                *sum.entry(cause.clone()).or_default() += count;
            }
        }
        sums
    }
}

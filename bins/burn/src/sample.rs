//! Samples of entries' metrics.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An attempt to read an entry's metrics; one JSON line of a sample file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Sample {
    /// Time of the attempt, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Address of the entry's operator port.
    pub entry: String,
    /// Result of the attempt.
    #[serde(flatten)]
    pub observation: Observation,
}

/// Result of an attempt to read an entry's metrics.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Observation {
    /// The entry's counters.
    Reading(Reading),
    /// Why the entry could not be read.
    Error(String),
}

/// Counters of an entry since its start, summed over services and workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reading {
    /// Start time of the process in seconds since the Unix epoch, if the entry exports it.
    pub started: Option<f64>,
    /// Finished requests by class and cause.
    pub requests: BTreeMap<String, Causes>,
    /// Histogram of times to the first byte, by class.
    pub first_byte: BTreeMap<String, Vec<Bucket>>,
}

/// Finished requests by cause: `outcome` or `outcome/reason`, such as `answered` or `not-run/queue`.
pub type Causes = BTreeMap<String, u64>;

/// A cumulative bucket of a histogram.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Bucket {
    /// Upper bound in seconds; `None` for the `+Inf` bucket.
    pub bound: Option<f64>,
    /// Number of answers that started within the bound.
    pub count: u64,
}

impl Sample {
    /// Returns the counters, or `None` if the entry could not be read.
    pub fn reading(&self) -> Option<&Reading> {
        match &self.observation {
            Observation::Reading(reading) => Some(reading),
            Observation::Error(_) => None,
        }
    }

    /// Compares samples by time, then by content, so that the sorted order doesn't depend on the input order.
    pub fn cmp_by_time(&self, other: &Self) -> Ordering {
        let text = |sample: &Self| format!("{sample:?}");
        self.time_ms
            .cmp(&other.time_ms)
            .then_with(|| text(self).cmp(&text(other)))
    }
}

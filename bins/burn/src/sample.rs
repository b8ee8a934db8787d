//! What one entry said at one time.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An attempt to read an entry's metrics; one JSON line of a sample file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Sample {
    /// Time of the attempt, in milliseconds since 1970.
    pub time_ms: u64,
    /// Address of the entry's operator port.
    pub entry: String,
    /// What came of it.
    #[serde(flatten)]
    pub observation: Observation,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Observation {
    /// The counters that the entry showed.
    Reading(Reading),
    /// Why the entry could not be read.
    Error(String),
}

/// Counters of an entry since its start, summed over services and workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reading {
    /// Start of the process in seconds since 1970, if the entry tells it.
    pub started: Option<f64>,
    /// Ended requests by class and cause.
    pub requests: BTreeMap<String, Causes>,
    /// Times to the first byte by class.
    pub first_byte: BTreeMap<String, Vec<Bucket>>,
}

/// Ended requests by cause: an outcome, with `/` and its reason if it has one, such as `answered` or `not-run/queue`.
pub type Causes = BTreeMap<String, u64>;

/// A cumulative bucket of a histogram.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Bucket {
    /// Upper bound in seconds; `None` for the bucket of all answers.
    pub bound: Option<f64>,
    /// Answers that started within the bound.
    pub count: u64,
}

impl Sample {
    /// Returns the counters, or `None` when the entry was not reached.
    pub fn reading(&self) -> Option<&Reading> {
        match &self.observation {
            Observation::Reading(reading) => Some(reading),
            Observation::Error(_) => None,
        }
    }

    /// Orders samples by time; equal times are ordered by content, so that the order of input never matters.
    pub fn order(&self, other: &Self) -> Ordering {
        let text = |sample: &Self| format!("{sample:?}");
        self.time_ms
            .cmp(&other.time_ms)
            .then_with(|| text(self).cmp(&text(other)))
    }
}

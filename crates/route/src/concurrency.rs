//! The concurrency limit of a target, adapted to its answers.

use std::time::Instant;

/// Factor of a cut.
const DECREASE_FACTOR: f64 = 0.7;
/// Highest limit of a target whose service sets none.
const DEFAULT_CEILING: u32 = 1024;
/// First limit of a target whose service sets none.
const DEFAULT_INITIAL: u32 = 16;

/// A limit between 1 and a ceiling: additive increase, multiplicative decrease.
///
/// Until the first cut nothing speaks against the ceiling: the limit starts there, or where the catalogue gives none, at
/// [`INITIAL`] and rises with each answer.
#[derive(Clone, Copy, Debug)]
pub struct Concurrency {
    limit: f64,
    ceiling: f64,
    timely_answers: u32,
    last_decrease: Option<Instant>,
}

impl Concurrency {
    /// Returns the limit of a target whose service allows `per_target` requests.
    pub fn new(per_target: Option<u32>) -> Self {
        Self {
            limit: initial_limit(per_target),
            ceiling: ceiling(per_target),
            timely_answers: 0,
            last_decrease: None,
        }
    }

    /// Returns the number of requests that the target may have in progress.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the ceiling that the catalogue gives.
    ///
    /// A target is often known before the catalogue entry of its service.
    pub fn set_ceiling(&mut self, per_target: Option<u32>) {
        let ceiling = ceiling(per_target);
        if ceiling != self.ceiling {
            self.ceiling = ceiling;
            self.limit = match self.last_decrease {
                None => initial_limit(per_target),
                Some(_) => self.limit.min(ceiling),
            };
        }
    }

    /// Counts an answer that started in time; a full window of them raises the limit by one, before the first cut each.
    pub fn in_time(&mut self) {
        self.timely_answers += 1;
        if self.last_decrease.is_none() || self.timely_answers >= self.limit() {
            self.timely_answers = 0;
            self.limit = (self.limit + 1.0).min(self.ceiling);
        }
    }

    /// Cuts the limit after an overload or a timeout of a request sent at `sent`.
    ///
    /// Requests sent before the last cut were sent under the old limit and don't cut again.
    pub fn overloaded(&mut self, now: Instant, sent: Instant) {
        if self
            .last_decrease
            .is_some_and(|last_decrease| sent <= last_decrease)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.timely_answers = 0;
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}

fn initial_limit(per_target: Option<u32>) -> f64 {
    f64::from(per_target.unwrap_or(DEFAULT_INITIAL).max(1))
}

fn ceiling(per_target: Option<u32>) -> f64 {
    f64::from(per_target.unwrap_or(DEFAULT_CEILING).max(1))
}

//! The adaptive concurrency limit of a target.

use std::time::Instant;

/// Factor by which an overload lowers the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Ceiling for targets whose service sets none.
const DEFAULT_CEILING: u32 = 1024;
/// Initial limit for targets whose service sets no ceiling.
const DEFAULT_INITIAL: u32 = 16;

/// A limit between 1 and a ceiling, with additive increase and multiplicative decrease (AIMD).
///
/// Before the first overload there is no evidence for a lower limit, so it starts at the ceiling. Where the catalogue
/// sets no ceiling, it starts at [`DEFAULT_INITIAL`] and rises with each timely response.
#[derive(Clone, Copy, Debug)]
pub struct Concurrency {
    limit: f64,
    ceiling: f64,
    timely_answers: u32,
    last_decrease: Option<Instant>,
}

impl Concurrency {
    /// Returns the initial limit of a target whose service allows `per_target` concurrent requests.
    pub fn new(per_target: Option<u32>) -> Self {
        Self {
            limit: initial_limit(per_target),
            ceiling: ceiling(per_target),
            timely_answers: 0,
            last_decrease: None,
        }
    }

    /// Returns the number of requests that the target may have in progress at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the ceiling from the catalogue.
    ///
    /// The ceiling can change because a target is often discovered before the catalogue entry of its service.
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

    /// Counts a response that started in time.
    ///
    /// Before the first decrease every such response raises the limit by one, afterwards every full window of them
    /// does.
    pub fn record_in_time(&mut self) {
        self.timely_answers += 1;
        if self.last_decrease.is_none() || self.timely_answers >= self.limit() {
            self.timely_answers = 0;
            self.limit = (self.limit + 1.0).min(self.ceiling);
        }
    }

    /// Lowers the limit after an overload or a timeout of a request sent at `sent`.
    ///
    /// Requests sent before the last decrease were sent under the old limit and don't lower it again.
    pub fn record_overload(&mut self, now: Instant, sent: Instant) {
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

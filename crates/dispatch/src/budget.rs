//! Retry budget: limits retries and hedged attempts per entry.

use std::time::{Duration, Instant};

/// Share of the allowance that an entry spends. The bound is checked over sliding windows and all entries together, and
/// entries receive unequal shares of the traffic, so the rest is kept as a margin.
const ALLOWANCE_SHARE: f64 = 0.75;
/// Share of the constant part that can accumulate as a burst; the rest is refilled evenly over one window.
const BURST_SHARE: f64 = 0.6;

/// Bound on retries and hedged attempts, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per caller request.
    pub ratio: f64,
    /// Retries allowed per window in addition to `ratio`.
    pub extra_per_window: f64,
    /// Window that `extra_per_window` refers to.
    pub window: Duration,
}

/// Token bucket that limits retries to a share of the caller requests plus a constant rate.
///
/// Each entry keeps its own budget. The sum over all entries stays within the deployment's bound because each entry
/// earns tokens for its own requests only, and the constant part is divided by the number of entries. A new budget is
/// empty; otherwise entries that restart together would spend the constant part a second time.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: RetryLimit,
    refill_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Returns an empty budget for this entry's part of `bound`, which `entries` entries share.
    pub fn new(bound: RetryLimit, entries: usize, now: Instant) -> Self {
        let mut budget = Self {
            bound,
            refill_per_s: 0.0,
            capacity: 0.0,
            tokens: 0.0,
            refilled_at: now,
        };
        budget.set_entries(entries);
        budget
    }

    /// Sets the number of entries that the constant part is divided by.
    pub fn set_entries(&mut self, entries: usize) {
        let share = ALLOWANCE_SHARE * self.bound.extra_per_window / entries.max(1) as f64;
        self.refill_per_s =
            share * (1.0 - BURST_SHARE) / self.bound.window.as_secs_f64().max(0.001);
        self.capacity = (share * BURST_SHARE).max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Counts a caller request, which earns a share of a retry.
    pub fn record_request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + ALLOWANCE_SHARE * self.bound.ratio).min(self.capacity);
    }

    /// Takes one retry out of the budget; returns `false` if none is available.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.refill_per_s).min(self.capacity);
    }
}

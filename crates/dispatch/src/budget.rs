//! A budget for requests that are sent once more.

use std::time::{Duration, Instant};

/// Share of the allowance that is used: the bound is judged in sliding windows over all entries, whose shares of the
/// traffic differ.
const ALLOWANCE_SHARE: f64 = 0.75;
/// Share of the constant part that can be saved up; the rest comes back over a window.
const BURST_SHARE: f64 = 0.6;

/// Bound of repeated requests over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeats {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats besides, per window.
    pub extra: f64,
    /// Window of the repeats besides.
    pub window: Duration,
}

/// Limits repeated requests to a share of the first ones, plus a constant rate.
///
/// Every entry keeps a budget of its own. Their sum stays within the bound of the deployment because each gets its own
/// requests' share, and the constant part is divided by the number of entries. A new budget is empty: entries that all
/// restart would otherwise spend together what they had spent before.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Repeats,
    refill_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Returns an empty budget: this entry's part of `bound`, which `entries` share.
    pub fn new(bound: Repeats, entries: usize, now: Instant) -> Self {
        let mut budget = Self {
            bound,
            refill_per_s: 0.0,
            capacity: 0.0,
            tokens: 0.0,
            refilled_at: now,
        };
        budget.share(entries);
        budget
    }

    /// Divides the constant part by `entries`.
    pub fn share(&mut self, entries: usize) {
        let share = ALLOWANCE_SHARE * self.bound.extra / entries.max(1) as f64;
        self.refill_per_s =
            share * (1.0 - BURST_SHARE) / self.bound.window.as_secs_f64().max(0.001);
        self.capacity = (share * BURST_SHARE).max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Counts a request that a caller sent.
    pub fn request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + ALLOWANCE_SHARE * self.bound.ratio).min(self.capacity);
    }

    /// Takes a repeat out of the budget, and returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
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

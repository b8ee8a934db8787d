//! The retry budget of one workspace at one service.

use std::time::Instant;

/// Tokens added per answered request.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Tokens added per second.
const TOKENS_PER_SECOND: f64 = 1.0;
/// Capacity of the budget; it bounds how far back successes count as recent.
const MAX_TOKENS: f64 = 10.0;

/// Token bucket for retries: 10% of recent successes plus 1 per second.
///
/// ```
/// let now = std::time::Instant::now();
/// let mut budget = route::Budget::new(now);
/// assert!(budget.try_take(now));
/// assert!(!budget.try_take(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Returns a budget that allows one retry.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens of an answered request.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Withdraws a token for a retry, and returns whether one was available.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + passed * TOKENS_PER_SECOND).min(MAX_TOKENS);
        self.refilled_at = self.refilled_at.max(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

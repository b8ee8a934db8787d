//! Rate and concurrency limits, of which each entry enforces its share.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::Limits;

use crate::outcome::{Reason, Refusal};

/// Upper bound of the wait for a token; also the wait given to callers whose limit allows no requests at all.
const MAX_RATE_WAIT: Duration = Duration::from_secs(60);
/// Retry delay given to a caller that reached a concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A token bucket; its capacity is the number of tokens added per second, but at least one.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// One unit of a concurrency limit, released on drop.
#[derive(Debug)]
pub struct Permit(Rc<Cell<u32>>);

/// Current usage of the limits of one workspace, class or service.
#[derive(Debug)]
struct ScopeUsage {
    bucket: TokenBucket,
    in_progress: Rc<Cell<u32>>,
}

/// Current usage of all limits, by scope.
#[derive(Debug, Default)]
pub(crate) struct Limiter {
    usage: HashMap<String, ScopeUsage>,
}

/// Returns one entry's share of a system-wide limit, rounded up.
///
/// ```
/// assert_eq!(route::share_per_entry(120, 9), 14);
/// ```
pub fn share_per_entry(limit: u32, entries: u32) -> u32 {
    limit.div_ceil(entries.max(1))
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            tokens: bucket_capacity(rate),
            refilled_at: now,
        }
    }

    /// Refills the bucket up to `now`, and returns the time until it holds a token, zero when it does.
    pub fn time_until_token(&mut self, now: Instant, rate: f64) -> Duration {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(bucket_capacity(rate));
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        if rate <= 0.0 {
            return MAX_RATE_WAIT;
        }
        Duration::try_from_secs_f64((1.0 - self.tokens) / rate)
            .unwrap_or(MAX_RATE_WAIT)
            .min(MAX_RATE_WAIT)
    }

    /// Takes a token. The bucket must hold one, as a zero result of [`TokenBucket::time_until_token`] shows.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Permit {
    /// Acquires a unit of the limit whose usage is counted by `count`.
    pub(crate) fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Limiter {
    /// Acquires a token and a permit of every scope, or none when one of them is at its limit.
    ///
    /// The first scope is the caller's own; the reason of a refusal distinguishes its limits from those that callers
    /// share. The concurrency limit of the last scope, the service, is not checked: requests over it wait in the queue.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        entries: u32,
        scopes: &[(String, Limits)],
    ) -> Result<Vec<Permit>, Refusal> {
        let entry_rate = |rate: f64| rate / f64::from(entries.max(1));
        for (index, (scope, limits)) in scopes.iter().enumerate() {
            let (rate_reason, concurrency_reason) = match index {
                0 => (Reason::Rate, Reason::Concurrency),
                _ => (Reason::SharedRate, Reason::SharedConcurrency),
            };
            let rate = limits.rate_per_s.map(entry_rate);
            let usage = self
                .usage
                .entry(scope.clone())
                .or_insert_with(|| ScopeUsage {
                    bucket: TokenBucket::new(now, rate.unwrap_or(0.0)),
                    in_progress: Rc::default(),
                });
            if let Some(rate) = rate {
                let wait = usage.bucket.time_until_token(now, rate);
                if !wait.is_zero() {
                    return Err(Refusal::retry(rate_reason, wait));
                }
            }
            let limited_by_queue = index + 1 == scopes.len();
            if let Some(limit) = limits.concurrent
                && !limited_by_queue
                && usage.in_progress.get() >= share_per_entry(limit, entries)
            {
                return Err(Refusal::retry(concurrency_reason, CONCURRENCY_RETRY_AFTER));
            }
        }
        Ok(scopes
            .iter()
            .filter_map(|(scope, limits)| self.acquire(scope, limits))
            .collect())
    }

    /// Takes a token, where the scope has a rate limit, and a permit.
    fn acquire(&mut self, scope: &str, limits: &Limits) -> Option<Permit> {
        let usage = self.usage.get_mut(scope)?;
        if limits.rate_per_s.is_some() {
            usage.bucket.take_token();
        }
        Some(Permit::new(&usage.in_progress))
    }
}

/// Returns the number of tokens that a bucket of `rate` tokens per second holds at most.
fn bucket_capacity(rate: f64) -> f64 {
    rate.max(1.0)
}

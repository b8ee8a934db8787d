//! Exponential backoff between retries.

use std::time::Duration;

/// Exponential backoff: the delay doubles with each consecutive failure, up to a maximum.
///
/// ```
/// use std::time::Duration;
///
/// use node::Backoff;
///
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(300));
/// assert!(!backoff.is_failing());
/// let delays = [(); 3].map(|()| backoff.record_failure().as_millis());
/// assert_eq!(delays, [100, 200, 300]);
/// backoff.record_success();
/// assert_eq!(backoff.record_failure().as_millis(), 100);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    /// Delay after the last failure; `None` if the last call succeeded.
    last_delay: Option<Duration>,
}

impl Backoff {
    /// Returns a backoff whose delays start at `min_delay` and are limited to `max_delay`.
    pub fn new(min_delay: Duration, max_delay: Duration) -> Self {
        Self {
            min_delay,
            max_delay,
            last_delay: None,
        }
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.last_delay.is_some()
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        let delay = match self.last_delay {
            Some(last_delay) => (last_delay * 2).min(self.max_delay),
            None => self.min_delay,
        };
        self.last_delay = Some(delay);
        delay
    }

    /// Records a success, which resets the delay.
    pub fn record_success(&mut self) {
        self.last_delay = None;
    }
}

//! Decides when an agent reads from the store what entries usually send.

use std::time::{Duration, Instant};

/// Time after the start within which an entry should have sent what an agent needs.
const START_WAIT: Duration = Duration::from_millis(2500);
/// Range over which the first reads of agents that started together are spread.
const START_SPREAD: Duration = Duration::from_secs(2);
/// Time after which an agent that was told reads the store, because no entry has sent anything since.
const SILENCE: Duration = Duration::from_secs(12);
/// Range over which the reads of agents that entries stopped sending to together are spread.
const SILENCE_SPREAD: Duration = Duration::from_secs(24);
/// Minimum and maximum pause after a read; the pause doubles with each read until an entry sends something.
const PAUSES: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(32));

/// Schedule of an agent's reads of the configuration, which may be large.
///
/// All agents of a region share the link to the store. When entries can't send the configuration's part that agents need,
/// the link is usually overloaded or was just restored, so the agents must not all read the whole configuration then.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rollout::Fallback;
///
/// let now = Instant::now();
/// let mut fallback = Fallback::new(now, 0.0);
/// assert!(!fallback.is_due(now));
/// assert!(fallback.is_due(now + Duration::from_secs(3)));
/// fallback.record_told(now);
/// assert!(!fallback.is_due(now + Duration::from_secs(8)));
/// ```
#[derive(Clone, Debug)]
pub struct Fallback {
    /// Position of the agent in the ranges over which reads are spread, from 0 to 1.
    position: f64,
    due_at: Instant,
    pause: Duration,
}

impl Fallback {
    /// Returns the schedule of an agent that starts at `now`; `position` is its position among the agents, from 0 to 1.
    pub fn new(now: Instant, position: f64) -> Self {
        Self {
            position,
            due_at: now + START_WAIT + START_SPREAD.mul_f64(position),
            pause: PAUSES.0,
        }
    }

    /// Records that an entry that reaches the store sent what the agent needs, or that it was read.
    pub fn record_told(&mut self, now: Instant) {
        self.due_at = now + SILENCE + SILENCE_SPREAD.mul_f64(self.position);
        self.pause = PAUSES.0;
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self, now: Instant) {
        // Agents whose reads failed together, because the link was full, must not repeat them together.
        self.due_at = now + self.pause.mul_f64(1.0 + self.position);
        self.pause = (self.pause * 2).min(PAUSES.1);
    }

    /// Returns whether the agent should read the store.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }
}

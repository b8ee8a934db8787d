//! A link that carries one message after the other.

use std::time::Duration;

/// A link of a given rate.
pub struct Link {
    rate: f64,
    free_at: Duration,
    /// Bytes carried so far.
    pub bytes: usize,
}

impl Link {
    pub fn new(mbps: f64) -> Self {
        Self {
            rate: mbps * 125_000.0,
            free_at: Duration::ZERO,
            bytes: 0,
        }
    }

    pub fn set_rate(&mut self, mbps: f64) {
        self.rate = mbps * 125_000.0;
    }

    /// Returns the rate in bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns when a message that is ready at `now` has crossed the link.
    pub fn send(&mut self, now: Duration, bytes: usize) -> Duration {
        self.bytes += bytes;
        let start = self.free_at.max(now);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at
    }
}

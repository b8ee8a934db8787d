//! Limits the number of chunks that an agent receives concurrently.

/// Limits the number of response bodies that an agent receives concurrently from other agents.
///
/// Senders limit the load of their own links but don't know the receiver's. When many send concurrently, their chunks
/// queue at the receiver's link and delay the requests that share it; the narrower the link, the longer the delay. A
/// limit on the number of concurrent bodies, combined with the limit on the slice that each may have in flight, bounds
/// the queue in bytes at any link rate, without an estimate of that rate.
///
/// ```
/// use burst::ReceiveLimiter;
///
/// let mut limiter = ReceiveLimiter::new(1);
/// assert!(limiter.try_acquire());
/// assert!(!limiter.try_acquire());
/// limiter.release();
/// assert!(limiter.try_acquire());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReceiveLimiter {
    limit: usize,
    in_progress: usize,
}

impl ReceiveLimiter {
    /// Returns a limiter that allows `limit` concurrent bodies, at least one.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            in_progress: 0,
        }
    }

    /// Starts to receive a body and returns true, or returns false when the limit is reached.
    pub fn try_acquire(&mut self) -> bool {
        let acquired = self.in_progress < self.limit;
        self.in_progress += usize::from(acquired);
        acquired
    }

    /// Releases a body that ended, completely received or not.
    pub fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}

//! How many chunks an agent receives at once.

/// Limits what other agents send to this agent at once.
///
/// Senders know their own links, but not the receiver's. When many of them send at once, their chunks queue in front of the
/// receiver's link, and the requests that share the link wait behind them: the longer, the narrower the link is. An
/// intake lets a few bodies come at once. With the slice that each may have on its way, that bounds the queue by bytes,
/// whatever the link carries, and nothing has to be guessed about it.
///
/// ```
/// use burst::ReceiveLimiter;
///
/// let mut intake = ReceiveLimiter::new(1);
/// assert!(intake.try_acquire());
/// assert!(!intake.try_acquire());
/// intake.release();
/// assert!(intake.try_acquire());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReceiveLimiter {
    most: usize,
    bodies: usize,
}

impl ReceiveLimiter {
    /// Returns an intake that receives `most` bodies at once, at least one.
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            bodies: 0,
        }
    }

    /// Lets a body come, and returns whether it may: not while enough others do.
    pub fn try_acquire(&mut self) -> bool {
        let begins = self.bodies < self.most;
        self.bodies += usize::from(begins);
        begins
    }

    /// Notes that a body ended, whole or not.
    pub fn release(&mut self) {
        self.bodies = self.bodies.saturating_sub(1);
    }
}

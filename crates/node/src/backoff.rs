//! Pauses between failed calls.

use std::time::Duration;

/// The pause after each failure of a series: twice as long as the one before, within bounds.
///
/// ```
/// use std::time::Duration;
///
/// use node::Backoff;
///
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(300));
/// assert!(!backoff.is_failing());
/// let pauses = [(); 3].map(|()| backoff.fail().as_millis());
/// assert_eq!(pauses, [100, 200, 300]);
/// backoff.succeed();
/// assert_eq!(backoff.fail().as_millis(), 100);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    shortest: Duration,
    longest: Duration,
    /// Pause after the last failure, while the series goes on.
    pause: Option<Duration>,
}

impl Backoff {
    /// Returns a backoff without failures.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            pause: None,
        }
    }

    /// Tells whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.pause.is_some()
    }

    /// Takes a failure and returns the pause after it.
    pub fn fail(&mut self) -> Duration {
        let pause = match self.pause {
            Some(pause) => (pause * 2).min(self.longest),
            None => self.shortest,
        };
        self.pause = Some(pause);
        pause
    }

    /// Takes a success, which ends the series.
    pub fn succeed(&mut self) {
        self.pause = None;
    }
}

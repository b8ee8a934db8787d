//! Detects times in which a process did not run.

use std::time::Duration;

use crate::time::Uptime;

/// Time without a beat after which the process counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(300);
/// Time after a stall in which a process still reads what arrived during it.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Tells how long what a process reads may have waited for it.
///
/// A VM may be suspended, and a process may be stopped or get no processor time. What arrives meanwhile waits in its
/// sockets and looks new when it is read. A task of the process therefore calls [`Stalls::beat`] every
/// [`Stalls::INTERVAL`]; a longer gap between two beats is a stall.
///
/// ```
/// use std::time::Duration;
///
/// use node::Stalls;
///
/// let seconds = Duration::from_secs;
/// let mut stalls = Stalls::new(seconds(10));
/// assert_eq!(stalls.unread_time(seconds(10)), Duration::ZERO);
/// assert_eq!(stalls.unread_time(seconds(14)), seconds(4));
/// assert_eq!(stalls.beat(seconds(14)), Some(seconds(4)));
/// assert_eq!(stalls.unread_time(seconds(14)), seconds(4));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Stalls {
    last_beat: Uptime,
    last_stall: Option<Stall>,
}

/// Time from the last beat before a stall to the first one after it.
#[derive(Clone, Copy, Debug)]
struct Stall {
    start: Uptime,
    end: Uptime,
}

impl Stalls {
    /// Interval at which [`Stalls::beat`] must be called.
    pub const INTERVAL: Duration = Duration::from_millis(100);

    /// Returns a record without stalls that begins at `now`.
    pub const fn new(now: Uptime) -> Self {
        Self {
            last_beat: now,
            last_stall: None,
        }
    }

    /// Records that the process runs at `now`; returns the length of the stall that this ends, if there was one.
    pub fn beat(&mut self, now: Uptime) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_beat);
        let start = self.stall_start(now);
        let last_beat = std::mem::replace(&mut self.last_beat, now);
        if gap < MIN_STALL {
            return None;
        }
        self.last_stall = Some(Stall {
            start: start.unwrap_or(last_beat),
            end: now,
        });
        Some(gap)
    }

    /// Returns for how long at most something that is read at `now` has been there to be read. It is 0 if the process
    /// has been running.
    pub fn unread_time(&self, now: Uptime) -> Duration {
        let start = self.stall_start(now);
        start.map_or(Duration::ZERO, |start| now.saturating_sub(start))
    }

    /// Returns the start of the stall that lasts at `now` or whose backlog is read then.
    ///
    /// A stall that begins while the backlog of another one is read continues it.
    fn stall_start(&self, now: Uptime) -> Option<Uptime> {
        let recent = |at: Uptime| {
            let stall = self.last_stall?;
            (at.saturating_sub(stall.end) < BACKLOG_TIME).then_some(stall.start)
        };
        match now.saturating_sub(self.last_beat) < MIN_STALL {
            true => recent(now),
            false => recent(self.last_beat).or(Some(self.last_beat)),
        }
    }
}

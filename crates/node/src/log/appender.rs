//! Log output that never blocks and limits the rate of lines.

use std::fmt;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::event;

/// Length of the window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of lines of any level per window.
pub const MAX_LINES_PER_WINDOW: u32 = 250;
/// Maximum number of additional lines at level `warn` or `error` per window.
pub const MAX_URGENT_LINES_PER_WINDOW: u32 = 100;
/// Maximum length of a line in bytes; a pipe that polls as writable accepts this much without blocking.
pub const MAX_LINE_BYTES: usize = 4096;

/// Writes log lines to a file descriptor; drops lines above the limits and lines that the reader doesn't read in time.
///
/// Dropped lines are counted, and the count is logged once lines can be written again.
pub struct BoundedAppender<F> {
    file: F,
    encoder: PatternEncoder,
    state: Mutex<WindowState>,
}

struct WindowState {
    window_start: Instant,
    lines: u32,
    urgent_lines: u32,
    dropped: u64,
}

impl<F: AsFd> BoundedAppender<F> {
    /// Returns an output that writes lines to `file` in the log4rs pattern `pattern`.
    pub fn new(file: F, pattern: &str) -> Self {
        let state = WindowState {
            window_start: Instant::now(),
            lines: 0,
            urgent_lines: 0,
            dropped: 0,
        };
        Self {
            file,
            encoder: PatternEncoder::new(pattern),
            state: Mutex::new(state),
        }
    }

    /// Writes a line; returns `false` if the file isn't ready for writing or the line is too long.
    fn write(&self, record: &Record<'_>) -> bool {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        if self.encoder.encode(&mut line, record).is_err() || line.0.len() > MAX_LINE_BYTES {
            return false;
        }
        let mut poll_fds = [PollFd::new(&self.file, PollFlags::OUT)];
        let now = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let writable = poll(&mut poll_fds, Some(&now)).is_ok_and(|count| count > 0)
            && poll_fds[0].revents().contains(PollFlags::OUT);
        writable && rustix::io::write(&self.file, &line.0) == Ok(line.0.len())
    }

    /// Logs the number of lines dropped since the last such log line.
    fn log_dropped(&self, state: &mut WindowState) {
        if state.dropped == 0 {
            return;
        }
        let text = super::format_event(event::LINES_LEFT_OUT, &[("count", &state.dropped)]);
        let written = self.write(
            &Record::builder()
                .level(Level::Warn)
                .args(format_args!("{text}"))
                .build(),
        );
        if written {
            state.dropped = 0;
        }
    }
}

impl<F: AsFd + Send + Sync + 'static> Append for BoundedAppender<F> {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        // The counters remain usable after a panic in a thread that held the lock.
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        let now = Instant::now();
        if now.saturating_duration_since(state.window_start) >= WINDOW {
            state.window_start = now;
            state.lines = 0;
            state.urgent_lines = 0;
            self.log_dropped(&mut state);
        }
        let admitted = state.admit(record.level());
        if !admitted || !self.write(record) {
            state.dropped += 1;
        }
        Ok(())
    }

    fn flush(&self) {}
}

impl WindowState {
    /// Counts a line in the current window; returns `false` if it exceeds the limits.
    fn admit(&mut self, level: Level) -> bool {
        if self.lines < MAX_LINES_PER_WINDOW {
            self.lines += 1;
            return true;
        }
        let is_urgent = level <= Level::Warn && self.urgent_lines < MAX_URGENT_LINES_PER_WINDOW;
        self.urgent_lines += u32::from(is_urgent);
        is_urgent
    }
}

impl<F> fmt::Debug for BoundedAppender<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Output").finish_non_exhaustive()
    }
}

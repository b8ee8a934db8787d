//! The log's destination: it never blocks, and its volume is bounded.

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

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines of a window.
pub const MAX_LINES: u32 = 250;
/// Most lines of a window at the level `warn` or above, beside the others.
pub const MAX_URGENT_LINES: u32 = 100;
/// Longest line in bytes; a pipe that is ready takes as much without blocking.
pub const MAX_LINE: usize = 4096;

/// Writes lines to a file, and leaves out those above the bounds and those that the reader is too slow for.
///
/// What was left out is counted, and a line tells the count once lines can be written again.
pub struct Output<F> {
    file: F,
    encoder: PatternEncoder,
    state: Mutex<State>,
}

struct State {
    window: Instant,
    lines: u32,
    urgent: u32,
    left_out: u64,
}

impl<F: AsFd> Output<F> {
    /// Returns an output to `file` whose lines have the form `pattern`.
    pub fn new(file: F, pattern: &str) -> Self {
        let state = State {
            window: Instant::now(),
            lines: 0,
            urgent: 0,
            left_out: 0,
        };
        Self {
            file,
            encoder: PatternEncoder::new(pattern),
            state: Mutex::new(state),
        }
    }

    /// Writes a line, or returns `false` when the reader is too slow or the line too long.
    fn write(&self, record: &Record<'_>) -> bool {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        if self.encoder.encode(&mut line, record).is_err() || line.0.len() > MAX_LINE {
            return false;
        }
        let mut ready = [PollFd::new(&self.file, PollFlags::OUT)];
        let now = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let writable = poll(&mut ready, Some(&now)).is_ok_and(|ready| ready > 0)
            && ready[0].revents().contains(PollFlags::OUT);
        writable && rustix::io::write(&self.file, &line.0) == Ok(line.0.len())
    }

    /// Tells how many lines were left out since the last such line.
    fn tell_left_out(&self, state: &mut State) {
        if state.left_out == 0 {
            return;
        }
        let text = super::line(event::LINES_LEFT_OUT, &[("count", &state.left_out)]);
        let told = self.write(
            &Record::builder()
                .level(Level::Warn)
                .args(format_args!("{text}"))
                .build(),
        );
        if told {
            state.left_out = 0;
        }
    }
}

impl<F: AsFd + Send + Sync + 'static> Append for Output<F> {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        // A panic while the lock was held leaves counters that are still usable.
        let mut state = self.state.lock().unwrap_or_else(|error| error.into_inner());
        let now = Instant::now();
        if now.saturating_duration_since(state.window) >= WINDOW {
            state.window = now;
            state.lines = 0;
            state.urgent = 0;
            self.tell_left_out(&mut state);
        }
        let fits = state.take(record.level());
        if !fits || !self.write(record) {
            state.left_out += 1;
        }
        Ok(())
    }

    fn flush(&self) {}
}

impl State {
    /// Takes a place in the window, and returns whether there was one.
    fn take(&mut self, level: Level) -> bool {
        if self.lines < MAX_LINES {
            self.lines += 1;
            return true;
        }
        let urgent = level <= Level::Warn && self.urgent < MAX_URGENT_LINES;
        self.urgent += u32::from(urgent);
        urgent
    }
}

impl<F> fmt::Debug for Output<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Output").finish_non_exhaustive()
    }
}

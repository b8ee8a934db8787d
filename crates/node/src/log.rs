//! Structured log on standard output: one numbered event with fields per line.
//!
//! Logging never blocks: lines above the rate limit, and lines that the reader doesn't read in time, are dropped and
//! counted. A line has the form `TIME LEVEL PROCESS NUMBER NAME field=value …`; values with spaces are quoted.

use std::fmt::{self, Display, Write};

use log4rs::config::{Appender, Config, Logger, Root};

use crate::Event;

mod appender;

pub use appender::{
    BoundedAppender, MAX_LINE_BYTES, MAX_LINES_PER_WINDOW, MAX_URGENT_LINES_PER_WINDOW,
};

/// Environment variable with the minimum level that is logged; the default is `info`.
pub const LEVEL_VARIABLE: &str = "CAROBPORT_LOG";

/// Logs an event with fields.
///
/// ```
/// node::event!(node::event::STARTED, name = "example", pid = 7);
/// ```
#[macro_export]
macro_rules! event {
    ($event:expr $(, $field:ident = $value:expr)* $(,)?) => {
        $crate::log::log_event($event, &[$((stringify!($field), &$value)),*])
    };
}

/// Initializes the log of the process `name`; later calls have no effect.
pub fn start(name: &str) {
    let level = std::env::var(LEVEL_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(log::LevelFilter::Info);
    let pattern = format!("{{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)}} {{l}} {name} {{m}}{{n}}");
    let stdout = BoundedAppender::new(std::io::stdout(), &pattern);
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(stdout)))
        // tarpc logs each call at the level of this project's own events.
        .logger(Logger::builder().build("tarpc", level.min(log::LevelFilter::Warn)))
        .build(Root::builder().appender("stdout").build(level));
    if let Ok(config) = config {
        // Fails if a logger is already set; that one stays in use.
        let _ = log4rs::init_config(config);
    }
}

/// Logs `event` with `fields`; use the macro [`event!`](crate::event!).
pub fn log_event(event: Event, fields: &[(&str, &dyn Display)]) {
    if log::log_enabled!(event.level) {
        log::log!(event.level, "{}", EventLine { event, fields });
    }
}

/// Formats an event as in the log, without time, level and process.
pub fn format_event(event: Event, fields: &[(&str, &dyn Display)]) -> String {
    EventLine { event, fields }.to_string()
}

struct EventLine<'a> {
    event: Event,
    fields: &'a [(&'a str, &'a dyn Display)],
}

impl Display for EventLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.event.number, self.event.name)?;
        for (name, value) in self.fields {
            let value = value.to_string();
            let needs_no_quotes = !value.is_empty()
                && !value.contains(|c: char| c.is_whitespace() || c.is_control() || c == '"');
            f.write_char(' ')?;
            match needs_no_quotes {
                true => write!(f, "{name}={value}")?,
                false => write!(f, "{name}={value:?}")?,
            }
        }
        Ok(())
    }
}

//! Selects and prints the log lines that concern a request.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::line::Line;

/// Numbers of the events that concern a process as a whole: starts and stops, dropped log lines, draining, changes of
/// the configuration and of versions, and outages of the store.
const PROCESS_EVENTS: [u16; 9] = [100, 101, 102, 104, 200, 250, 251, 255, 256];

/// The lines about a request and related events, sorted by time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timeline {
    request: String,
    lines: Vec<Line>,
}

impl Timeline {
    /// Selects the lines with the request id `request`, and related lines without a request id.
    ///
    /// A line is related if its time is within `around` of a line of the request, and if it is about a target named in
    /// such a line or records an event that concerns a process of the request as a whole.
    ///
    /// Clocks of VMs differ, so the order of lines from different sources may not be the order of the events.
    pub fn new(request: &str, lines: &[Line], around: Duration) -> Self {
        let request_lines: Vec<&Line> = lines
            .iter()
            .filter(|line| line.field("request") == Some(request))
            .collect();
        let targets: BTreeSet<&str> = request_lines
            .iter()
            .flat_map(|line| ["target", "from", "to"].map(|name| line.field(name)))
            .flatten()
            .collect();
        let sources: BTreeSet<&str> = request_lines
            .iter()
            .map(|line| line.source.as_str())
            .collect();
        let is_near = |line: &Line| {
            let mut lines = request_lines.iter();
            lines.any(|other| line.time_difference(other) <= around)
        };
        let is_selected = |line: &Line| match line.field("request") {
            Some(id) => id == request,
            None => {
                let of_target = line
                    .field("target")
                    .is_some_and(|target| targets.contains(target));
                let of_process =
                    PROCESS_EVENTS.contains(&line.number) && sources.contains(line.source.as_str());
                (of_target || of_process) && is_near(line)
            }
        };
        let selected = lines.iter().filter(|line| is_selected(line));
        let mut selected: Vec<Line> = selected.cloned().collect();
        selected.sort_by_key(|line| line.time);
        Self {
            request: request.into(),
            lines: selected,
        }
    }

    /// Returns whether no line has the id of the request.
    pub fn is_empty(&self) -> bool {
        !self.lines.iter().any(|line| self.has_request_id(line))
    }

    /// Returns the lines, sorted by time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    fn has_request_id(&self, line: &Line) -> bool {
        line.field("request") == Some(&self.request)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines.iter().find(|line| self.has_request_id(line));
        let Some(first) = first else {
            return writeln!(f, "no line names the request {}", self.request);
        };
        for line in &self.lines {
            let ms = line.time.duration_since(first.time).as_millis();
            let mark = if self.has_request_id(line) { '*' } else { ' ' };
            write!(
                f,
                "{mark} {ms:>7} ms  {}  {} {}",
                line.source, line.number, line.name
            )?;
            for (name, value) in &line.fields {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

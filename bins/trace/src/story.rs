//! The lines that tell what became of a request.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::line::Line;

/// Events that tell what happened to a process as a whole: stops, configurations, versions, the store.
const GENERAL: [u16; 9] = [100, 101, 102, 104, 200, 250, 251, 255, 256];

/// Lines about a request and what happened around it, in the order of their times.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Story {
    request: String,
    lines: Vec<Line>,
}

impl Story {
    /// Returns the story of `request`: its own lines; those about the targets that they name, within `around` before the
    /// first and after the last one; and general events of the same processes in that time.
    ///
    /// Clocks of VMs differ, so lines of different sources may stand in another order than they happened in.
    pub fn new(request: &str, lines: &[Line], around: Duration) -> Self {
        let own: Vec<&Line> = lines
            .iter()
            .filter(|line| line.field("request") == Some(request))
            .collect();
        let targets: BTreeSet<&str> = own
            .iter()
            .flat_map(|line| ["target", "from", "to"].map(|name| line.field(name)))
            .flatten()
            .collect();
        let sources: BTreeSet<&str> = own.iter().map(|line| line.source.as_str()).collect();
        let near = |line: &Line| own.iter().any(|own| line.distance(own) <= around);
        let about = |line: &Line| match line.field("request") {
            Some(other) => other == request,
            None => {
                let target = line
                    .field("target")
                    .is_some_and(|target| targets.contains(target));
                let general =
                    GENERAL.contains(&line.number) && sources.contains(line.source.as_str());
                (target || general) && near(line)
            }
        };
        let mut told: Vec<Line> = lines.iter().filter(|line| about(line)).cloned().collect();
        told.sort_by_key(|line| line.time);
        Self {
            request: request.into(),
            lines: told,
        }
    }

    /// Tells whether no line names the request.
    pub fn is_empty(&self) -> bool {
        !self.lines.iter().any(|line| self.is_own(line))
    }

    /// Returns the lines in the order of their times.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    fn is_own(&self, line: &Line) -> bool {
        line.field("request") == Some(&self.request)
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines.iter().find(|line| self.is_own(line));
        let Some(first) = first else {
            return writeln!(f, "no line names the request {}", self.request);
        };
        for line in &self.lines {
            let ms = line.time.duration_since(first.time).as_millis();
            let mark = if self.is_own(line) { '*' } else { ' ' };
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

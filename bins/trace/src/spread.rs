//! Shows how a version of the configuration came into force at the entries.

use std::collections::BTreeMap;
use std::fmt;

use jiff::Timestamp;

use crate::line::Line;

/// Numbers of the events with which an entry logs that a configuration is in force, and that it has read one.
const IN_FORCE: u16 = 250;
const READ: [u16; 2] = [288, 290];

/// When a version of the configuration, or a newer one, came into force at each entry.
///
/// Times are those of the entries' VMs, whose clocks may differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spread {
    version: u64,
    arrivals: Vec<Arrival>,
    /// Entries at which it did not come into force, with the newest version that did.
    missing: Vec<(String, u64)>,
}

/// The begin of a version at an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Origin of the entry's log lines.
    pub entry: String,
    /// When the version came into force.
    pub time: Timestamp,
    /// The version, which may be a newer one than the version asked for.
    pub version: u64,
    /// Where the entry read it: `store`, or the address of another entry; empty if that was not logged.
    pub source: String,
    /// Milliseconds by which the version may have been written earlier, at most; empty if that was not logged.
    pub delay_ms: String,
}

impl Spread {
    /// Collects when `version` came into force from the log lines of entries.
    pub fn new(version: u64, lines: &[Line]) -> Self {
        let mut by_entry: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
        for line in lines {
            by_entry.entry(&line.source).or_default().push(line);
        }
        let mut spread = Self {
            version,
            arrivals: Vec::new(),
            missing: Vec::new(),
        };
        for (entry, lines) in by_entry {
            spread.add(entry, lines);
        }
        spread.arrivals.sort_by_key(|arrival| arrival.time);
        spread
    }

    /// Returns the entries at which the version came into force, in this order.
    pub fn arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    fn add(&mut self, entry: &str, mut lines: Vec<&Line>) {
        lines.sort_by_key(|line| line.time);
        let mut read = None;
        let mut newest = None;
        for line in lines {
            if READ.contains(&line.number) && line.field("kind") == Some("config") {
                read = Some(line);
            }
            let Some(version) = version_in_force(line) else {
                continue;
            };
            newest = newest.max(Some(version));
            if version >= self.version {
                let field = |name| read.and_then(|read| read.field(name)).unwrap_or_default();
                self.arrivals.push(Arrival {
                    entry: entry.to_owned(),
                    time: line.time,
                    version,
                    source: field("source").to_owned(),
                    delay_ms: field("delay_ms").to_owned(),
                });
                return;
            }
        }
        self.missing
            .extend(newest.map(|newest| (entry.to_owned(), newest)));
    }
}

/// Returns the version that the line says is in force.
fn version_in_force(line: &Line) -> Option<u64> {
    (line.number == IN_FORCE).then(|| line.field("version")?.parse().ok())?
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.arrivals.first() else {
            return writeln!(f, "version {} came into force nowhere", self.version);
        };
        let ms = |arrival: &Arrival| arrival.time.duration_since(first.time).as_millis();
        let count = self.arrivals.len();
        let (middle, last) = (&self.arrivals[count / 2], &self.arrivals[count - 1]);
        writeln!(
            f,
            "version {} came into force at {count} of {} entries: first at {}, half after {} ms, all after {} ms",
            self.version,
            count + self.missing.len(),
            first.time,
            ms(middle),
            ms(last)
        )?;
        for arrival in &self.arrivals {
            let Arrival { entry, version, .. } = arrival;
            write!(f, "  {:>7} ms  {entry}  version={version}", ms(arrival))?;
            for (name, value) in [("source", &arrival.source), ("delay_ms", &arrival.delay_ms)] {
                if !value.is_empty() {
                    write!(f, " {name}={value}")?;
                }
            }
            writeln!(f)?;
        }
        for (entry, newest) in &self.missing {
            writeln!(f, "       never  {entry}  version={newest}")?;
        }
        Ok(())
    }
}

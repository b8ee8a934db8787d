//! Thins out old readings, so that a long sample file fits into memory.

use std::collections::HashMap;

use crate::Sample;
use crate::increment::restarted;

/// Least time between two old readings that are kept, in milliseconds; only windows as long as the period use them.
const SPACING_MS: u64 = 3_600_000;

/// Passes samples on in order of time and drops old readings between two others that show the same counts.
///
/// Counts between readings add up as long as the entry doesn't restart, so the readings on both sides of a restart are
/// kept, and so are failed samples.
pub struct Thinner {
    recent_ms: u64,
    kept: Vec<Sample>,
    entries: HashMap<String, Last>,
}

/// The latest reading of an entry.
struct Last {
    sample: Sample,
    /// Whether it was kept; it still may be, when the next reading shows a restart.
    is_kept: bool,
    kept_ms: u64,
}

impl Thinner {
    /// Returns a thinner that keeps all samples from `recent_ms` on, in milliseconds since 1970.
    pub fn new(recent_ms: u64) -> Self {
        Self {
            recent_ms,
            kept: Vec::new(),
            entries: HashMap::new(),
        }
    }

    /// Takes the next sample.
    pub fn push(&mut self, sample: Sample) {
        let Some(new) = sample.reading() else {
            self.kept.push(sample);
            return;
        };
        let (mut keeps, mut kept_ms) = (true, sample.time_ms);
        if let Some(last) = self.entries.remove(&sample.entry) {
            let is_break = last.sample.reading().is_some_and(|old| restarted(old, new))
                || sample.time_ms < last.sample.time_ms
                || sample.time_ms >= self.recent_ms;
            keeps = is_break || sample.time_ms - last.kept_ms >= SPACING_MS;
            if !keeps {
                kept_ms = last.kept_ms;
            }
            if is_break && !last.is_kept {
                self.kept.push(last.sample);
            }
        }
        if keeps {
            self.kept.push(sample.clone());
        }
        let last = Last {
            sample,
            is_kept: keeps,
            kept_ms,
        };
        self.entries.insert(last.sample.entry.clone(), last);
    }

    /// Returns the samples that were kept, with the latest reading of each entry; their order is not that of time.
    pub fn finish(mut self) -> Vec<Sample> {
        let rest = self.entries.into_values().filter(|last| !last.is_kept);
        self.kept.extend(rest.map(|last| last.sample));
        self.kept
    }
}

//! Downsampling of old readings, so that a long sample file fits into memory.

use std::collections::HashMap;

use crate::Sample;
use crate::increment::has_restarted;

/// Minimum time between two old readings that are kept, except around restarts, in milliseconds.
///
/// Readings are old if all alert windows start after them, so that only the period of the report uses them.
const MIN_SPACING_MS: u64 = 3_600_000;

/// Drops old readings whose counts are implied by the readings before and after them; expects samples in time order.
///
/// Counter differences add up as long as the entry doesn't restart, so the readings on both sides of a restart are
/// kept, as are failed samples.
pub struct Downsampler {
    recent_ms: u64,
    kept: Vec<Sample>,
    latest: HashMap<String, LatestReading>,
}

/// The latest reading of an entry.
struct LatestReading {
    sample: Sample,
    /// Whether the reading was already kept.
    ///
    /// If not, it is kept if the next reading shows a restart, is recent or goes back in time, or if none follows.
    is_kept: bool,
    /// Time of the last reading of the entry that was kept.
    last_kept_ms: u64,
}

impl Downsampler {
    /// Returns a downsampler that keeps all samples at or after `recent_ms`, in milliseconds since the Unix epoch.
    pub fn new(recent_ms: u64) -> Self {
        Self {
            recent_ms,
            kept: Vec::new(),
            latest: HashMap::new(),
        }
    }

    /// Adds the next sample.
    pub fn push(&mut self, sample: Sample) {
        let Some(new) = sample.reading() else {
            self.kept.push(sample);
            return;
        };
        let (mut is_kept, mut last_kept_ms) = (true, sample.time_ms);
        if let Some(last) = self.latest.remove(&sample.entry) {
            let must_keep = last
                .sample
                .reading()
                .is_some_and(|old| has_restarted(old, new))
                || sample.time_ms < last.sample.time_ms
                || sample.time_ms >= self.recent_ms;
            is_kept = must_keep || sample.time_ms - last.last_kept_ms >= MIN_SPACING_MS;
            if !is_kept {
                last_kept_ms = last.last_kept_ms;
            }
            if must_keep && !last.is_kept {
                self.kept.push(last.sample);
            }
        }
        if is_kept {
            self.kept.push(sample.clone());
        }
        let last = LatestReading {
            sample,
            is_kept,
            last_kept_ms,
        };
        self.latest.insert(last.sample.entry.clone(), last);
    }

    /// Returns the kept samples and the latest reading of each entry, in no particular order.
    pub fn finish(mut self) -> Vec<Sample> {
        let rest = self.latest.into_values().filter(|last| !last.is_kept);
        self.kept.extend(rest.map(|last| last.sample));
        self.kept
    }
}

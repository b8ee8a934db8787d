//! Slots as their owner sees them.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::Claim;

/// Number of closed intervals of a slot whose keys a live process still answers for.
const PAST_LIMIT: usize = 4;

/// What a process knows about a slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slot {
    pub(crate) current: Option<Interval>,
    pub(crate) past: Vec<Interval>,
    pub(crate) vacant_since: Option<Duration>,
    /// Lowest time above the issue times of all keys that ran.
    ran: u64,
    /// Number of keys in progress by their issue times.
    running: BTreeMap<u64, u32>,
}

/// An interval of issue times that the process owns, or owned.
#[derive(Clone, Debug)]
pub(crate) struct Interval {
    pub(crate) epoch: u64,
    /// First issue time that may run; at or above the table's.
    pub(crate) from: u64,
    /// End of the interval in the newest table seen.
    pub(crate) until: u64,
    /// Earliest end in writes that may take effect.
    pub(crate) promised: u64,
}

impl Slot {
    /// Returns the lowest time above the issue times of all keys that ran or may run to their end.
    pub(crate) fn started(&self) -> u64 {
        let running = self.running.last_key_value();
        running.map_or(self.ran, |(time, _)| self.ran.max(time + 1))
    }

    /// Takes note of a key that starts and was issued at `time`.
    pub(crate) fn start(&mut self, time: u64) {
        *self.running.entry(time).or_default() += 1;
    }

    /// Takes note of the end of a key in progress that was issued at `time`.
    pub(crate) fn finish(&mut self, time: u64, ran: bool) {
        if let Entry::Occupied(mut running) = self.running.entry(time) {
            *running.get_mut() -= 1;
            if *running.get() == 0 {
                running.remove();
            }
        }
        if ran {
            self.ran = self.ran.max(time + 1);
        }
    }

    /// Takes the claim as the newest table has it; `mine` tells whether it names this process.
    pub(crate) fn observe(&mut self, claim: &Claim, mine: bool) {
        match &mut self.current {
            Some(interval) if mine && interval.epoch == claim.epoch => {
                interval.until = claim.until_ms;
                interval.promised = u64::MAX;
                interval.from = interval.from.max(claim.from_ms);
                return;
            }
            _ => {}
        }
        if let Some(closed) = self.current.take() {
            // A promise stays with the closed interval: the newer table doesn't say where this epoch ended.
            self.past.push(closed);
            if self.past.len() > PAST_LIMIT {
                self.past.remove(0);
            }
        }
        if mine {
            self.vacant_since = None;
            self.current = Some(Interval {
                epoch: claim.epoch,
                from: claim.from_ms,
                until: claim.until_ms,
                promised: u64::MAX,
            });
        }
    }
}

impl Interval {
    /// Tells whether the owner may run keys issued at `time`.
    pub(crate) fn contains(&self, time: u64) -> bool {
        (self.from..self.until.min(self.promised)).contains(&time)
    }
}

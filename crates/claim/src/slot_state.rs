//! State of the slots at their owner.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::Claim;

/// Maximum number of closed intervals of a slot whose keys a live process still runs or answers.
const MAX_PAST_INTERVALS: usize = 4;

/// State of a slot in one process.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotState {
    pub(crate) current: Option<Interval>,
    pub(crate) past: Vec<Interval>,
    pub(crate) vacant_since: Option<Duration>,
    /// Lowest time above the issue times of all keys that ran; 0 if none did.
    ran_until: u64,
    /// Number of keys in progress for each issue time.
    running: BTreeMap<u64, u32>,
}

/// An interval of issue times that the process owns or owned.
#[derive(Clone, Debug)]
pub(crate) struct Interval {
    pub(crate) epoch: u64,
    /// First issue time that may run; at or after the start in the table.
    pub(crate) from: u64,
    /// End of the interval in the latest table observed.
    pub(crate) until: u64,
    /// Earliest end in planned writes that may have taken effect.
    pub(crate) promised_until: u64,
}

impl SlotState {
    /// Returns the lowest time above the issue times of all keys that ran or are in progress.
    pub(crate) fn started_until(&self) -> u64 {
        let running = self.running.last_key_value();
        running.map_or(self.ran_until, |(time, _)| self.ran_until.max(time + 1))
    }

    /// Records the start of a key that was issued at `time`.
    pub(crate) fn start(&mut self, time: u64) {
        *self.running.entry(time).or_default() += 1;
    }

    /// Records the end of a key in progress that was issued at `time`.
    pub(crate) fn finish(&mut self, time: u64, ran: bool) {
        if let Entry::Occupied(mut running) = self.running.entry(time) {
            *running.get_mut() -= 1;
            if *running.get() == 0 {
                running.remove();
            }
        }
        if ran {
            self.ran_until = self.ran_until.max(time + 1);
        }
    }

    /// Updates the state from the claim in the latest table. `is_own` is whether this process holds the claim.
    pub(crate) fn observe(&mut self, claim: &Claim, is_own: bool) {
        match &mut self.current {
            Some(interval) if is_own && interval.epoch == claim.epoch => {
                interval.until = claim.until_ms;
                interval.promised_until = u64::MAX;
                interval.from = interval.from.max(claim.from_ms);
                return;
            }
            _ => {}
        }
        if let Some(closed) = self.current.take() {
            // The promised end is kept, because the newer table doesn't contain the end of this epoch.
            self.past.push(closed);
            if self.past.len() > MAX_PAST_INTERVALS {
                self.past.remove(0);
            }
        }
        if is_own {
            self.vacant_since = None;
            self.current = Some(Interval {
                epoch: claim.epoch,
                from: claim.from_ms,
                until: claim.until_ms,
                promised_until: u64::MAX,
            });
        }
    }
}

impl Interval {
    /// Returns whether the owner may run keys issued at `time`.
    pub(crate) fn contains(&self, time: u64) -> bool {
        (self.from..self.until.min(self.promised_until)).contains(&time)
    }
}

//! The crashes for which a part is blamed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::evidence::{CrashReport, Evidence};
use crate::prompt::PartId;

/// Id of a crash: of one start of a target.
pub type CrashId = u64;

/// Number of crashes at which a part is quarantined. A single crash has many possible causes.
const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes at which a part that belongs to a single request is quarantined. A request that was beside a guilty
/// one several times, as its retries may be, looks the same.
const OWN_PART_CRASHES: usize = 5;
/// Number of crashes that are kept.
const MAX_CRASHES: usize = 8;
/// Length of a part's first quarantine; each further crash doubles it.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Time after a quarantine in which the part may be tried again; it is forgotten if no request with it comes.
const PROBATION: Duration = Duration::from_secs(600);
/// Time for which crashes are kept that are too few for a quarantine.
const SUSPICION: Duration = Duration::from_secs(60);
/// Time for which a part counts as cleared, so that late evidence of earlier crashes is ignored.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// Crashes for which a part is blamed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    crashes: BTreeMap<CrashId, Crash>,
    /// Crashes up to this time are no longer blamed on the part.
    cleared_at: Option<Instant>,
    /// When this process last sent a request to try the part again.
    pub(crate) probed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    pub(crate) at: Instant,
    /// The part that belongs to the request alone.
    pub(crate) own_part: PartId,
}

impl Record {
    /// Adds a crash; returns whether it was unknown and counts.
    pub(crate) fn add(&mut self, id: CrashId, crash: Crash) -> bool {
        let cleared = self.cleared_at.is_some_and(|at| crash.at <= at);
        if cleared || self.crashes.contains_key(&id) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            match oldest.map(|(id, oldest)| (*id, oldest.at)) {
                Some((oldest, at)) if at < crash.at => self.crashes.remove(&oldest),
                _ => return false,
            };
        }
        self.crashes.insert(id, crash);
        true
    }

    /// Drops the crashes up to `at`; returns whether there were any.
    pub(crate) fn clear(&mut self, at: Instant) -> bool {
        self.cleared_at = self.cleared_at.max(Some(at));
        let count = self.crashes.len();
        self.crashes.retain(|_, crash| crash.at > at);
        self.crashes.len() < count
    }

    /// Returns whether the crashes that `other` is not involved in are too few to blame this part.
    pub(crate) fn is_explained_by(&self, other: &Self) -> bool {
        let unexplained = self
            .crashes
            .keys()
            .filter(|id| !other.crashes.contains_key(id));
        other.crashes.len() > self.crashes.len() && unexplained.count() < QUARANTINE_CRASHES
    }

    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Returns the end of the quarantine of `part`, which this record is of, or `None` if its crashes are too few.
    ///
    /// If all crashes came from a single request and its retries, only the part of that request alone is to blame.
    pub(crate) fn quarantined_until(&self, part: PartId) -> Option<Instant> {
        if self.crashes.len() < QUARANTINE_CRASHES {
            return None;
        }
        let own_parts: BTreeSet<PartId> =
            self.crashes.values().map(|crash| crash.own_part).collect();
        let threshold = match own_parts.contains(&part) {
            true => OWN_PART_CRASHES,
            false if own_parts.len() == 1 => return None,
            false => QUARANTINE_CRASHES,
        };
        let further = self.crashes.len().checked_sub(threshold)?;
        let length = FIRST_QUARANTINE * (1 << further.min(MAX_CRASHES));
        Some(self.last_crash()? + length)
    }

    /// Returns when the record of `part` may be forgotten.
    pub(crate) fn expires_at(&self, part: PartId) -> Option<Instant> {
        let quarantine = self.quarantined_until(part).map(|until| until + PROBATION);
        let suspicion = self.last_crash().map(|last| last + SUSPICION);
        let cleared = self.cleared_at.map(|at| at + CLEARED_RETENTION);
        quarantine.max(suspicion).max(cleared)
    }

    /// Returns whether other processes should be told of the record again and again, because some may have missed it.
    pub(crate) fn is_significant(&self) -> bool {
        self.crashes.len() > 1 || self.cleared_at.is_some()
    }

    pub(crate) fn evidence(&self, now: Instant, part: PartId) -> Evidence {
        let age_ms = |at| {
            let age = now.saturating_duration_since(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let crashes = self.crashes.iter().map(|(id, crash)| CrashReport {
            crash: *id,
            own_part: crash.own_part,
            age_ms: age_ms(crash.at),
        });
        Evidence {
            part,
            crashes: crashes.collect(),
            cleared_ms: self.cleared_at.map(age_ms),
        }
    }
}

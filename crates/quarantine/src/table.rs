//! The parts that are blamed for crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::evidence::{CrashReport, Evidence};
use crate::prompt::{PartId, Prompt};
use crate::record::{Crash, CrashId, Record};
use crate::seat::{Seat, TURN};
use crate::survivors::Survivors;

/// Maximum number of parts with a record.
const MAX_RECORDS: usize = 256;
/// Time before a crash in which a part must have been survived to be innocent of it.
const INNOCENCE_TIME: Duration = Duration::from_secs(10);

/// The parts that are blamed for crashes, and those that targets survived recently.
///
/// ```
/// use std::time::Instant;
///
/// use quarantine::{Prompt, Quarantine};
///
/// let now = Instant::now();
/// let mut quarantine = Quarantine::default();
/// for request in 1..=3 {
///     quarantine.record_crash(now, request, &Prompt::new(vec![0xdead, request]));
/// }
/// let refusal = quarantine.admit(now, &Prompt::new(vec![0xdead, 4])).unwrap_err();
/// assert_eq!((refusal.part, refusal.crashes), (0xdead, 3));
/// assert!(quarantine.admit(now, &Prompt::new(vec![0xa0, 4])).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<PartId, Record>,
    survivors: Survivors,
    seat: Seat,
}

/// What an event changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Parts of which other processes must be told.
    pub parts: Vec<PartId>,
    /// Parts that are quarantined from now on.
    pub quarantined: Vec<PartId>,
    /// Parts that no longer are.
    pub released: Vec<PartId>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The part that is to blame.
    pub part: PartId,
    /// Number of crashes that are known of it.
    pub crashes: usize,
    /// Time since the last of them.
    pub last_crash: Duration,
    /// Time after which the part may be tried again.
    pub retry_after: Duration,
}

impl Quarantine {
    /// Sets the entry's place in the order in which entries may try a part again.
    pub fn set_seat(&mut self, seat: Seat) {
        self.seat = seat;
    }

    /// Returns the number of quarantined parts.
    pub fn len(&self) -> usize {
        self.quarantined_parts().len()
    }

    /// Returns whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a target crashed while a request with `prompt` was about to begin there, or had just begun.
    pub fn record_crash(&mut self, now: Instant, crash: CrashId, prompt: &Prompt) -> Changes {
        let Some(own_part) = prompt.own_part() else {
            return Changes::default();
        };
        self.change(now, |table, changed| {
            for part in prompt.parts() {
                let event = Crash { at: now, own_part };
                if !table.is_innocent(*part, now) {
                    table.update(*part, changed, |record| record.add(crash, event));
                }
            }
        })
    }

    /// Records that a target survived a request with `prompt`: it has been writing the answer for a while.
    pub fn record_survival(&mut self, now: Instant, prompt: &Prompt) -> Changes {
        for part in prompt.parts() {
            self.survivors.record(now, *part);
        }
        let mut parts = prompt.parts().iter();
        if !parts.any(|part| self.records.contains_key(part)) {
            return Changes::default();
        }
        self.change(now, |table, changed| {
            for part in prompt.parts() {
                if table.records.contains_key(part) {
                    table.update(*part, changed, |record| record.clear(now));
                }
            }
        })
    }

    /// Merges what another process knows.
    ///
    /// [`Changes::parts`] holds all parts whose record changed. An entry only has to tell others of those that it
    /// [refutes](Quarantine::refute).
    pub fn merge(&mut self, now: Instant, evidence: &[Evidence]) -> Changes {
        self.change(now, |table, changed| {
            for evidence in evidence {
                table.merge_part(now, evidence, changed);
            }
        })
    }

    /// Clears those of `parts` that this process knows to be innocent of the crashes for which they are blamed.
    pub fn refute(&mut self, now: Instant, parts: &[PartId]) -> Changes {
        self.change(now, |table, changed| {
            for part in parts {
                let last_crash = table.records.get(part).and_then(Record::last_crash);
                if let Some(at) = last_crash.filter(|at| table.is_innocent(*part, *at)) {
                    table.update(*part, changed, |record| record.clear(at));
                }
            }
        })
    }

    /// Returns why a request with `prompt` must not be sent, if one of its parts is quarantined.
    pub fn check(&self, now: Instant, prompt: &Prompt) -> Option<Refusal> {
        if self.records.is_empty() {
            return None;
        }
        let mut parts = prompt.parts().iter();
        parts.find_map(|part| {
            let (record, until) = self.quarantined(*part)?;
            (now < until).then(|| refusal(now, *part, record, until))
        })
    }

    /// Admits a new request with `prompt`; it may be the one that tries a part again after a quarantine.
    ///
    /// # Errors
    ///
    /// Fails if one of the parts is quarantined, or if another request is to try it first.
    pub fn admit(&mut self, now: Instant, prompt: &Prompt) -> Result<(), Refusal> {
        if self.records.is_empty() {
            return Ok(());
        }
        if let Some(refusal) = self.check(now, prompt) {
            return Err(refusal);
        }
        for part in prompt.parts() {
            let Some((record, until)) = self.quarantined(*part) else {
                continue;
            };
            let probed = record.probed_at.is_some_and(|at| now < at + TURN);
            let since = now.saturating_duration_since(until);
            if probed || !self.seat.has_turn(*part, since) {
                return Err(refusal(now, *part, record, now + TURN));
            }
        }
        for part in prompt.parts() {
            if self.quarantined(*part).is_some()
                && let Some(record) = self.records.get_mut(part)
            {
                record.probed_at = Some(now);
            }
        }
        Ok(())
    }

    /// Returns what this process knows of `parts`.
    pub fn evidence(&self, now: Instant, parts: impl IntoIterator<Item = PartId>) -> Vec<Evidence> {
        let known = parts.into_iter();
        let known = known.filter_map(|part| Some((part, self.records.get(&part)?)));
        known
            .map(|(part, record)| record.evidence(now, part))
            .collect()
    }

    /// Returns what a process that may have missed earlier evidence has to know.
    pub fn summary(&self, now: Instant) -> Vec<Evidence> {
        let records = self.records.iter();
        let significant = records.filter(|(_, record)| record.is_significant());
        significant
            .map(|(part, record)| record.evidence(now, *part))
            .collect()
    }

    /// Returns the record of `part` and the end of its quarantine if it is to blame, and not another one instead.
    fn quarantined(&self, part: PartId) -> Option<(&Record, Instant)> {
        let record = self.records.get(&part)?;
        let until = record.quarantined_until(part)?;
        let explained = self.records.iter().any(|(other, other_record)| {
            record.is_explained_by(other_record) && other_record.quarantined_until(*other).is_some()
        });
        (!explained).then_some((record, until))
    }

    fn quarantined_parts(&self) -> BTreeSet<PartId> {
        let parts = self.records.keys().copied();
        parts
            .filter(|part| self.quarantined(*part).is_some())
            .collect()
    }

    /// Returns whether a target survived `part` shortly before a crash at `at`, or since.
    fn is_innocent(&self, part: PartId, at: Instant) -> bool {
        let survived_at = self.survivors.last(part);
        survived_at.is_some_and(|survived_at| survived_at + INNOCENCE_TIME >= at)
    }

    /// Applies `change`, which adds the parts whose record it changed to its second argument.
    fn change(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut Self, &mut Vec<PartId>),
    ) -> Changes {
        let before = self.quarantined_parts();
        self.records
            .retain(|part, record| record.expires_at(*part).is_some_and(|at| now < at));
        let mut parts = Vec::new();
        change(self, &mut parts);
        let after = self.quarantined_parts();
        Changes {
            parts,
            quarantined: after.difference(&before).copied().collect(),
            released: before.difference(&after).copied().collect(),
        }
    }

    /// Applies `change` to the record of `part`, and adds it to `changed` if that returns `true`.
    fn update(
        &mut self,
        part: PartId,
        changed: &mut Vec<PartId>,
        change: impl FnOnce(&mut Record) -> bool,
    ) {
        if !self.records.contains_key(&part) && !self.make_room() {
            return;
        }
        if change(self.records.entry(part).or_default()) {
            changed.push(part);
        }
    }

    fn merge_part(&mut self, now: Instant, evidence: &Evidence, changed: &mut Vec<PartId>) {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let crash = |report: &CrashReport| {
            let (at, own_part) = (at(report.age_ms)?, report.own_part);
            Some((report.crash, Crash { at, own_part }))
        };
        let crashes: Vec<(CrashId, Crash)> = evidence.crashes.iter().filter_map(crash).collect();
        if crashes.is_empty() && !self.records.contains_key(&evidence.part) {
            return;
        }
        let cleared_at = evidence.cleared_ms.and_then(at);
        self.update(evidence.part, changed, |record| {
            let cleared = cleared_at.is_some_and(|at| record.clear(at));
            let added = crashes
                .into_iter()
                .filter(|(id, crash)| record.add(*id, *crash));
            added.count() > 0 || cleared
        });
    }

    /// Drops the least suspicious record if there are too many; returns whether there is room for another one.
    ///
    /// Quarantined parts stay, so that no flood of other parts releases them.
    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let records = self.records.iter();
        let others = records.filter(|(part, _)| self.quarantined(**part).is_none());
        let least = others.min_by_key(|(_, record)| (record.crash_count(), record.last_crash()));
        let least = least.map(|(part, _)| *part);
        least.is_some_and(|part| self.records.remove(&part).is_some())
    }
}

fn refusal(now: Instant, part: PartId, record: &Record, until: Instant) -> Refusal {
    let last_crash = record.last_crash();
    Refusal {
        part,
        crashes: record.crash_count(),
        last_crash: last_crash.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        retry_after: until.saturating_duration_since(now),
    }
}

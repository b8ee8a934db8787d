//! The process that owns slots.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::decision::{Decision, Reason};
use crate::held::Slot;
use crate::memory::{Memory, Outcome, State};
use crate::share::places;
use crate::table::{Claim, Holder, Table};
use crate::{RENEWAL, SLOTS, TERM, issued, millis, slot};

/// Time for which a slot that is handed over still runs new keys at its old owner.
///
/// The successor polls twice a second, so it has taken the slot before the old interval ends and no call is refused.
const HAND_OVER: Duration = Duration::from_secs(1);

/// Time between looks at the table while a slot is vacant or asked for.
const POLL: Duration = Duration::from_millis(500);

/// Head start of each agent before the next in order may take a vacant slot.
const HEAD_START: Duration = Duration::from_secs(2);

/// Time for which the backend takes no calls before the process gives up its slots.
///
/// A shorter outage, such as a restart of the backend, ends before the others could have taken them: the gate closes only
/// 2.5 s after the last connection. A longer time would not fit the 12 s within which keyed calls are answered again.
const GIVE_UP: Duration = Duration::from_secs(2);

/// Time for which the backend must have taken calls before the process asks others for the slots it should own.
///
/// Each hand-over refuses calls for a moment; a backend that fails again and again must not cause one each time.
const TAKE_BACK: Duration = Duration::from_secs(30);

/// A conditional update of the claim table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Revision that the write depends on; 0 when the object must not exist.
    pub base: u64,
    /// The new table.
    pub table: Table,
}

/// The claims and the memory of one process.
///
/// Before a write that ends an interval earlier is sent, the owner already keeps to the earlier end, because the write
/// may take effect although its answer is lost. A later end counts only after the table was seen with it. Each table
/// seen must carry the platform's revision: tables that aren't newer are ignored, and a newer one settles all writes
/// that were based on older revisions.
#[derive(Clone, Debug)]
pub struct Owner {
    holder: Holder,
    revision: Option<u64>,
    table: Table,
    slots: Vec<Slot>,
    memory: Memory,
    down: Vec<String>,
    /// Live agents and this one's place among them for each slot, kept because hashing 2,000 agents takes milliseconds.
    share: (Vec<String>, [usize; SLOTS as usize]),
    /// Time of the last plan.
    planned: Option<Duration>,
    stopping: bool,
    backend: Backend,
}

/// Whether the backend takes calls, and since when.
#[derive(Clone, Copy, Debug)]
enum Backend {
    /// It takes calls; no time for one that did so from the start.
    Open(Option<Duration>),
    Closed(Duration),
}

impl Owner {
    /// Returns the owner of no slot, for the process `instance` of the agent `name`.
    ///
    /// `instance` must be random: a process that starts with the number of an earlier one would take that one's claims
    /// for its own.
    pub fn new(name: &str, instance: u64) -> Self {
        Self {
            holder: Holder::new(name, instance),
            revision: None,
            table: Table::default(),
            slots: vec![Slot::default(); usize::from(SLOTS)],
            memory: Memory::default(),
            down: Vec::new(),
            share: (Vec::new(), [0; SLOTS as usize]),
            planned: None,
            stopping: false,
            backend: Backend::Open(None),
        }
    }

    /// Returns the bit set of the slots that the process owns, as reports carry it.
    pub fn slots(&self) -> u16 {
        let held = |index: &usize| self.slots[*index].current.is_some();
        (0..usize::from(SLOTS))
            .filter(held)
            .map(|index| 1 << index)
            .sum()
    }

    /// Returns the number of keys in progress.
    pub fn running(&self) -> usize {
        self.memory.running()
    }

    /// Returns the size of the stored answers, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.memory.stored_bytes()
    }

    /// Tells whether a planned stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Tells whether a planned stop has given up all slots.
    pub fn is_released(&self) -> bool {
        self.stopping && self.slots.iter().all(|slot| slot.current.is_none())
    }

    /// Returns the time at which the table should be read and [`Owner::plan`] called again.
    pub fn due(&self, now: Duration) -> Duration {
        let Some(planned) = self.planned else {
            return now;
        };
        let gives_up = self.gives_up(now) && self.slots() != 0 && self.share.0.len() > 1;
        let claims = (0..SLOTS).map(|slot| self.table.claim(slot));
        // A closed backend's process takes no slot, so it need not look out for one.
        let unsettled = self.stopping
            || gives_up
            || self.is_open()
                && claims
                    .into_iter()
                    .any(|claim| claim.holder.is_none() || claim.wanted_by.is_some());
        let pause = if unsettled { POLL } else { RENEWAL };
        // A clock that was set back must not hold up the renewal.
        let next = (planned + pause).min(now + pause);
        let intervals = self.slots.iter().filter_map(|slot| slot.current.as_ref());
        let renewals = intervals
            .map(|interval| Duration::from_millis(interval.until).saturating_sub(TERM - RENEWAL));
        renewals.fold(next, Duration::min)
    }

    /// Takes a table as read, watched or written successfully, with its revision.
    ///
    /// An object that doesn't exist is the empty table at revision 0.
    pub fn observe(&mut self, revision: u64, table: &Table) {
        if self.revision.is_some_and(|seen| revision <= seen) {
            return;
        }
        self.revision = Some(revision);
        self.table = table.clone();
        for (slot, index) in self.slots.iter_mut().zip(0..SLOTS) {
            let claim = table.claim(index);
            slot.observe(claim, claim.holder.as_ref() == Some(&self.holder));
        }
    }

    /// Gives up all slots in the next writes and takes none again.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes note of whether the backend takes calls.
    ///
    /// While it doesn't, no key starts and no slot is taken. After 2 s of it the slots are given up when other agents of
    /// the service are live. Vacant slots are taken as soon as it takes calls again; slots of others are asked for once
    /// it has done so for 30 s.
    pub fn set_open(&mut self, open: bool, now: Duration) {
        match (self.backend, open) {
            (Backend::Open(_), false) => self.backend = Backend::Closed(now),
            (Backend::Closed(_), true) => self.backend = Backend::Open(Some(now)),
            // A clock that was set back starts the wait anew.
            (Backend::Closed(since), false) => self.backend = Backend::Closed(since.min(now)),
            (Backend::Open(since), true) => {
                self.backend = Backend::Open(since.map(|since| since.min(now)));
            }
        }
    }

    /// Returns the next write of the table, if one is due.
    ///
    /// `live` are the agents of the service that take work, this one included; `down` those that are known to be down.
    /// Call it after each reading of the table. Once it returned a write, the owner keeps to it whether or not the
    /// write succeeds; a refused write or a lost answer needs only another reading.
    pub fn plan(&mut self, now: Duration, live: &[String], down: &[String]) -> Option<Write> {
        self.down = down.to_vec();
        if self.share.0 != live {
            self.share = (live.to_vec(), places(&self.holder.name, live));
        }
        let base = self.revision?;
        self.forget(now);
        let gives_up = self.gives_up(now) && live.iter().any(|name| *name != self.holder.name);
        let renews = self.renews(now);
        let mut table = self.table.clone();
        for index in 0..SLOTS {
            self.plan_slot(&mut table, index, now, live, (renews, gives_up));
        }
        self.planned = Some(now);
        (table != self.table).then_some(Write { base, table })
    }

    /// Decides about a call with `key` of `workspace`.
    pub fn begin(&mut self, workspace: &str, key: Uuid, now: Duration) -> Decision {
        self.forget(now);
        match self.memory.get(workspace, key) {
            Some(State::Running) => return Decision::Wait,
            Some(State::Done(Some(answer))) => return Decision::Stored(Arc::clone(answer)),
            Some(State::Done(None)) => return Decision::Unknown(Reason::NotStored),
            None => {}
        }
        let Some(time) = issued(key).map(millis) else {
            return Decision::NotRun {
                reason: Reason::Malformed,
                retry_after: Duration::ZERO,
            };
        };
        let index = slot(workspace, key);
        let slot = &mut self.slots[usize::from(index)];
        let intervals = slot.current.iter_mut().chain(&mut slot.past);
        for interval in intervals {
            if interval.contains(time) {
                if matches!(self.backend, Backend::Closed(_)) {
                    return Decision::NotRun {
                        reason: Reason::Closed,
                        retry_after: Duration::from_secs(1),
                    };
                }
                slot.start(time);
                self.memory.start(workspace, key);
                return Decision::Run;
            }
        }
        self.refuse(index, time)
    }

    /// Records how a call ended that [`Owner::begin`] allowed to run.
    pub fn finish(&mut self, workspace: &str, key: Uuid, now: Duration, outcome: Outcome) {
        let ran = outcome != Outcome::NotRun;
        if !self.memory.finish(workspace, key, now, outcome) {
            return;
        }
        if let Some(time) = issued(key).map(millis) {
            self.slots[usize::from(slot(workspace, key))].finish(time, ran);
        }
    }

    fn plan_slot(
        &mut self,
        table: &mut Table,
        index: u8,
        now: Duration,
        live: &[String],
        (renews, gives_up): (bool, bool),
    ) {
        let open = self.is_open();
        let settled = self.is_settled(now);
        let claim = table.claim(index).clone();
        let slot = &mut self.slots[usize::from(index)];
        let started = slot.started();
        if let Some(interval) = &mut slot.current {
            slot.vacant_since = None;
            let ran = Duration::from_millis(started);
            let wanted = claim
                .wanted_by
                .as_ref()
                .is_some_and(|name| *name != self.holder.name && live.contains(name));
            let from = Duration::from_millis(interval.from);
            let result = if self.stopping {
                table.release(index, &self.holder, interval.epoch, now.max(ran))
            } else if gives_up {
                // Keys that were issued during the outage and never started can run at the next owner.
                table.release(index, &self.holder, interval.epoch, ran)
            } else if wanted {
                let until = (now + HAND_OVER).max(ran);
                table.release(index, &self.holder, interval.epoch, until)
            } else if renews {
                table.renew(
                    index,
                    &self.holder,
                    interval.epoch,
                    from,
                    (now + TERM).max(ran),
                )
            } else {
                return;
            };
            // The table seen last names this process, so the change applies to it.
            debug_assert!(result.is_ok(), "{result:?}");
            if claim.wanted_by.is_some() && !wanted {
                table.want(index, None);
            }
            interval.promised = interval.promised.min(table.claim(index).until_ms);
            return;
        }
        if self.stopping || !live.contains(&self.holder.name) {
            return;
        }
        if !open {
            slot.vacant_since = None;
            if claim.wanted_by.as_ref() == Some(&self.holder.name) {
                table.want(index, None);
            }
            return;
        }
        let place = self.share.1[usize::from(index)];
        if is_vacant(&claim, &self.holder, &self.down, now) {
            // A clock that was set back starts the wait anew.
            let since = slot.vacant_since.unwrap_or(now).min(now);
            slot.vacant_since = Some(since);
            let asked = claim.wanted_by.as_ref() == Some(&self.holder.name);
            if asked || now.saturating_sub(since) >= head_start(place) {
                table.take(index, &self.holder, now, now + TERM);
            }
        } else {
            slot.vacant_since = None;
            let asked = claim
                .wanted_by
                .as_ref()
                .is_some_and(|name| live.contains(name));
            if place == 0 && !asked && settled {
                table.want(index, Some(&self.holder.name));
            }
        }
    }

    /// Tells whether a renewal would move the end of an interval by 3 s or more in the newest table seen.
    ///
    /// A renewal counts only once the table shows it. When it counted as soon as it was planned, owners that renewed at
    /// the same moment lost the conditional write to the same other one each time, until their intervals ended.
    fn renews(&self, now: Duration) -> bool {
        self.slots.iter().any(|slot| {
            let end = millis(now + TERM).max(slot.started());
            let held = slot.current.as_ref();
            held.is_some_and(|held| u128::from(held.until.abs_diff(end)) >= RENEWAL.as_millis())
        })
    }

    fn is_open(&self) -> bool {
        matches!(self.backend, Backend::Open(_))
    }

    /// Tells whether the backend has taken no calls for so long that others should own the slots.
    fn gives_up(&self, now: Duration) -> bool {
        matches!(self.backend, Backend::Closed(since) if now.saturating_sub(since) >= GIVE_UP)
    }

    /// Tells whether the backend takes calls reliably enough to ask others for their slots.
    fn is_settled(&self, now: Duration) -> bool {
        match self.backend {
            Backend::Open(since) => {
                since.is_none_or(|since| now.saturating_sub(since) >= TAKE_BACK)
            }
            Backend::Closed(_) => false,
        }
    }

    /// Forgets keys past the retention; their slots run no key issued up to theirs from now on.
    fn forget(&mut self, now: Duration) {
        for (key, workspace) in self.memory.expire(now) {
            let Some(time) = issued(key).map(millis) else {
                continue;
            };
            let slot = &mut self.slots[usize::from(slot(&workspace, key))];
            for interval in slot.current.iter_mut().chain(&mut slot.past) {
                interval.from = interval.from.max(time + 1);
            }
        }
    }

    fn refuse(&self, index: u8, time: u64) -> Decision {
        let claim = self.table.claim(index);
        let early = Decision::Unknown(Reason::Early);
        let late = Decision::NotRun {
            reason: Reason::Late,
            retry_after: Duration::from_secs(1),
        };
        let in_prior = |claim: &Claim| match &claim.prior {
            Some(prior) if time >= prior.from_ms => self.answers_for(&prior.holder),
            _ => None,
        };
        match &claim.holder {
            Some(_) if time < claim.from_ms => match in_prior(claim) {
                Some(name) => Decision::Elsewhere(name),
                None => early,
            },
            Some(holder) if *holder == self.holder => {
                let current = self.slots[usize::from(index)].current.as_ref();
                if current.is_some_and(|interval| time < interval.from) {
                    early
                } else {
                    late
                }
            }
            Some(holder) => Decision::Elsewhere(holder.name.clone()),
            None if claim.epoch > 0 && time < claim.until_ms => match in_prior(claim) {
                Some(name) => Decision::Elsewhere(name),
                None => early,
            },
            None => Decision::NotRun {
                reason: Reason::NoOwner,
                retry_after: Duration::from_secs(1),
            },
        }
    }

    /// Returns the name of an earlier owner that may still know its keys.
    fn answers_for(&self, holder: &Holder) -> Option<String> {
        let other = holder.name != self.holder.name && !self.down.contains(&holder.name);
        other.then(|| holder.name.clone())
    }
}

fn head_start(place: usize) -> Duration {
    HEAD_START.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX))
}

/// Tells whether a slot that isn't held by this process may be taken.
fn is_vacant(claim: &Claim, me: &Holder, down: &[String], now: Duration) -> bool {
    match &claim.holder {
        None => true,
        // The lapse covers holders that no member record names, such as a VM that was replaced long ago.
        Some(holder) => {
            let until = Duration::from_millis(claim.until_ms);
            holder.name == me.name
                // A holder that is only cut off goes on renewing; and a key issued before `until` could be refused at
                // best by the next holder, whose interval starts there.
                || down.contains(&holder.name) && until <= now
                || until + TERM <= now
        }
    }
}

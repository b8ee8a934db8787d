//! Ownership of slots by one process.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::decision::{Decision, Reason};
use crate::history::{KeyHistory, KeyState, Outcome};
use crate::rank::slot_ranks;
use crate::slot_state::SlotState;
use crate::table::{Claim, Holder, Table};
use crate::{RENEWAL_INTERVAL, SLOT_COUNT, TERM, issue_time, millis, slot};

/// Time for which the previous owner still runs new keys of a slot that it hands over.
///
/// The successor polls twice a second, so it claims the slot before the old interval ends and no call is rejected.
const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Time between two reads of the table while a slot is vacant or its handover is requested.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay per rank after which an agent may claim a vacant slot.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_secs(2);

/// Time for which the backend accepts no calls before the process releases its slots.
///
/// A shorter outage, such as a restart of the backend, ends before other agents could have claimed the slots, as the
/// gate closes only 2.5 s after the last connection. A longer time would exceed the 12 s within which keyed calls must
/// be answered again.
const RELEASE_AFTER: Duration = Duration::from_secs(2);

/// Time for which the backend must have accepted calls before the process requests the slots it should own from others.
///
/// Calls are rejected for a short time during each handover, so a backend that fails repeatedly must not cause one for
/// each recovery.
const REQUEST_AFTER: Duration = Duration::from_secs(30);

/// A conditional update of the claim table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Revision that the write is conditional on; 0 if the object must not exist.
    pub base: u64,
    /// The new table.
    pub table: Table,
}

/// The claims of one process and the history of its keys.
///
/// The owner observes an earlier end of an interval as soon as the write is planned, because the write may take effect
/// even if its answer is lost. A later end applies only once a table with it was observed. Each observed table has the
/// platform's revision: tables that aren't newer are ignored, and a newer one resolves all writes based on older
/// revisions.
#[derive(Clone, Debug)]
pub struct Owner {
    holder: Holder,
    revision: Option<u64>,
    /// Era of the platform's store.
    era: u64,
    table: Table,
    slots: Vec<SlotState>,
    history: KeyHistory,
    down: Vec<String>,
    /// Live agents and this one's rank among them for each slot, cached because hashing 2,000 agents takes
    /// milliseconds.
    ranks: (Vec<String>, [usize; SLOT_COUNT as usize]),
    /// Time of the last plan.
    last_plan: Option<Duration>,
    stopping: bool,
    backend: Backend,
}

/// Whether the backend accepts calls, and since when.
#[derive(Clone, Copy, Debug)]
enum Backend {
    /// The backend accepts calls; the time is `None` if it did so from the start.
    Open(Option<Duration>),
    Closed(Duration),
}

impl Owner {
    /// Creates an owner without slots, for the process `instance` of the agent `name`.
    ///
    /// `instance` must be random: a process with the number of an earlier one would treat the claims of that process as
    /// its own.
    pub fn new(name: &str, instance: u64) -> Self {
        Self {
            holder: Holder::new(name, instance),
            revision: None,
            era: 0,
            table: Table::default(),
            slots: vec![SlotState::default(); usize::from(SLOT_COUNT)],
            history: KeyHistory::default(),
            down: Vec::new(),
            ranks: (Vec::new(), [0; SLOT_COUNT as usize]),
            last_plan: None,
            stopping: false,
            backend: Backend::Open(None),
        }
    }

    /// Returns the slots that the process owns, as the bit set used in reports.
    pub fn owned_slots(&self) -> u16 {
        let slot_state = |index: &usize| self.slots[*index].current.is_some();
        (0..usize::from(SLOT_COUNT))
            .filter(slot_state)
            .map(|index| 1 << index)
            .sum()
    }

    /// Returns the number of keys in progress.
    pub fn running_count(&self) -> usize {
        self.history.running()
    }

    /// Returns the size of the stored answers, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.history.stored_bytes()
    }

    /// Returns whether a planned stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns whether a planned stop has released all slots.
    pub fn is_released(&self) -> bool {
        self.stopping && self.slots.iter().all(|slot| slot.current.is_none())
    }

    /// Returns the time at which the table should be read and [`Owner::plan`] called again.
    pub fn next_plan(&self, now: Duration) -> Duration {
        let Some(last_plan) = self.last_plan else {
            return now;
        };
        let must_release =
            self.must_release(now) && self.owned_slots() != 0 && self.ranks.0.len() > 1;
        let claims = (0..SLOT_COUNT).map(|slot| self.table.claim(slot));
        // A process whose backend is closed claims no slots, so it need not poll for vacant ones.
        let unsettled = self.stopping
            || must_release
            || self.is_open()
                && claims
                    .into_iter()
                    .any(|claim| claim.holder.is_none() || claim.wanted_by.is_some());
        let pause = if unsettled {
            POLL_INTERVAL
        } else {
            RENEWAL_INTERVAL
        };
        // A clock that was set back must not delay the renewal.
        let next = (last_plan + pause).min(now + pause);
        let intervals = self.slots.iter().filter_map(|slot| slot.current.as_ref());
        let renewals = intervals.map(|interval| {
            Duration::from_millis(interval.until).saturating_sub(TERM - RENEWAL_INTERVAL)
        });
        renewals.fold(next, Duration::min)
    }

    /// Sets the era of the platform's store, which rises when the store comes back from an older copy.
    ///
    /// The claims of earlier eras are given up: the copy may lack them, and other agents may claim the slots. The
    /// process still runs the keys of its intervals until they end, because the intervals of the new era start later.
    pub fn set_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.revision = None;
        self.table = Table::default();
        for slot in &mut self.slots {
            slot.observe(&Claim::default(), false);
        }
    }

    /// Updates the claims from a table that was read, watched or written successfully, with its revision.
    ///
    /// A missing object is equivalent to the empty table at revision 0.
    pub fn observe(&mut self, revision: u64, table: &Table) {
        if self.revision.is_some_and(|seen| revision <= seen) {
            return;
        }
        self.revision = Some(revision);
        self.table = table.clone();
        let current = table.era() == self.era;
        for (slot, index) in self.slots.iter_mut().zip(0..SLOT_COUNT) {
            let claim = table.claim(index);
            slot.observe(
                claim,
                current && claim.holder.as_ref() == Some(&self.holder),
            );
        }
    }

    /// Requests a planned stop: the next writes release all slots, and no slot is claimed any more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Sets whether the backend accepts calls.
    ///
    /// While it doesn't, no key starts and no slot is claimed. After 2 s the slots are released if other agents of the
    /// service are live. Vacant slots are claimed as soon as the backend accepts calls again; the handover of slots
    /// from other agents is requested once it has done so for 30 s.
    pub fn set_backend_open(&mut self, open: bool, now: Duration) {
        match (self.backend, open) {
            (Backend::Open(_), false) => self.backend = Backend::Closed(now),
            (Backend::Closed(_), true) => self.backend = Backend::Open(Some(now)),
            // A clock that was set back restarts the wait.
            (Backend::Closed(since), false) => self.backend = Backend::Closed(since.min(now)),
            (Backend::Open(since), true) => {
                self.backend = Backend::Open(since.map(|since| since.min(now)));
            }
        }
    }

    /// Returns the next write of the table, if one is due.
    ///
    /// `live` are the agents of the service that accept work, including this one; `down` are those known to be down.
    /// Must be called after each read of the table. Once it has returned a write, the owner observes its ends of
    /// intervals whether or not the write succeeds. After a rejected write or a lost answer the table must only be read
    /// again.
    pub fn plan(&mut self, now: Duration, live: &[String], down: &[String]) -> Option<Write> {
        self.down = down.to_vec();
        if self.ranks.0 != live {
            self.ranks = (live.to_vec(), slot_ranks(&self.holder.name, live));
        }
        let base = self.revision?;
        self.expire_keys(now);
        if self.table.era() != self.era {
            return self.plan_era(base, now, live);
        }
        let must_release =
            self.must_release(now) && live.iter().any(|name| *name != self.holder.name);
        let needs_renewal = self.needs_renewal(now);
        let mut table = self.table.clone();
        for index in 0..SLOT_COUNT {
            self.plan_slot(&mut table, index, now, live, (needs_renewal, must_release));
        }
        self.last_plan = Some(now);
        (table != self.table).then_some(Write { base, table })
    }

    /// Returns the decision about a call with `key` of `workspace`.
    pub fn begin(&mut self, workspace: &str, key: Uuid, now: Duration) -> Decision {
        self.expire_keys(now);
        match self.history.get(workspace, key) {
            Some(KeyState::Running) => return Decision::Wait,
            Some(KeyState::Done(Some(answer))) => return Decision::Stored(Arc::clone(answer)),
            Some(KeyState::Done(None)) => return Decision::Unknown(Reason::NotStored),
            None => {}
        }
        let Some(time) = issue_time(key).map(millis) else {
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
                self.history.start(workspace, key);
                return Decision::Run;
            }
        }
        self.reject(index, time)
    }

    /// Records the outcome of a call for which [`Owner::begin`] returned [`Decision::Run`].
    pub fn finish(&mut self, workspace: &str, key: Uuid, now: Duration, outcome: Outcome) {
        let ran = outcome != Outcome::NotRun;
        if !self.history.finish(workspace, key, now, outcome) {
            return;
        }
        if let Some(time) = issue_time(key).map(millis) {
            self.slots[usize::from(slot(workspace, key))].finish(time, ran);
        }
    }

    /// Returns the write that starts the current era in a table of an earlier one.
    fn plan_era(&mut self, base: u64, now: Duration, live: &[String]) -> Option<Write> {
        self.last_plan = Some(now);
        if self.stopping || !live.contains(&self.holder.name) {
            return None;
        }
        let mut table = self.table.clone();
        table.begin_era(self.era, now);
        Some(Write { base, table })
    }

    fn plan_slot(
        &mut self,
        table: &mut Table,
        index: u8,
        now: Duration,
        live: &[String],
        (needs_renewal, must_release): (bool, bool),
    ) {
        let open = self.is_open();
        let stable = self.is_stable(now);
        let claim = table.claim(index).clone();
        let slot = &mut self.slots[usize::from(index)];
        let started_until = slot.started_until();
        if let Some(interval) = &mut slot.current {
            slot.vacant_since = None;
            let ran = Duration::from_millis(started_until);
            let handover = claim
                .wanted_by
                .as_ref()
                .is_some_and(|name| *name != self.holder.name && live.contains(name));
            let from = Duration::from_millis(interval.from);
            let result = if self.stopping {
                table.release(index, &self.holder, interval.epoch, now.max(ran))
            } else if must_release {
                // Keys that were issued during the outage and never started may run at the next owner.
                table.release(index, &self.holder, interval.epoch, ran)
            } else if handover {
                let until = (now + HANDOVER_DELAY).max(ran);
                table.release(index, &self.holder, interval.epoch, until)
            } else if needs_renewal {
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
            // The latest table names this process as the holder, so the change succeeds.
            debug_assert!(result.is_ok(), "{result:?}");
            if claim.wanted_by.is_some() && !handover {
                table.set_wanted_by(index, None);
            }
            interval.promised_until = interval.promised_until.min(table.claim(index).until_ms);
            return;
        }
        if self.stopping || !live.contains(&self.holder.name) {
            return;
        }
        if !open {
            slot.vacant_since = None;
            if claim.wanted_by.as_ref() == Some(&self.holder.name) {
                table.set_wanted_by(index, None);
            }
            return;
        }
        let rank = self.ranks.1[usize::from(index)];
        if is_vacant(&claim, &self.holder, &self.down, now) {
            // A clock that was set back restarts the wait.
            let since = slot.vacant_since.unwrap_or(now).min(now);
            slot.vacant_since = Some(since);
            let requested = claim.wanted_by.as_ref() == Some(&self.holder.name);
            if requested || now.saturating_sub(since) >= claim_delay(rank) {
                table.acquire(index, &self.holder, now, now + TERM);
            }
        } else {
            slot.vacant_since = None;
            let requested = claim
                .wanted_by
                .as_ref()
                .is_some_and(|name| live.contains(name));
            if rank == 0 && !requested && stable {
                table.set_wanted_by(index, Some(&self.holder.name));
            }
        }
    }

    /// Returns whether a renewal would move the end of an interval in the latest table by 3 s or more.
    ///
    /// A renewal counts only once it is in the table. If it counted as soon as it was planned, owners that renew at the
    /// same time could lose the conditional write to the same other owner each time, until their intervals end.
    fn needs_renewal(&self, now: Duration) -> bool {
        self.slots.iter().any(|slot| {
            let end = millis(now + TERM).max(slot.started_until());
            let held = slot.current.as_ref();
            held.is_some_and(|held| {
                u128::from(held.until.abs_diff(end)) >= RENEWAL_INTERVAL.as_millis()
            })
        })
    }

    fn is_open(&self) -> bool {
        matches!(self.backend, Backend::Open(_))
    }

    /// Returns whether the backend has been closed for so long that other agents should own the slots.
    fn must_release(&self, now: Duration) -> bool {
        matches!(self.backend, Backend::Closed(since) if now.saturating_sub(since) >= RELEASE_AFTER)
    }

    /// Returns whether the backend has been open for long enough to request slots from other agents.
    fn is_stable(&self, now: Duration) -> bool {
        match self.backend {
            Backend::Open(since) => {
                since.is_none_or(|since| now.saturating_sub(since) >= REQUEST_AFTER)
            }
            Backend::Closed(_) => false,
        }
    }

    /// Removes expired keys. From now on, their slots run no key issued at or before an expired one.
    fn expire_keys(&mut self, now: Duration) {
        for (key, workspace) in self.history.expire(now) {
            let Some(time) = issue_time(key).map(millis) else {
                continue;
            };
            let slot = &mut self.slots[usize::from(slot(&workspace, key))];
            for interval in slot.current.iter_mut().chain(&mut slot.past) {
                interval.from = interval.from.max(time + 1);
            }
        }
    }

    fn reject(&self, index: u8, time: u64) -> Decision {
        let claim = self.table.claim(index);
        let early = Decision::Unknown(Reason::Early);
        let late = Decision::NotRun {
            reason: Reason::Late,
            retry_after: Duration::from_secs(1),
        };
        let in_prior = |claim: &Claim| match &claim.prior {
            Some(prior) if time >= prior.from_ms => self.redirect_to(&prior.holder),
            _ => None,
        };
        match &claim.holder {
            Some(_) if time < claim.from_ms => match in_prior(claim) {
                Some(name) => Decision::Redirect(name),
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
            Some(holder) => Decision::Redirect(holder.name.clone()),
            None if claim.epoch > 0 && time < claim.until_ms => match in_prior(claim) {
                Some(name) => Decision::Redirect(name),
                None => early,
            },
            None => Decision::NotRun {
                reason: Reason::NoOwner,
                retry_after: Duration::from_secs(1),
            },
        }
    }

    /// Returns the name of an earlier owner if it may still know its keys.
    fn redirect_to(&self, holder: &Holder) -> Option<String> {
        let other = holder.name != self.holder.name && !self.down.contains(&holder.name);
        other.then(|| holder.name.clone())
    }
}

fn claim_delay(rank: usize) -> Duration {
    CLAIM_DELAY_PER_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}

/// Returns whether a slot that isn't owned by this process may be claimed.
fn is_vacant(claim: &Claim, own: &Holder, down: &[String], now: Duration) -> bool {
    match &claim.holder {
        None => true,
        // The timeout covers holders without a member record, such as a VM that was replaced long ago.
        Some(holder) => {
            let until = Duration::from_millis(claim.until_ms);
            holder.name == own.name
                // A holder that is only partitioned from other members keeps renewing. Claiming the slot before `until`
                // gains nothing, because the next interval starts there and earlier keys would be rejected.
                || down.contains(&holder.name) && until <= now
                || until + TERM <= now
        }
    }
}

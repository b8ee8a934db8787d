//! Claim table of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ERA_GAP, KEY_RETENTION, SLOT_COUNT, millis};

/// The claims of a service, stored as the platform's object `claims/{service}`.
///
/// Every write of the object is a conditional update on the revision that was read. Processes change the table only by
/// the methods below, none of which lets the intervals of two epochs overlap.
///
/// ```
/// use std::time::Duration;
/// use claim::{Holder, Table};
///
/// let now = Duration::from_secs(1_760_000_000);
/// let (first, second) = (Holder::new("vm-1", 1), Holder::new("vm-2", 9));
/// let mut table = Table::default();
/// let epoch = table.acquire(3, &first, now, now + claim::TERM);
/// assert!(table.acquire(3, &second, now, now + claim::TERM) > epoch);
/// assert_eq!(table.claim(3).from_ms, 1_760_000_010_000);
/// assert!(table.renew(3, &first, epoch, now, now + claim::TERM).is_err());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Table {
    /// Era of the platform's store in which the table was written. A table of an earlier era may lack the last claims.
    #[serde(default, skip_serializing_if = "is_zero")]
    era: u64,
    slots: [Claim; SLOT_COUNT as usize],
}

/// The claim of one slot. In epoch 0 the slot was never claimed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// The owner; `None` after a release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Holder>,
    /// Number of times the slot was claimed.
    pub epoch: u64,
    /// Start of the interval, inclusive: first issue time whose keys the owner may run, in milliseconds since the Unix
    /// epoch.
    pub from_ms: u64,
    /// End of the interval, exclusive: first issue time whose keys the owner may not run, in milliseconds since the
    /// Unix epoch.
    pub until_ms: u64,
    /// Agent that requests a handover of the slot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wanted_by: Option<String>,
    /// Owner of the interval that ends at `from_ms`, or at `until_ms` if the slot is released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prior: Option<Prior>,
}

/// A process that holds claims.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Holder {
    /// Name of the agent.
    pub name: String,
    /// Random number that identifies the process; a restarted agent has another one.
    pub instance: u64,
}

/// Owner of the previous interval.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Prior {
    /// The process, which still runs or answers the keys of its interval while it is live.
    pub holder: Holder,
    /// Start of its interval, in milliseconds since the Unix epoch.
    pub from_ms: u64,
}

/// Error of a change to a claim that the process does not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("slot {slot} is not held by `{name}` in epoch {epoch}")]
pub struct Error {
    slot: u8,
    name: String,
    epoch: u64,
}

impl Holder {
    /// Creates the holder for the process `instance` of the agent `name`.
    pub fn new(name: &str, instance: u64) -> Self {
        Self {
            name: name.into(),
            instance,
        }
    }
}

impl Table {
    /// Returns the claim of `slot`.
    ///
    /// # Panics
    ///
    /// Panics if `slot` is not below 16.
    pub fn claim(&self, slot: u8) -> &Claim {
        &self.slots[usize::from(slot)]
    }

    /// Returns the era of the platform's store in which the table was written.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Starts a new era of the platform's store: no slot has an owner, and the next intervals start above all those
    /// that were claimed in earlier eras and that the table may lack.
    pub fn begin_era(&mut self, era: u64, now: Duration) {
        self.era = era;
        for claim in &mut self.slots {
            if let Some(holder) = claim.holder.take() {
                let from_ms = claim.from_ms;
                claim.prior = Some(Prior { holder, from_ms });
            }
            claim.until_ms = claim.until_ms.max(millis(now + ERA_GAP));
            claim.epoch += 1;
            claim.wanted_by = None;
        }
    }

    /// Assigns `slot` to `holder` in a new epoch, and returns the epoch.
    ///
    /// The interval starts at the end of the previous one, so it is empty if `until` is not later. The first interval
    /// of a slot starts one retention before `now`, because no process can have run its keys.
    pub fn acquire(&mut self, slot: u8, holder: &Holder, now: Duration, until: Duration) -> u64 {
        let claim = &mut self.slots[usize::from(slot)];
        if let Some(holder) = claim.holder.take() {
            let from_ms = claim.from_ms;
            claim.prior = Some(Prior { holder, from_ms });
        }
        claim.from_ms = match claim.epoch {
            0 => millis(now.saturating_sub(KEY_RETENTION)),
            _ => claim.until_ms,
        };
        claim.until_ms = millis(until).max(claim.from_ms);
        claim.epoch += 1;
        claim.holder = Some(holder.clone());
        claim.wanted_by = None;
        claim.epoch
    }

    /// Moves the end of the interval to `until`, and its start forward to `from`.
    ///
    /// The end may move back only if the owner has run no key issued at or after `until`, and runs none from before it
    /// sends the write. The start never moves back, and the end never moves before the start.
    ///
    /// # Errors
    ///
    /// Returns an error if `holder` doesn't hold the slot in `epoch`.
    pub fn renew(
        &mut self,
        slot: u8,
        holder: &Holder,
        epoch: u64,
        from: Duration,
        until: Duration,
    ) -> Result<(), Error> {
        let claim = self.held_claim(slot, holder, epoch)?;
        claim.from_ms = claim.from_ms.max(millis(from));
        claim.until_ms = millis(until).max(claim.from_ms);
        Ok(())
    }

    /// Ends the interval at `until` and leaves the slot without an owner.
    ///
    /// The conditions of [`Table::renew`] for `until` apply.
    ///
    /// # Errors
    ///
    /// Returns an error if `holder` doesn't hold the slot in `epoch`.
    pub fn release(
        &mut self,
        slot: u8,
        holder: &Holder,
        epoch: u64,
        until: Duration,
    ) -> Result<(), Error> {
        let claim = self.held_claim(slot, holder, epoch)?;
        claim.until_ms = millis(until).max(claim.from_ms);
        claim.prior = claim.holder.take().map(|holder| Prior {
            holder,
            from_ms: claim.from_ms,
        });
        Ok(())
    }

    /// Requests the handover of `slot` to the agent `name`, or withdraws the request.
    ///
    /// The request proves that the agent can reach the platform, so the slot isn't released without a successor.
    pub fn set_wanted_by(&mut self, slot: u8, name: Option<&str>) {
        self.slots[usize::from(slot)].wanted_by = name.map(String::from);
    }

    fn held_claim(&mut self, slot: u8, holder: &Holder, epoch: u64) -> Result<&mut Claim, Error> {
        let claim = &mut self.slots[usize::from(slot)];
        if claim.holder.as_ref() != Some(holder) || claim.epoch != epoch {
            return Err(Error {
                slot,
                name: holder.name.clone(),
                epoch,
            });
        }
        Ok(claim)
    }
}

fn is_zero(era: &u64) -> bool {
    *era == 0
}

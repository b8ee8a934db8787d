//! The claim table of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{RETENTION, SLOTS, millis};

/// The claims of a service, stored as the platform's object `claims/{service}`.
///
/// Every write of the object is a conditional update on the revision that was read. The functions here are the only
/// changes that a process makes; none of them lets the intervals of two epochs overlap.
///
/// ```
/// use std::time::Duration;
/// use claim::{Holder, Table};
///
/// let now = Duration::from_secs(1_760_000_000);
/// let (first, second) = (Holder::new("vm-1", 1), Holder::new("vm-2", 9));
/// let mut table = Table::default();
/// let epoch = table.take(3, &first, now, now + claim::TERM);
/// assert!(table.take(3, &second, now, now + claim::TERM) > epoch);
/// assert_eq!(table.claim(3).from_ms, 1_760_000_010_000);
/// assert!(table.renew(3, &first, epoch, now, now + claim::TERM).is_err());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Table {
    slots: [Claim; SLOTS as usize],
}

/// The claim of one slot; epoch 0 means that it was never claimed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// The owner, or none once the slot is released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Holder>,
    /// Number of times the slot was taken.
    pub epoch: u64,
    /// First issue time that the owner may run, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// First issue time that the owner may no longer run, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Process that asks the owner to hand over the slot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wanted_by: Option<String>,
    /// Owner of the interval that ends at `from_ms`, or at `until_ms` when the slot is released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prior: Option<Prior>,
}

/// A process that holds claims.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Holder {
    /// Name of the agent.
    pub name: String,
    /// Random number that the process drew when it started; a restarted agent has another one.
    pub instance: u64,
}

/// The owner of the interval before the current one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Prior {
    /// The process, which answers for its keys while it lives.
    pub holder: Holder,
    /// Start of its interval, in milliseconds since the Unix epoch.
    pub from_ms: u64,
}

/// A claim that its process no longer holds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("slot {slot} is not held by `{name}` in epoch {epoch}")]
pub struct Error {
    slot: u8,
    name: String,
    epoch: u64,
}

impl Holder {
    /// Returns the process `instance` of the agent `name`.
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

    /// Gives `slot` to `holder` in a new epoch and returns the epoch.
    ///
    /// The interval starts where the previous one ended, so it is empty when `until` is not after that. A slot that was
    /// never claimed starts one retention before `now`: no process can have run its keys.
    pub fn take(&mut self, slot: u8, holder: &Holder, now: Duration, until: Duration) -> u64 {
        let claim = &mut self.slots[usize::from(slot)];
        if let Some(holder) = claim.holder.take() {
            let from_ms = claim.from_ms;
            claim.prior = Some(Prior { holder, from_ms });
        }
        claim.from_ms = match claim.epoch {
            0 => millis(now.saturating_sub(RETENTION)),
            _ => claim.until_ms,
        };
        claim.until_ms = millis(until).max(claim.from_ms);
        claim.epoch += 1;
        claim.holder = Some(holder.clone());
        claim.wanted_by = None;
        claim.epoch
    }

    /// Moves the end of the interval to `until` and its start up to `from`.
    ///
    /// The end may move back, but only for an owner that has run no key issued at or after `until` and runs none from
    /// before it sends the write. The start never moves back, and the end never before the start.
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
        let claim = self.held(slot, holder, epoch)?;
        claim.from_ms = claim.from_ms.max(millis(from));
        claim.until_ms = millis(until).max(claim.from_ms);
        Ok(())
    }

    /// Ends the interval at `until` and leaves the slot without owner.
    ///
    /// The rules of [`Table::renew`] about `until` apply.
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
        let claim = self.held(slot, holder, epoch)?;
        claim.until_ms = millis(until).max(claim.from_ms);
        claim.prior = claim.holder.take().map(|holder| Prior {
            holder,
            from_ms: claim.from_ms,
        });
        Ok(())
    }

    /// Asks the owner of `slot` to hand it over to the agent `name`, or withdraws the request.
    ///
    /// The request shows that the agent reaches the platform, so that the slot is not released without a successor.
    pub fn want(&mut self, slot: u8, name: Option<&str>) {
        self.slots[usize::from(slot)].wanted_by = name.map(String::from);
    }

    fn held(&mut self, slot: u8, holder: &Holder, epoch: u64) -> Result<&mut Claim, Error> {
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

//! The targets of one service, and load balancing among them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::{Rng, RngExt};
use weights::Pin;

use crate::target::{State, Target, entries_per_target};

/// Load, relative to the mean, above which the target that prefix affinity prefers is not used.
const AFFINITY_MAX_LOAD_RATIO: f64 = 1.25;
/// Share of the open targets, as a fraction, that must serve the current pin before replaced pins are no longer
/// accepted.
const SWITCHED_SHARE: (usize, usize) = (3, 4);

/// The targets of one service, by name.
#[derive(Debug, Default)]
pub struct Pool {
    domain: String,
    entries: u32,
    targets: BTreeMap<String, Target>,
}

/// Requirements of a request for its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Weights that may serve the request, the current pin of the catalogue first; empty for plain services.
    pub pins: &'a [Pin],
    /// Hash of the prompt's prefix, for affinity.
    pub prefix_hash: Option<u64>,
    /// Claim slot of the idempotency key of a call that must not be repeated.
    pub claim_slot: Option<u8>,
    /// Targets of earlier attempts, which are not used again.
    pub tried: &'a [String],
    /// The only target that may be used, if the request is bound to one.
    pub required_target: Option<&'a str>,
}

impl Pool {
    /// Returns an empty pool for an entry in the failure domain `domain`.
    pub fn new(domain: &str) -> Self {
        Self {
            domain: domain.into(),
            entries: 1,
            targets: BTreeMap::new(),
        }
    }

    /// Returns the target `name`.
    pub fn get(&self, name: &str) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Iterates over the targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Target)> {
        self.targets.iter()
    }

    /// Sets the number of live entries, which share the targets' limits.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Returns a mutable reference to the target `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Target> {
        self.targets.get_mut(name)
    }

    /// Adds the target `name`, or replaces its member record.
    pub fn upsert(&mut self, name: &str, member: &gossip::Target, per_target: Option<u32>) {
        match self.targets.get_mut(name) {
            Some(target) => {
                target.domain.clone_from(&member.domain);
                target.phase = member.phase;
                target.concurrency.set_ceiling(per_target);
            }
            None => {
                self.targets
                    .insert(name.into(), Target::new(member, per_target));
            }
        }
    }

    /// Sets whether the target `name` is expected to report to this entry.
    pub fn set_expected_here(&mut self, name: &str, expected_here: bool) {
        if let Some(target) = self.targets.get_mut(name) {
            target.expected_here = expected_here;
        }
    }

    /// Removes the target `name`.
    pub fn remove(&mut self, name: &str) {
        self.targets.remove(name);
    }

    /// Sets the ceiling of every target's concurrency limit.
    pub fn set_ceiling(&mut self, per_target: Option<u32>) {
        for target in self.targets.values_mut() {
            target.concurrency.set_ceiling(per_target);
        }
    }

    /// Returns the pins of `pins` that are accepted: the replaced ones only until three quarters of the open targets
    /// have switched to the current one.
    pub fn accepted_pins<'a>(&self, now: Instant, pins: &'a [Pin]) -> &'a [Pin] {
        let Some((current, _)) = pins.split_first() else {
            return pins;
        };
        let open = self
            .targets
            .values()
            .filter(|target| target.state(now) == State::Open);
        let (mut open_targets, mut switched) = (0, 0);
        for target in open {
            open_targets += 1;
            switched += usize::from(
                target
                    .served_pin(now, std::slice::from_ref(current))
                    .is_some(),
            );
        }
        let replaced =
            switched * SWITCHED_SHARE.1 >= open_targets * SWITCHED_SHARE.0 && switched > 0;
        if replaced { &pins[..1] } else { pins }
    }

    /// Returns whether any target is open for `query`, whether or not it has free capacity.
    pub fn has_open_target(&self, now: Instant, query: &Query<'_>) -> bool {
        !self.eligible_targets(now, query).is_empty()
    }

    /// Returns whether any target that accepts requests has free capacity.
    pub fn has_capacity(&self, now: Instant) -> bool {
        let entries_per_target = self.entries_per_target();
        self.targets.values().any(|target| {
            matches!(target.state(now), State::Open | State::Unreported)
                && target.has_capacity(now, entries_per_target)
        })
    }

    /// Chooses a target with free capacity for `query`.
    ///
    /// The target that the prefix hash prefers is used unless its load is above 1.25 times the mean; otherwise the less
    /// loaded of two random targets is chosen.
    pub fn choose(&self, now: Instant, query: &Query<'_>, random: &mut impl Rng) -> Option<&str> {
        let open = self.eligible_targets(now, query);
        let mean = open
            .iter()
            .map(|(_, target)| target.utilization(now))
            .sum::<f64>()
            / open.len() as f64;
        let entries_per_target = self.entries_per_target();
        let with_capacity: Vec<_> = open
            .into_iter()
            .filter(|(_, target)| target.has_capacity(now, entries_per_target))
            .collect();
        if let Some(prefix) = query.prefix_hash
            && let Some((name, target)) = with_capacity
                .iter()
                .max_by_key(|(name, _)| rendezvous_weight(prefix, name))
            && target.utilization(now) <= AFFINITY_MAX_LOAD_RATIO * mean
        {
            return Some(name);
        }
        match with_capacity.as_slice() {
            [] => None,
            [(name, _)] => Some(name),
            _ => {
                let first = random.random_range(..with_capacity.len());
                let second =
                    (first + random.random_range(1..with_capacity.len())) % with_capacity.len();
                let (one, other) = (with_capacity[first], with_capacity[second]);
                Some(if other.1.utilization(now) < one.1.utilization(now) {
                    other.0
                } else {
                    one.0
                })
            }
        }
    }

    /// Returns the targets that are open for `query`: those of the entry's own failure domain, or of the others when it
    /// has none.
    ///
    /// Targets that report to this entry are preferred to those known from their member records alone. An owner of the
    /// claim slot is preferred to all other targets.
    fn eligible_targets(&self, now: Instant, query: &Query<'_>) -> Vec<(&str, &Target)> {
        let pins = self.accepted_pins(now, query.pins);
        let tried: BTreeSet<&str> = query.tried.iter().map(String::as_str).collect();
        let usable: Vec<(&str, &Target, State)> = self
            .targets
            .iter()
            .map(|(name, target)| (name.as_str(), target, target.state(now)))
            .filter(|(name, target, state)| {
                matches!(state, State::Open | State::Unreported)
                    && (query.pins.is_empty() || target.served_pin(now, pins).is_some())
                    && match query.required_target {
                        Some(only) => only == *name,
                        None => !tried.contains(name),
                    }
            })
            .collect();
        let select = |filter: &dyn Fn(&Target, State) -> bool| -> Vec<(&str, &Target)> {
            let chosen = usable
                .iter()
                .filter(|(_, target, state)| filter(target, *state));
            chosen.map(|(name, target, _)| (*name, *target)).collect()
        };
        if let Some(slot) = query.claim_slot {
            let owners = select(&|target, _| target.owns_slot(now, slot));
            if !owners.is_empty() && query.required_target.is_none() {
                return owners;
            }
        }
        let is_local = |target: &Target| target.domain == self.domain;
        let mut open = select(&|target, state| is_local(target) && state == State::Open);
        if open.is_empty() {
            open = select(&|target, _| is_local(target));
        }
        if open.is_empty() {
            open = select(&|_, state| state == State::Open);
        }
        if open.is_empty() {
            open = select(&|_, _| true);
        }
        open
    }

    fn entries_per_target(&self) -> u32 {
        entries_per_target(self.entries, self.targets.len())
    }
}

/// Returns the rendezvous hashing weight of the target `name` for a prefix.
fn rendezvous_weight(prefix: u64, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix.to_le_bytes());
    hasher.update(name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(head)
}

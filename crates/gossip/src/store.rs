//! The records that a process holds.

use std::collections::BTreeMap;

use crate::hash;
use crate::record::{Key, Node, Phase, Record, Target, Value, Version};

/// Number of buckets whose hashes two stores compare.
pub const BUCKETS: usize = 64;

/// The newest known version of each record.
///
/// Merging is commutative, associative and idempotent for the records of known members: two stores that have merged the
/// same records in any order are equal. The hash of a bucket is the exclusive or of its records' hashes, so a change
/// costs one hash.
///
/// Records of members that are down are kept only for a while, and a store takes none of a member that it doesn't know;
/// otherwise gossip would bring dropped ones back. They count for no hash: stores that drop one at different times stay
/// equal by their hashes, and nothing is sent again and again.
#[derive(Clone, Debug)]
pub struct Store {
    records: BTreeMap<Key, Held>,
    buckets: [u64; BUCKETS],
    changes: u64,
}

#[derive(Clone, Debug)]
struct Held {
    version: Version,
    value: Value,
    hash: u64,
}

impl Store {
    /// Returns a store without records.
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            buckets: [0; BUCKETS],
            changes: 0,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of changes so far; it rises with each.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the hash of all records but those of members that are down; 0 for an empty store.
    pub fn root(&self) -> u64 {
        self.buckets.iter().fold(0, |root, bucket| root ^ bucket)
    }

    /// Returns the hash of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the record with `key`.
    pub fn get(&self, key: &Key) -> Option<Record> {
        self.records.get(key).map(|held| held.record(key))
    }

    /// Returns the version held of the record with `key`.
    pub fn version(&self, key: &Key) -> Option<Version> {
        self.records.get(key).map(|held| held.version)
    }

    /// Returns all keys, versions and values in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, Version, &Value)> {
        self.records
            .iter()
            .map(|(key, held)| (key, held.version, &held.value))
    }

    /// Returns the entry VMs by name, in any phase.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Node)> {
        self.iter()
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Entry(name), Value::Entry(node)) => Some((name.as_str(), node)),
                _ => None,
            })
    }

    /// Returns the target VMs by name, in any phase.
    pub fn targets(&self) -> impl Iterator<Item = (&str, &Target)> {
        self.iter()
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Target(name), Value::Target(target)) => Some((name.as_str(), target)),
                _ => None,
            })
    }

    /// Takes a record if it is newer than the one held, and returns whether it was.
    ///
    /// Two different records with the same key and version are put in order by their hashes, so that all stores keep
    /// the same one. A record whose value is of another kind than its key is not taken.
    pub fn merge(&mut self, record: Record) -> bool {
        let fits = matches!(
            (&record.key, &record.value),
            (Key::Catalog(_), Value::Catalog(_))
                | (Key::Entry(_), Value::Entry(_))
                | (Key::Target(_), Value::Target(_))
        );
        let held = self.records.get(&record.key);
        if !fits || held.is_some_and(|held| held.version > record.version) {
            return false;
        }
        if held.is_none() && record.value.is_down() {
            return false;
        }
        let hash = hash::record(&record.key, record.version, &record.value);
        let old = held.map_or(0, Held::counted);
        if held.is_some_and(|held| held.version == record.version && held.hash >= hash) {
            return false;
        }
        let (version, value) = (record.version, record.value);
        let held = Held {
            version,
            value,
            hash,
        };
        self.buckets[hash::bucket(&record.key, BUCKETS)] ^= old ^ held.counted();
        self.changes += 1;
        self.records.insert(record.key, held);
        true
    }

    /// Drops the record with `key`, and returns whether it was held.
    pub fn remove(&mut self, key: &Key) -> bool {
        let Some(held) = self.records.remove(key) else {
            return false;
        };
        self.buckets[hash::bucket(key, BUCKETS)] ^= held.counted();
        self.changes += 1;
        true
    }

    /// Returns the records held of members that are down which replace one of `records`.
    ///
    /// They are in no hash, so they reach a store that holds an older record of the same member only as the answer to
    /// that record.
    pub fn corrections(&self, records: &[Record]) -> Vec<Record> {
        let replacing = records.iter().filter_map(|record| {
            let held = self.records.get(&record.key)?;
            let order = (held.version, held.hash);
            let hash = hash::record(&record.key, record.version, &record.value);
            let replaces = held.value.is_down() && order > (record.version, hash);
            replaces.then(|| held.record(&record.key))
        });
        replacing.collect()
    }

    /// Returns the record of a member with its state set to `Down`, as an observer states it.
    ///
    /// The record loses to any later one of the member itself. Returns `None` for a member that is unknown or already
    /// down.
    pub fn down(&self, key: &Key) -> Option<Record> {
        self.observed(key, Phase::Down)
    }

    /// Returns the record of a live member with its state set to `Leaving`, as the platform's VM list states it.
    ///
    /// The member confirms it by a record of its own. Returns `None` for a member that isn't live.
    pub fn leaving(&self, key: &Key) -> Option<Record> {
        self.observed(key, Phase::Leaving)
    }

    fn observed(&self, key: &Key, phase: Phase) -> Option<Record> {
        let mut record = self.get(key)?;
        let held = match &mut record.value {
            Value::Catalog(_) => return None,
            Value::Entry(node) => &mut node.phase,
            Value::Target(target) => &mut target.phase,
        };
        if *held == phase || *held == Phase::Down {
            return None;
        }
        *held = phase;
        if record.version.down {
            // A member that was said to leave and then falls silent: one version can't say both.
            record.version.minor = record.version.minor.saturating_add(1);
        }
        record.version.down = true;
        Some(record)
    }

    /// Returns the records that count for the hashes.
    pub(crate) fn hashes(&self) -> impl Iterator<Item = (&Key, &Value, u64)> {
        self.records
            .iter()
            .filter(|(_, held)| !held.value.is_down())
            .map(|(key, held)| (key, &held.value, held.hash))
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl PartialEq for Store {
    fn eq(&self, other: &Self) -> bool {
        self.records.len() == other.records.len()
            && self
                .iter()
                .zip(other.iter())
                .all(|(mine, theirs)| mine == theirs)
    }
}

impl Held {
    /// Returns what the record adds to the hash of its bucket.
    fn counted(&self) -> u64 {
        match self.value.is_down() {
            true => 0,
            false => self.hash,
        }
    }

    fn record(&self, key: &Key) -> Record {
        Record {
            key: key.clone(),
            version: self.version,
            value: self.value.clone(),
        }
    }
}

//! The record store of a process.

use std::collections::BTreeMap;

use crate::hash;
use crate::record::{Key, Node, Phase, Record, Target, Value, Version};

/// Number of hash buckets that two stores compare.
pub const BUCKET_COUNT: usize = 64;

/// The newest known version of each record.
///
/// Merging is commutative, associative and idempotent for the records of known members: two stores that have merged the
/// same records in any order are equal. The hash of a bucket is the exclusive or of its records' hashes, so a change
/// costs one hash.
///
/// Records of members that are down are kept for a limited time, and a store rejects such a record of a member that it
/// doesn't know; otherwise gossip would restore dropped records. They are excluded from all hashes, so that stores
/// which drop one at different times keep equal hashes and don't send it to each other again and again.
#[derive(Clone, Debug)]
pub struct Store {
    records: BTreeMap<Key, StoredRecord>,
    buckets: [u64; BUCKET_COUNT],
    changes: u64,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    version: Version,
    value: Value,
    hash: u64,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            buckets: [0; BUCKET_COUNT],
            changes: 0,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the store has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of changes to the store so far.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the root hash, which covers all records except those of members that are down; 0 for an empty store.
    pub fn root(&self) -> u64 {
        self.buckets.iter().fold(0, |root, bucket| root ^ bucket)
    }

    /// Returns the hash of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// Returns the record with `key`.
    pub fn get(&self, key: &Key) -> Option<Record> {
        self.records.get(key).map(|stored| stored.record(key))
    }

    /// Returns the version of the record with `key`.
    pub fn version(&self, key: &Key) -> Option<Version> {
        self.records.get(key).map(|stored| stored.version)
    }

    /// Returns all keys, versions and values, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, Version, &Value)> {
        self.records
            .iter()
            .map(|(key, stored)| (key, stored.version, &stored.value))
    }

    /// Returns the entry VMs in any phase, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Node)> {
        self.iter()
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Entry(name), Value::Entry(node)) => Some((name.as_str(), node)),
                _ => None,
            })
    }

    /// Returns the target VMs in any phase, ordered by name.
    pub fn targets(&self) -> impl Iterator<Item = (&str, &Target)> {
        self.iter()
            .filter_map(|(key, _, value)| match (key, value) {
                (Key::Target(name), Value::Target(target)) => Some((name.as_str(), target)),
                _ => None,
            })
    }

    /// Stores a record if it is newer than the stored one, and returns whether it was.
    ///
    /// Different records with the same key and version are ordered by their hashes, so that all stores keep the same
    /// one. A record is rejected if its value is of a different kind than its key, or if it declares a member down that
    /// the store doesn't know.
    pub fn merge(&mut self, record: Record) -> bool {
        let kinds_match = matches!(
            (&record.key, &record.value),
            (Key::Catalog(_), Value::Catalog(_))
                | (Key::Entry(_), Value::Entry(_))
                | (Key::Target(_), Value::Target(_))
        );
        let stored = self.records.get(&record.key);
        if !kinds_match || stored.is_some_and(|stored| stored.version > record.version) {
            return false;
        }
        if stored.is_none() && record.value.is_down() {
            return false;
        }
        let hash = hash::record(&record.key, record.version, &record.value);
        let old = stored.map_or(0, StoredRecord::bucket_hash);
        if stored.is_some_and(|stored| stored.version == record.version && stored.hash >= hash) {
            return false;
        }
        let (version, value) = (record.version, record.value);
        let stored = StoredRecord {
            version,
            value,
            hash,
        };
        self.buckets[hash::bucket(&record.key, BUCKET_COUNT)] ^= old ^ stored.bucket_hash();
        self.changes += 1;
        self.records.insert(record.key, stored);
        true
    }

    /// Removes the record with `key`, and returns whether the store had it.
    pub fn remove(&mut self, key: &Key) -> bool {
        let Some(stored) = self.records.remove(key) else {
            return false;
        };
        self.buckets[hash::bucket(key, BUCKET_COUNT)] ^= stored.bucket_hash();
        self.changes += 1;
        true
    }

    /// Returns the stored records of members that are down that are newer than those of the same members in `records`.
    ///
    /// They are excluded from all hashes, so a store that has an older record of the same member receives them only as
    /// the answer to that record.
    pub fn corrections(&self, records: &[Record]) -> Vec<Record> {
        let corrections = records.iter().filter_map(|record| {
            let stored = self.records.get(&record.key)?;
            let order = (stored.version, stored.hash);
            let hash = hash::record(&record.key, record.version, &record.value);
            let replaces = stored.value.is_down() && order > (record.version, hash);
            replaces.then(|| stored.record(&record.key))
        });
        corrections.collect()
    }

    /// Returns the record by which an observer declares a member down.
    ///
    /// Any later record of the member itself replaces it. Returns `None` if the member is unknown or already down.
    pub fn down_record(&self, key: &Key) -> Option<Record> {
        self.observed_record(key, Phase::Down)
    }

    /// Returns the record by which an observer declares a live member leaving, as listed by the platform.
    ///
    /// The member confirms it with a record of its own. Returns `None` if the member isn't live.
    pub fn leaving_record(&self, key: &Key) -> Option<Record> {
        self.observed_record(key, Phase::Leaving)
    }

    fn observed_record(&self, key: &Key, phase: Phase) -> Option<Record> {
        let mut record = self.get(key)?;
        let current = match &mut record.value {
            Value::Catalog(_) => return None,
            Value::Entry(node) => &mut node.phase,
            Value::Target(target) => &mut target.phase,
        };
        if *current == phase || *current == Phase::Down {
            return None;
        }
        *current = phase;
        if record.version.down {
            // The member was declared leaving and is now declared down. Both can't share a version.
            record.version.minor = record.version.minor.saturating_add(1);
        }
        record.version.down = true;
        Some(record)
    }

    /// Returns the records that are part of the hashes, with the hash of each.
    pub(crate) fn hashes(&self) -> impl Iterator<Item = (&Key, &Value, u64)> {
        self.records
            .iter()
            .filter(|(_, stored)| !stored.value.is_down())
            .map(|(key, stored)| (key, &stored.value, stored.hash))
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
                .all(|(own, others)| own == others)
    }
}

impl StoredRecord {
    /// Returns the contribution of the record to the hash of its bucket.
    fn bucket_hash(&self) -> u64 {
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

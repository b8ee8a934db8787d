//! Anti-entropy exchange between the stores of two processes, an initiator and a responder.
//!
//! 1. The initiator sends [`Store::digest`]; the responder answers with its bucket hashes if the roots differ.
//! 2. The initiator sends [`Store::bucket_digest`], the hashes of its records in the buckets that differ. The answer
//!    contains the records that the initiator lacks and the hashes of those that the responder lacks.
//! 3. The initiator merges the records and pushes those that [`Store::wanted_records`] returns. The answer to the push
//!    contains the responder's [`Store::corrections`].
//!
//! Records of members that are down are excluded from all hashes. They are sent in step 3 only, and only to a store
//! that holds an older record of the same member.
//!
//! A record hash takes 8 bytes and a record about 100, so a step is cheap even if all buckets differ.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::record::{Key, Record, Value};
use crate::store::{BUCKET_COUNT, Store};

/// Approximate limit of the records in one message, in bytes.
///
/// The remaining records follow in the next exchange. Larger messages would delay the reports on the same event loop.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Request of an exchange: the hashes of the initiator's store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Digest {
    /// Root hash of the store.
    pub root: u64,
    /// Bit set of the buckets that differ; 0 in step 1.
    pub differs: u64,
    /// Hashes of the records in the buckets that differ; empty in step 1.
    pub hashes: Vec<u64>,
}

/// Answer in an exchange: the differences between the two stores.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Root hash of the responder's store.
    pub root: u64,
    /// Hashes of its buckets; sent in step 1 if the roots differ, empty otherwise.
    pub buckets: Vec<u64>,
    /// Records that the initiator lacks.
    pub records: Vec<Record>,
    /// Hashes of the records that the responder lacks.
    pub wanted: Vec<u64>,
}

impl Store {
    /// Returns the request of step 1.
    pub fn digest(&self) -> Digest {
        Digest {
            root: self.root(),
            ..Digest::default()
        }
    }

    /// Returns the request of step 2, or `None` if the answer to step 1 shows no difference.
    pub fn bucket_digest(&self, answer: &Delta) -> Option<Digest> {
        if answer.root == self.root() || answer.buckets.len() != BUCKET_COUNT {
            return None;
        }
        let pairs = self.buckets().iter().zip(&answer.buckets);
        let differs = pairs
            .enumerate()
            .map(|(bucket, (mine, theirs))| u64::from(mine != theirs) << bucket)
            .sum();
        Some(Digest {
            root: self.root(),
            differs,
            hashes: self
                .hashes_in_buckets(differs)
                .map(|(_, _, hash)| hash)
                .collect(),
        })
    }

    /// Returns the answer to the request of step 1 or 2.
    pub fn answer(&self, digest: &Digest) -> Delta {
        let root = self.root();
        if digest.root == root {
            return Delta {
                root,
                ..Delta::default()
            };
        }
        let mut delta = Delta {
            root,
            ..Delta::default()
        };
        if digest.differs == 0 {
            delta.buckets = self.buckets().to_vec();
            return delta;
        }
        let theirs: HashSet<u64> = digest.hashes.iter().copied().collect();
        let mut mine = HashSet::new();
        let mut bytes = 0;
        for (key, value, hash) in self.hashes_in_buckets(digest.differs) {
            mine.insert(hash);
            if !theirs.contains(&hash) && bytes < MAX_MESSAGE_BYTES {
                bytes += approximate_size(key, value);
                delta.records.extend(self.get(key));
            }
        }
        delta.wanted = theirs.difference(&mine).copied().collect();
        delta
    }

    /// Returns the records to push in step 3, after the answer of step 2 was merged.
    ///
    /// Records that the merge replaced are left out. Records of members that are down are included if the answer
    /// contains an older record of the same member.
    pub fn wanted_records(&self, answer: &Delta) -> Vec<Record> {
        let wanted: HashSet<u64> = answer.wanted.iter().copied().collect();
        let mut bytes = 0;
        let mut records = Vec::new();
        for (key, value, hash) in self.hashes() {
            if wanted.contains(&hash) && bytes < MAX_MESSAGE_BYTES {
                bytes += approximate_size(key, value);
                records.extend(self.get(key));
            }
        }
        records.extend(self.corrections(&answer.records));
        records
    }

    fn hashes_in_buckets(&self, differs: u64) -> impl Iterator<Item = (&Key, &Value, u64)> {
        self.hashes()
            .filter(move |(key, _, _)| differs & 1 << hash::bucket(key, BUCKET_COUNT) != 0)
    }
}

/// Returns the approximate size of a record in a message, in bytes.
pub(crate) fn approximate_size(key: &Key, value: &Value) -> usize {
    let name = match key {
        Key::Catalog(name) | Key::Entry(name) | Key::Target(name) => name.len(),
    };
    name + match value {
        Value::Catalog(json) => json.len() + 16,
        Value::Entry(node) => node.domain.len() + node.region.len() + 32,
        Value::Target(target) => {
            target.domain.len() + target.region.len() + target.service.len() + 40
        }
    }
}

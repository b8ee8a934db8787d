//! Comparison of two stores.
//!
//! 1. The asking process sends [`Store::digest`]; the other answers with its bucket hashes if the roots differ.
//! 2. The asking process sends [`Store::details`]: the hashes of its records in the buckets that differ. The answer has
//!    the records that it lacks and the hashes of those that the other lacks.
//! 3. The asking process merges the records and pushes what [`Store::wanted`] returns. The answer to a push has
//!    [`Store::corrections`].
//!
//! Records of members that are down are in no hash. They are sent only to a store that shows an older record of the same
//! member, in step 3.
//!
//! A record hash takes 8 bytes against about 100 for a record, so a step costs little even when all buckets differ.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::record::{Key, Record, Value};
use crate::store::{BUCKETS, Store};

/// Size of the records in one message, about, in bytes.
///
/// The rest follows in the next exchange. Larger messages would hold up the reports on the same event loop.
const MESSAGE_BYTES: usize = 64 * 1024;

/// Hashes of a record store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Digest {
    /// Hash of the whole store.
    pub root: u64,
    /// Bit set of the buckets that differ; 0 in the first step.
    pub differs: u64,
    /// Hashes of the records in the buckets that differ; empty in the first step.
    pub hashes: Vec<u64>,
}

/// What two stores differ in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Hash of the answering store.
    pub root: u64,
    /// Hashes of its buckets, in the first step when the roots differ.
    pub buckets: Vec<u64>,
    /// Records that the asking store lacks.
    pub records: Vec<Record>,
    /// Hashes of the records that the answering store lacks.
    pub wanted: Vec<u64>,
}

impl Store {
    /// Returns the message of the first step.
    pub fn digest(&self) -> Digest {
        Digest {
            root: self.root(),
            ..Digest::default()
        }
    }

    /// Returns the message of the second step, or `None` if the answer to the first shows no difference.
    pub fn details(&self, answer: &Delta) -> Option<Digest> {
        if answer.root == self.root() || answer.buckets.len() != BUCKETS {
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
            hashes: self.in_buckets(differs).map(|(_, _, hash)| hash).collect(),
        })
    }

    /// Answers a message of either step.
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
        for (key, value, hash) in self.in_buckets(digest.differs) {
            mine.insert(hash);
            if !theirs.contains(&hash) && bytes < MESSAGE_BYTES {
                bytes += size(key, value);
                delta.records.extend(self.get(key));
            }
        }
        delta.wanted = theirs.difference(&mine).copied().collect();
        delta
    }

    /// Returns the records to push after the answer to the second step was merged.
    ///
    /// Records that the merge replaced are not among them. Those of members that are down are, when the answer has an
    /// older record of the same member.
    pub fn wanted(&self, answer: &Delta) -> Vec<Record> {
        let wanted: HashSet<u64> = answer.wanted.iter().copied().collect();
        let mut bytes = 0;
        let mut records = Vec::new();
        for (key, value, hash) in self.hashes() {
            if wanted.contains(&hash) && bytes < MESSAGE_BYTES {
                bytes += size(key, value);
                records.extend(self.get(key));
            }
        }
        records.extend(self.corrections(&answer.records));
        records
    }

    fn in_buckets(&self, differs: u64) -> impl Iterator<Item = (&Key, &Value, u64)> {
        self.hashes()
            .filter(move |(key, _, _)| differs & 1 << hash::bucket(key, BUCKETS) != 0)
    }
}

/// Returns about the size of a record in a message, in bytes.
pub(crate) fn size(key: &Key, value: &Value) -> usize {
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

//! Catalogue entries and their history, as the platform stores them.

use serde::{Deserialize, Serialize};

use crate::{Entry, Revision};

/// Maximum number of earlier versions kept with an entry; at about 500 bytes each, they stay far below the size limit
/// of the platform's objects.
const MAX_HISTORY: usize = 20;

/// Value of the platform's object `catalog/{kind}/{name}`.
///
/// The history is part of the object, so that one conditional update writes both, and an operator who loses a race
/// reads back who made the other change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredEntry {
    /// The entry.
    pub entry: Entry,
    /// Operator who put this version.
    pub author: String,
    /// Time of the put on the operator's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Random identifier of the put, by which the operator's tool recognises it after its response was lost.
    pub write: String,
    /// Earlier versions, newest first.
    #[serde(default)]
    pub history: Vec<PastVersion>,
}

/// An earlier version of an entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PastVersion {
    /// Revision that the platform assigned to this version.
    pub revision: Revision,
    /// The entry.
    pub entry: Entry,
    /// Operator who put this version.
    pub author: String,
    /// Time of the put on the operator's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Random identifier of the put.
    pub write: String,
}

impl StoredEntry {
    /// Returns the first version of an entry.
    pub fn new(mut entry: Entry, author: &str, time_ms: u64, write: &str) -> Self {
        // Replaced pins are derived from earlier versions only; those in the input are dropped.
        if let Some(model) = entry.model_mut() {
            model.replaced.clear();
        }
        Self {
            entry,
            author: author.into(),
            time_ms,
            write: write.into(),
            history: Vec::new(),
        }
    }

    /// Returns this version with `older`, the version that it replaces, added to its history and replaced pins.
    ///
    /// The pins come first from `older` and its replaced pins, then from its history. The history supplies the pins
    /// missing from `older` if a release of the tool that doesn't write replaced pins stored it.
    #[must_use]
    pub fn with_previous(mut self, revision: Revision, older: Self) -> Self {
        if let Some(model) = self.entry.model_mut() {
            let past = older.history.iter().flat_map(|past| past.entry.pins());
            model.set_replaced(older.entry.pins().chain(past));
        }
        self.history = vec![PastVersion {
            revision,
            entry: older.entry,
            author: older.author,
            time_ms: older.time_ms,
            write: older.write,
        }];
        self.history.extend(older.history);
        self.history.truncate(MAX_HISTORY);
        self
    }

    /// Returns the revision made by the put with the identifier `write`, or `None` if it didn't take effect.
    ///
    /// `revision` is the object's current revision.
    pub fn revision_of(&self, write: &str, revision: Revision) -> Option<Revision> {
        if self.write == write {
            return Some(revision);
        }
        let past = self.history.iter().find(|past| past.write == write);
        past.map(|past| past.revision)
    }
}

//! An entry as the platform stores it.

use serde::{Deserialize, Serialize};

use crate::{Entry, Revision};

/// Number of earlier versions kept beside an entry; at about 500 bytes each they stay far below the platform's limit.
const HISTORY: usize = 20;

/// Value of the platform's object `catalog/{kind}/{name}`.
///
/// The history stands in the object itself, so that one conditional update writes both and an operator who lost a race
/// finds the name of the other in what is read back.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Stored {
    /// The entry.
    pub entry: Entry,
    /// Operator who put it.
    pub author: String,
    /// Time of the put by the operator's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Random name of the put, by which its operator recognises it after a lost answer.
    pub write: String,
    /// Earlier versions, the latest first.
    #[serde(default)]
    pub history: Vec<Past>,
}

/// An earlier version of an entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Past {
    /// Revision that the platform gave to the version.
    pub revision: Revision,
    /// The entry.
    pub entry: Entry,
    /// Operator who put it.
    pub author: String,
    /// Time of the put by the operator's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Random name of the put.
    pub write: String,
}

impl Stored {
    /// Returns the first version of an entry.
    pub fn new(mut entry: Entry, author: &str, time_ms: u64, write: &str) -> Self {
        // Replaced pins follow from earlier versions alone.
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

    /// Returns this version with `older`, which it replaces, the history of that and the replaced pins.
    ///
    /// The pins come from `older` and its replaced pins first. The history adds those that `older` lacks when a version
    /// of the tool without replaced pins wrote it.
    #[must_use]
    pub fn after(mut self, revision: Revision, older: Self) -> Self {
        if let Some(model) = self.entry.model_mut() {
            let past = older.history.iter().flat_map(|past| past.entry.pins());
            model.replace(older.entry.pins().chain(past));
        }
        self.history = vec![Past {
            revision,
            entry: older.entry,
            author: older.author,
            time_ms: older.time_ms,
            write: older.write,
        }];
        self.history.extend(older.history);
        self.history.truncate(HISTORY);
        self
    }

    /// Returns the revision that the put `write` made, given the object's revision, if it took effect.
    pub fn revision_of(&self, write: &str, revision: Revision) -> Option<Revision> {
        if self.write == write {
            return Some(revision);
        }
        let past = self.history.iter().find(|past| past.write == write);
        past.map(|past| past.revision)
    }
}

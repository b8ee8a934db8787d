//! Conditional updates of entries.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use catalog::{Entry, Revision, StoredEntry};
use platform::{Client, Condition, Object, Put};
use uuid::Uuid;

use crate::KIND;

/// Delay between attempts to write.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Outcome of a put that the platform accepted or that another operator preceded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The entry is stored with this revision.
    Accepted(Revision),
    /// Another operator changed the entry first; nothing was written.
    Raced {
        /// Operator who made the other change.
        author: String,
        /// Revision of the other change.
        revision: Revision,
    },
}

/// A put that failed or whose outcome is unknown.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Nothing was written.
    #[error("{key} was not written: {reason}")]
    NotWritten {
        /// Kind and name of the entry.
        key: String,
        /// Last failure.
        reason: String,
    },
    /// The write may have taken effect.
    #[error(
        "whether {key} was written is unknown: {reason}; look for the put {write} with `history {key}`"
    )]
    Unknown {
        /// Kind and name of the entry.
        key: String,
        /// Random identifier of the put, as shown in the history.
        write: String,
        /// Last failure.
        reason: String,
    },
    /// The object can't be parsed as an entry.
    #[error("object {KIND}/{key} at revision {revision} holds no entry: {reason}")]
    Malformed {
        /// Kind and name of the entry.
        key: String,
        /// Revision of the object.
        revision: Revision,
        /// Error of the parser.
        reason: String,
    },
}

/// Result of reading an object back after a failed write.
enum ReadBack {
    /// The object has changed, by this put or by another.
    Changed(Outcome),
    /// The object is still as it was before the put.
    Unchanged,
}

/// Parses an object as a stored entry.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the object isn't a stored entry.
pub fn parse(object: &Object) -> Result<StoredEntry, Error> {
    serde_json::from_str(object.value.get()).map_err(|error| Error::Malformed {
        key: object.name.clone(),
        revision: object.revision.ordinal(),
        reason: error.to_string(),
    })
}

/// Replaces the version `base` by `entry`, retrying until `deadline`; without a `base`, creates the entry.
///
/// After a lost response, the object is read back: each put has a random identifier, which the object and its history
/// keep. The write is retried with the same identifier and condition only while the object is unchanged, so it takes
/// effect at most once.
///
/// # Errors
///
/// Returns an [`Error`] that distinguishes puts that wrote nothing from those that may have taken effect.
pub async fn put(
    client: &Client,
    entry: Entry,
    base: Option<(Revision, StoredEntry)>,
    author: &str,
    deadline: Instant,
) -> Result<Outcome, Error> {
    let key = entry.key();
    let write = Uuid::now_v7().to_string();
    let base_revision = base.as_ref().map(|(revision, _)| *revision);
    let new = StoredEntry::new(entry, author, now_ms(), &write);
    let new = match base {
        Some((revision, older)) => new.with_previous(revision, older),
        None => new,
    };
    let condition = base_revision.map_or(Condition::Absent, |revision| {
        Condition::Revision(platform::Revision::from_ordinal(revision))
    });
    // Whether an earlier attempt may have taken effect.
    let mut maybe_written = false;
    loop {
        let result = client.put(KIND, &key, &new, condition).await;
        let reason = match result {
            Ok(Put::Accepted(revision)) => return Ok(Outcome::Accepted(revision.ordinal())),
            Ok(Put::Conflict(current)) => format!("the platform holds revision {current:?}"),
            Err(platform::Error::Refused { reason, .. }) if !maybe_written => {
                return Err(Error::NotWritten { key, reason });
            }
            Err(error @ platform::Error::Unavailable { .. }) if !maybe_written => error.to_string(),
            Err(error) => {
                maybe_written = true;
                error.to_string()
            }
        };
        let reason = match read_back(client, &key, &write, base_revision).await {
            Ok(ReadBack::Changed(outcome)) => return Ok(outcome),
            Ok(ReadBack::Unchanged) => reason,
            Err(Error::NotWritten { reason, .. }) => reason,
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(match maybe_written {
                true => Error::Unknown { key, write, reason },
                false => Error::NotWritten { key, reason },
            });
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the object `key` and returns whether the put `write` or another one has changed it since `base_revision`.
async fn read_back(
    client: &Client,
    key: &str,
    write: &str,
    base_revision: Option<Revision>,
) -> Result<ReadBack, Error> {
    let not_read = |error: platform::Error| Error::NotWritten {
        key: key.into(),
        reason: error.to_string(),
    };
    let Some(object) = client.get(KIND, key).await.map_err(not_read)? else {
        return Ok(ReadBack::Unchanged);
    };
    let revision = object.revision.ordinal();
    // A stale read may return a revision older than the base.
    if base_revision.is_some_and(|base| revision <= base) {
        return Ok(ReadBack::Unchanged);
    }
    let stored = parse(&object)?;
    Ok(ReadBack::Changed(
        match stored.revision_of(write, revision) {
            Some(revision) => Outcome::Accepted(revision),
            None => first_change_after(&stored, revision, base_revision),
        },
    ))
}

/// Returns the first change after `base`, by which another operator won the race.
///
/// `revision` is the current revision of `stored`.
fn first_change_after(stored: &StoredEntry, revision: Revision, base: Option<Revision>) -> Outcome {
    let mut oldest_first = stored.history.iter().rev();
    let first = oldest_first.find(|past| base.is_none_or(|base| past.revision > base));
    let (author, revision) = match first {
        Some(past) => (past.author.clone(), past.revision),
        None => (stored.author.clone(), revision),
    };
    Outcome::Raced { author, revision }
}

fn now_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

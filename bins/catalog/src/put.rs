//! Conditional updates of entries.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use catalog::{Entry, Revision, StoredEntry};
use platform::{Client, Condition, Object, Put};
use uuid::Uuid;

use crate::KIND;

/// Wait before a call to the platform is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// How a put ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Written {
    /// The entry is stored with this revision.
    Accepted(Revision),
    /// Another operator changed the entry first; nothing was written.
    Raced {
        /// The other operator.
        author: String,
        /// Revision of the other change.
        revision: Revision,
    },
}

/// A put without a known result.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Nothing was written.
    #[error("{key} was not written: {reason}")]
    NotWritten {
        /// Kind and name of the entry.
        key: String,
        /// What failed last.
        reason: String,
    },
    /// The write may have taken effect.
    #[error(
        "whether {key} was written is unknown: {reason}; look for the put {write} with `history {key}`"
    )]
    Unknown {
        /// Kind and name of the entry.
        key: String,
        /// Random name of the put, as the history shows it.
        write: String,
        /// What failed last.
        reason: String,
    },
    /// The object isn't an entry.
    #[error("object {KIND}/{key} at revision {revision} holds no entry: {reason}")]
    Malformed {
        /// Kind and name of the entry.
        key: String,
        /// Revision of the object.
        revision: Revision,
        /// What was found.
        reason: String,
    },
}

/// What reading back shows about a put.
enum Found {
    Written(Written),
    /// The object is still as it was before the put.
    Unchanged,
}

/// Reads an object as a stored entry.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if it isn't one.
pub fn parse(object: &Object) -> Result<StoredEntry, Error> {
    serde_json::from_str(object.value.get()).map_err(|error| Error::Malformed {
        key: object.name.clone(),
        revision: object.revision,
        reason: error.to_string(),
    })
}

/// Writes `entry` in place of the version `base` that the operator saw, trying until `deadline`.
///
/// A lost answer is resolved by reading back: each put has a random name that the object and its history keep. The write
/// is repeated with the same name and condition only while the object is unchanged, so it takes effect at most once.
///
/// # Errors
///
/// Returns an [`Error`] that tells whether something may have been written.
pub async fn put(
    client: &Client,
    entry: Entry,
    base: Option<(Revision, StoredEntry)>,
    author: &str,
    deadline: Instant,
) -> Result<Written, Error> {
    let key = entry.key();
    let write = Uuid::now_v7().to_string();
    let seen = base.as_ref().map(|(revision, _)| *revision);
    let new = StoredEntry::new(entry, author, now_ms(), &write);
    let new = match base {
        Some((revision, older)) => new.with_previous(revision, older),
        None => new,
    };
    let condition = seen.map_or(Condition::Absent, Condition::Revision);
    let mut lost = false;
    loop {
        let result = client.put(KIND, &key, &new, condition).await;
        let reason = match result {
            Ok(Put::Accepted(revision)) => return Ok(Written::Accepted(revision)),
            Ok(Put::Conflict(current)) => format!("the platform holds revision {current:?}"),
            Err(platform::Error::Refused { reason, .. }) if !lost => {
                return Err(Error::NotWritten { key, reason });
            }
            Err(error @ platform::Error::Unavailable { .. }) if !lost => error.to_string(),
            Err(error) => {
                lost = true;
                error.to_string()
            }
        };
        let reason = match read_back(client, &key, &write, seen).await {
            Ok(Found::Written(written)) => return Ok(written),
            Ok(Found::Unchanged) => reason,
            Err(Error::NotWritten { reason, .. }) => reason,
            Err(error) => return Err(error),
        };
        if Instant::now() >= deadline {
            return Err(match lost {
                true => Error::Unknown { key, write, reason },
                false => Error::NotWritten { key, reason },
            });
        }
        compio::time::sleep(PAUSE).await;
    }
}

async fn read_back(
    client: &Client,
    key: &str,
    write: &str,
    seen: Option<Revision>,
) -> Result<Found, Error> {
    let not_read = |error: platform::Error| Error::NotWritten {
        key: key.into(),
        reason: error.to_string(),
    };
    let Some(object) = client.get(KIND, key).await.map_err(not_read)? else {
        return Ok(Found::Unchanged);
    };
    // A stale read may even be older than what the operator saw.
    if seen.is_some_and(|seen| object.revision <= seen) {
        return Ok(Found::Unchanged);
    }
    let stored = parse(&object)?;
    Ok(Found::Written(
        match stored.revision_of(write, object.revision) {
            Some(revision) => Written::Accepted(revision),
            None => first_after(&stored, object.revision, seen),
        },
    ))
}

/// Returns the change that came first after the version `seen`.
fn first_after(stored: &StoredEntry, revision: Revision, seen: Option<Revision>) -> Written {
    let past = stored.history.iter().rev();
    let first = past
        .into_iter()
        .find(|past| seen.is_none_or(|seen| past.revision > seen));
    let (author, revision) = match first {
        Some(past) => (past.author.clone(), past.revision),
        None => (stored.author.clone(), revision),
    };
    Written::Raced { author, revision }
}

fn now_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

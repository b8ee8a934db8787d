//! Messages between entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use delta::Delta;
use platform::Revision;
use serde::{Deserialize, Serialize};

use crate::Kind;
use crate::replica::MAX_SILENCE;

/// Asks another entry for what it knows beyond the sender.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Query {
    /// What the sender knows of each kind.
    pub(crate) known: Vec<Known>,
    /// Milliseconds that the answer may wait for news.
    pub(crate) wait_ms: u32,
}

/// What the sender of a [`Query`] knows of a kind.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Known {
    pub(crate) kind: Kind,
    /// Revision that the sender's objects reflect; `None` if it has none.
    pub(crate) revision: Option<Revision>,
    /// Milliseconds since the store was last heard for the kind.
    pub(crate) heard_ms: Option<u32>,
}

/// What an entry knows beyond the sender of a [`Query`].
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Milliseconds for which the answer waited for news.
    pub(crate) held_ms: u32,
    pub(crate) kinds: Vec<News>,
}

/// What an entry knows of a kind.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct News {
    pub(crate) kind: Kind,
    pub(crate) heard: Option<HeardAge>,
    /// The objects beyond what the asking entry knows, if there are any.
    pub(crate) changes: Option<Changes>,
}

/// When the store was last heard for a kind, relative to the time of the message.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct HeardAge {
    /// Entry that heard the store.
    pub(crate) origin: SocketAddr,
    pub(crate) age_ms: u32,
    /// Milliseconds since the sender's objects were last known to be all that the store has.
    pub(crate) complete_ms: Option<u32>,
    /// Milliseconds for which the store has answered the origin without a failure.
    pub(crate) reached_ms: Option<u32>,
}

/// Objects of a kind.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Changes {
    /// Revision that the asking entry's objects reflect once these changes are applied.
    pub(crate) revision: Revision,
    /// Whether these are all objects of the kind rather than the changed ones.
    pub(crate) whole: bool,
    pub(crate) objects: Vec<Changed>,
    /// Names of the deleted objects.
    pub(crate) deleted: Vec<String>,
}

/// A new version of an object.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Changed {
    pub(crate) name: String,
    pub(crate) revision: Revision,
    /// Milliseconds before which the version was not written yet, if known.
    pub(crate) age_ms: Option<u32>,
    /// Version that the first of the steps is applied to; `None` for an empty text.
    pub(crate) base: Option<Revision>,
    /// Differences from the base to this version, one after the other.
    pub(crate) steps: Vec<Rc<Patch>>,
    /// Digest of the object's text.
    pub(crate) digest: u64,
}

/// The difference between two versions of an object.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Patch {
    /// Version that the difference leads to.
    pub(crate) to: Revision,
    pub(crate) delta: Delta,
}

impl Query {
    /// Returns how long the answer may wait for news.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms.into())
    }

    /// Returns the encoded form.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a query.
    ///
    /// # Errors
    ///
    /// Fails when `bytes` isn't a valid query.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl Answer {
    /// Returns whether the sender has heard the store recently for any kind.
    pub fn is_recent(&self) -> bool {
        let heard = self.kinds.iter().filter_map(|news| news.heard);
        let max_silence = millis(MAX_SILENCE);
        heard.into_iter().any(|heard| heard.age_ms < max_silence)
    }

    /// Sets for how long the answer waited for news.
    #[must_use]
    pub fn held_for(mut self, time: Duration) -> Self {
        self.held_ms = millis(time);
        self
    }

    /// Returns the encoded form.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Fails when `bytes` isn't a valid answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Returns a time in whole milliseconds, rounded up, so that an age is never understated.
pub(crate) fn millis(time: Duration) -> u32 {
    let ms = time.as_micros().div_ceil(1000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

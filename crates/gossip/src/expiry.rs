//! Removal of members that are down.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::record::{Key, Version};
use crate::store::Store;

/// Times since which members have been known to be down.
///
/// The time counts from when this process learnt of it, by its own clock; processes drop a record at different times.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let (start, kept) = (Instant::now(), Duration::from_secs(600));
/// let mut expiry = gossip::Expiry::new(kept);
/// assert!(expiry.due(&gossip::Store::new(), start).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Expiry {
    kept: Duration,
    since: BTreeMap<Key, (Version, Instant)>,
    /// State of the store that `since` was read from.
    read_at: u64,
}

impl Expiry {
    /// Returns the times of a process that keeps the records of members that are down for `kept`.
    pub fn new(kept: Duration) -> Self {
        Self {
            kept,
            since: BTreeMap::new(),
            read_at: 0,
        }
    }

    /// Returns the members whose records are to be dropped: they have been down for as long as that.
    ///
    /// Call it about once a second.
    pub fn due(&mut self, store: &Store, now: Instant) -> Vec<Key> {
        if self.read_at != store.changes() {
            self.read_at = store.changes();
            let down = store.iter().filter(|(_, _, value)| value.is_down());
            let since = down.map(|(key, version, _)| {
                let known = self.since.get(key).filter(|(held, _)| *held == version);
                (
                    key.clone(),
                    (version, known.map_or(now, |(_, since)| *since)),
                )
            });
            self.since = since.collect();
        }
        let due = self
            .since
            .iter()
            .filter(|(_, (_, since))| now.saturating_duration_since(*since) >= self.kept);
        due.map(|(key, _)| key.clone()).collect()
    }
}

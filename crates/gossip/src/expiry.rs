//! Expiry of the records of members that are down.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::record::{Key, Version};
use crate::store::Store;

/// Tracks since when members have been known to be down.
///
/// The time counts from when this process learnt of it, by its own clock, so processes drop a record at different
/// times.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let (start, kept) = (Instant::now(), Duration::from_secs(600));
/// let mut expiry = gossip::Expiry::new(kept);
/// assert!(expiry.expired(&gossip::Store::new(), start).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Expiry {
    retention: Duration,
    down_since: BTreeMap<Key, (Version, Instant)>,
    /// Change count of the store that `down_since` was read from.
    change_count: u64,
}

impl Expiry {
    /// Creates a tracker that keeps the records of members that are down for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            down_since: BTreeMap::new(),
            change_count: 0,
        }
    }

    /// Returns the members that have been down for the retention and whose records are to be dropped.
    ///
    /// Must be called about once a second.
    pub fn expired(&mut self, store: &Store, now: Instant) -> Vec<Key> {
        if self.change_count != store.change_count() {
            self.change_count = store.change_count();
            let down = store.iter().filter(|(_, _, value)| value.is_down());
            let since = down.map(|(key, version, _)| {
                let previous = self
                    .down_since
                    .get(key)
                    .filter(|(seen_version, _)| *seen_version == version);
                (
                    key.clone(),
                    (version, previous.map_or(now, |(_, since)| *since)),
                )
            });
            self.down_since = since.collect();
        }
        let due = self
            .down_since
            .iter()
            .filter(|(_, (_, since))| now.saturating_duration_since(*since) >= self.retention);
        due.map(|(key, _)| key.clone()).collect()
    }
}

//! Selection of the entry from which an agent takes a multi-part update.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Selects one of an agent's entries as the source of an update of its view that takes several replies.
///
/// Every entry to which the agent reports an old hash sends the records that the agent lacks, so an update would arrive
/// once from each entry. While one entry is the active source, the agent reports to each other entry the hash that this
/// entry sent last, so that it sends only its own later changes. The selection ends once a reply contains nothing new
/// or the views are equal, so an entry that knows less than another delays nothing.
///
/// ```
/// let (first, second) = ("127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap());
/// let mut source = gossip::UpdateSource::default();
/// source.record_reply(first, 70, 5, true);
/// source.record_reply(second, 70, 5, false);
/// assert_eq!((source.hash_to_report(first, 5), source.hash_to_report(second, 5)), (5, 70));
/// source.record_reply(first, 70, 70, true);
/// assert_eq!(source.hash_to_report(second, 70), 70);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpdateSource {
    /// Hash in the last reply of each entry.
    last_hashes: BTreeMap<SocketAddr, u64>,
    active: Option<SocketAddr>,
}

impl UpdateSource {
    /// Returns the hash to report to `entry` while the agent's view has the hash `held`.
    pub fn hash_to_report(&self, entry: SocketAddr, held: u64) -> u64 {
        let is_other = self.active.is_some_and(|active| active != entry);
        let last_hash = self.last_hashes.get(&entry).filter(|_| is_other);
        last_hash.copied().unwrap_or(held)
    }

    /// Records a reply of `entry`, whose records have the given `hash`.
    ///
    /// `held` is the hash of the agent's view after it merged the reply, and `changed` is whether the reply changed it.
    pub fn record_reply(&mut self, entry: SocketAddr, hash: u64, held: u64, changed: bool) {
        self.last_hashes.insert(entry, hash);
        let is_sending = changed && hash != held;
        if self.active == Some(entry) && !is_sending {
            self.active = None;
        } else if self.active.is_none() && is_sending {
            self.active = Some(entry);
        }
    }

    /// Removes all entries but `entries`, to which the agent still reports.
    pub fn retain(&mut self, entries: &[SocketAddr]) {
        self.last_hashes.retain(|entry, _| entries.contains(entry));
        self.active = self.active.filter(|active| entries.contains(active));
    }

    /// Records that `entry` didn't answer.
    pub fn record_failure(&mut self, entry: SocketAddr) {
        self.last_hashes.remove(&entry);
        self.active = self.active.filter(|active| *active != entry);
    }
}

//! The entry that an agent takes a long update from.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Chooses one of an agent's entries while an update of its view takes several replies.
///
/// Every entry that is told an old hash sends what the agent lacks, so that an update would arrive once from each. While
/// one entry sends, the others are told the hash that they named last: they then send only their own later changes.
/// The choice ends once a reply brings nothing new or the views are equal, so an entry that knows less than another
/// holds nothing up.
///
/// ```
/// let (first, second) = ("127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap());
/// let mut source = gossip::Source::default();
/// source.answered(first, 70, 5, true);
/// source.answered(second, 70, 5, false);
/// assert_eq!((source.reported(first, 5), source.reported(second, 5)), (5, 70));
/// source.answered(first, 70, 70, true);
/// assert_eq!(source.reported(second, 70), 70);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// Hash that each entry named last.
    named: BTreeMap<SocketAddr, u64>,
    chosen: Option<SocketAddr>,
}

impl Source {
    /// Returns the hash to report to `entry` while the agent's view has the hash `held`.
    pub fn reported(&self, entry: SocketAddr, held: u64) -> u64 {
        let other = self.chosen.is_some_and(|chosen| chosen != entry);
        let named = self.named.get(&entry).filter(|_| other);
        named.copied().unwrap_or(held)
    }

    /// Notes a reply of `entry`, whose records have the hash `named`.
    ///
    /// `held` is the hash of the agent's view after it took the reply, and `news` tells whether the reply changed it.
    pub fn answered(&mut self, entry: SocketAddr, named: u64, held: u64, news: bool) {
        self.named.insert(entry, named);
        let sends = news && named != held;
        if self.chosen == Some(entry) && !sends {
            self.chosen = None;
        } else if self.chosen.is_none() && sends {
            self.chosen = Some(entry);
        }
    }

    /// Forgets the entries that get no reports any longer.
    pub fn retain(&mut self, entries: &[SocketAddr]) {
        self.named.retain(|entry, _| entries.contains(entry));
        self.chosen = self.chosen.filter(|chosen| entries.contains(chosen));
    }

    /// Notes that `entry` didn't answer.
    pub fn failed(&mut self, entry: SocketAddr) {
        self.named.remove(&entry);
        self.chosen = self.chosen.filter(|chosen| *chosen != entry);
    }
}

//! Which entries of a failure domain read the store, and where the others get what those read.
//!
//! The configuration may be large and registrations change all the time. If every entry read both from the store, the links
//! between regions would carry each of them once per entry.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Entries of a domain that read the store for the others.
const RELAYS: usize = 2;
/// Entries of a domain up to which each reads the store itself.
const SMALL_DOMAIN: usize = 5;
/// Time after which an entry that no agent names any more is taken for gone.
const GONE: Duration = Duration::from_secs(6);
/// Time for which a relay that failed isn't asked.
const AVOIDED: Duration = Duration::from_secs(3);

/// Entries of the own domain, as agents name them.
#[derive(Clone, Debug)]
pub struct Relays {
    me: SocketAddr,
    /// When each other entry was last named.
    named: BTreeMap<SocketAddr, Instant>,
    /// When each relay last failed.
    failed: BTreeMap<SocketAddr, Instant>,
}

/// Where an entry reads what operators and targets write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store, for this entry alone: the domain is small, or no relay answers.
    Store,
    /// The store, for the other entries as well.
    Shared,
    /// Another entry of the domain.
    Relay(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Shared => f.write_str("store-for-others"),
            Self::Relay(relay) => write!(f, "{relay}"),
        }
    }
}

impl Relays {
    /// Returns the view of the entry at `me`, which knows no other one yet.
    pub fn new(me: SocketAddr) -> Self {
        Self {
            me,
            named: BTreeMap::new(),
            failed: BTreeMap::new(),
        }
    }

    /// Takes the entries of the domain that an agent names.
    pub fn record_live(&mut self, now: Instant, entries: &[SocketAddr]) {
        self.named
            .retain(|_, at| now.saturating_duration_since(*at) < GONE);
        let others = entries.iter().filter(|entry| **entry != self.me);
        self.named.extend(others.map(|entry| (*entry, now)));
    }

    /// Notes that a relay gave no answer, or said that it doesn't reach the store.
    pub fn failed(&mut self, now: Instant, relay: SocketAddr) {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < AVOIDED);
        self.failed.insert(relay, now);
    }

    /// Returns where to read now.
    pub fn source(&self, now: Instant) -> Source {
        let live = self.named.iter();
        let live = live.filter(|(_, at)| now.saturating_duration_since(**at) < GONE);
        let mut order: Vec<SocketAddr> = live.map(|(entry, _)| *entry).collect();
        order.push(self.me);
        if order.len() <= SMALL_DOMAIN {
            return Source::Store;
        }
        order.sort_by_key(|entry| (score(entry), *entry));
        order.truncate(RELAYS);
        if order.contains(&self.me) {
            return Source::Shared;
        }
        // The others are divided among the relays.
        let first = score(&self.me) as usize % order.len();
        order.rotate_left(first);
        let avoided = |relay: &SocketAddr| {
            let failed = self.failed.get(relay);
            failed.is_some_and(|at| now.saturating_duration_since(*at) < AVOIDED)
        };
        let relay = order.into_iter().find(|relay| !avoided(relay));
        relay.map_or(Source::Store, Source::Relay)
    }
}

fn score(entry: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

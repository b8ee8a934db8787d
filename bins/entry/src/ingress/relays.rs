//! Selection of relays: the entries of a failure domain that read the store on behalf of the others.
//!
//! The configuration may be large, and registrations change all the time. If every entry read both from the store, the
//! links between regions would carry each change once per entry.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of entries of a domain that read the store for the others.
const RELAYS_PER_DOMAIN: usize = 2;
/// Number of entries of a domain up to which every entry reads the store itself.
const MAX_DIRECT_READERS: usize = 5;
/// Time after which an entry that no agent reports any more is considered gone.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a relay is skipped after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// The live entries of this entry's failure domain, as agents report them, and the failures of relays.
#[derive(Clone, Debug)]
pub struct Relays {
    own_address: SocketAddr,
    /// When each other entry was last reported.
    last_seen: BTreeMap<SocketAddr, Instant>,
    /// When each relay last failed.
    failures: BTreeMap<SocketAddr, Instant>,
}

/// Where an entry reads the objects that operators and targets write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store, for this entry alone, because the domain is small or no relay responds.
    Store,
    /// The store, on behalf of the other entries as well.
    Shared,
    /// Another entry of the domain.
    Relay(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store | Self::Shared => f.write_str(self.label()),
            Self::Relay(relay) => write!(f, "{relay}"),
        }
    }
}

impl Source {
    /// Returns the name used as a label of metrics, which doesn't tell relays apart.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Shared => "store-for-others",
            Self::Relay(_) => "relay",
        }
    }
}

impl Relays {
    /// Returns the view of the entry at `own_address`, which knows no other entries yet.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            last_seen: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    /// Records the entries of the domain that an agent reports as live.
    pub fn record_live(&mut self, now: Instant, entries: &[SocketAddr]) {
        self.last_seen
            .retain(|_, at| now.saturating_duration_since(*at) < ENTRY_TIMEOUT);
        let others = entries.iter().filter(|entry| **entry != self.own_address);
        self.last_seen.extend(others.map(|entry| (*entry, now)));
    }

    /// Returns whether agents have reported other entries of the domain.
    pub fn has_others(&self) -> bool {
        !self.last_seen.is_empty()
    }

    /// Records that a relay did not respond.
    pub fn record_failure(&mut self, now: Instant, relay: SocketAddr) {
        self.failures
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_BACKOFF);
        self.failures.insert(relay, now);
    }

    /// Returns the rank of this entry among the live entries of its domain, and their number.
    pub fn rank(&self, now: Instant) -> (usize, usize) {
        let live = self.live(now);
        let rank = live.iter().position(|entry| *entry == self.own_address);
        (rank.unwrap_or_default(), live.len())
    }

    /// Returns whether the domain has so many live entries that relays read the store for the others.
    pub fn has_relays(&self, now: Instant) -> bool {
        self.live(now).len() > MAX_DIRECT_READERS
    }

    /// Returns the live entries of the domain, in an order that is the same at all of them.
    fn live(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.last_seen.iter();
        let live = live.filter(|(_, at)| now.saturating_duration_since(**at) < ENTRY_TIMEOUT);
        let mut live: Vec<SocketAddr> = live.map(|(entry, _)| *entry).collect();
        live.push(self.own_address);
        live.sort_by_key(|entry| (hash_address(entry), *entry));
        live
    }

    /// Returns the source to read from now.
    pub fn source(&self, now: Instant) -> Source {
        self.source_without(now, |_| false)
    }

    /// Returns the source to read from now, which is no relay for which `is_refused` returns true.
    pub fn source_without(&self, now: Instant, is_refused: impl Fn(&SocketAddr) -> bool) -> Source {
        let mut candidates = self.live(now);
        if !self.has_relays(now) {
            return Source::Store;
        }
        candidates.truncate(RELAYS_PER_DOMAIN);
        if candidates.contains(&self.own_address) {
            return Source::Shared;
        }
        // The other entries are spread over the relays by the hash of their address.
        let first = hash_address(&self.own_address) as usize % candidates.len();
        candidates.rotate_left(first);
        let failed_recently = |relay: &SocketAddr| {
            let last_failure = self.failures.get(relay);
            last_failure.is_some_and(|at| now.saturating_duration_since(*at) < FAILURE_BACKOFF)
        };
        let mut relays = candidates.into_iter();
        let relay = relays.find(|relay| !failed_recently(relay) && !is_refused(relay));
        relay.map_or(Source::Store, Source::Relay)
    }
}

fn hash_address(entry: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

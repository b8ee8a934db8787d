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
/// Time for which an entry waits for a relay that responds but is behind before it reads the store itself.
const MIN_PATIENCE: Duration = Duration::from_millis(800);
/// Time by which each further entry of the domain waits longer. The relays get what the entries wait for in this time; the
/// link to the store would need longer for all entries.
const PATIENCE_PER_RANK: Duration = Duration::from_millis(150);
/// Time for which a relay is skipped after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// The live entries of this entry's failure domain, as agents report them, and the failures of relays.
#[derive(Clone, Debug)]
pub struct Relays {
    own_address: SocketAddr,
    /// When each other entry was last reported.
    last_seen: BTreeMap<SocketAddr, Instant>,
    /// When and how each relay last failed.
    failures: BTreeMap<SocketAddr, (Instant, Failure)>,
}

/// How a relay failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It did not respond.
    Silent,
    /// It responded that it can't reach the store or has not read the objects yet, or its objects are outdated.
    Behind,
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
            Self::Store => f.write_str("store"),
            Self::Shared => f.write_str("store-for-others"),
            Self::Relay(relay) => write!(f, "{relay}"),
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

    /// Records a failure of a relay.
    pub fn record_failure(&mut self, now: Instant, relay: SocketAddr, failure: Failure) {
        self.failures
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < FAILURE_BACKOFF);
        self.failures.insert(relay, (now, failure));
    }

    /// Returns whether agents have reported other entries of the domain.
    pub fn has_others(&self) -> bool {
        !self.last_seen.is_empty()
    }

    /// Returns the rank of this entry among the live entries of its domain, and their number.
    pub fn rank(&self, now: Instant) -> (usize, usize) {
        let live = self.live(now);
        let rank = live.iter().position(|entry| *entry == self.own_address);
        (rank.unwrap_or_default(), live.len())
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

    /// Returns the source to read from now; `waiting_since` is the time of the first failure since the last read from a
    /// relay or of the last failure of the store, if any.
    ///
    /// A relay that responds but is behind is asked again for a while: the store was down, or the link to it is full, and
    /// would be fuller if all entries of the domain read the store.
    pub fn source(&self, now: Instant, waiting_since: Option<Instant>) -> Source {
        let mut candidates = self.live(now);
        if candidates.len() <= MAX_DIRECT_READERS {
            return Source::Store;
        }
        let rank = candidates.iter().position(|it| *it == self.own_address);
        candidates.truncate(RELAYS_PER_DOMAIN);
        if candidates.contains(&self.own_address) {
            return Source::Shared;
        }
        // The other entries are spread over the relays by the hash of their address.
        let first = hash_address(&self.own_address) as usize % candidates.len();
        candidates.rotate_left(first);
        let last_failure = |relay: &SocketAddr| {
            let last_failure = self.failures.get(relay).copied();
            last_failure.filter(|(at, _)| now.saturating_duration_since(*at) < FAILURE_BACKOFF)
        };
        let mut relays = candidates.iter();
        if let Some(relay) = relays.find(|relay| last_failure(relay).is_none()) {
            return Source::Relay(*relay);
        }
        let patience = MIN_PATIENCE + PATIENCE_PER_RANK * rank.unwrap_or_default() as u32;
        if waiting_since.is_some_and(|at| now.saturating_duration_since(at) >= patience) {
            return Source::Store;
        }
        let behind = candidates
            .iter()
            .filter_map(|relay| match last_failure(relay) {
                Some((at, Failure::Behind)) => Some((at, *relay)),
                _ => None,
            });
        let longest_ago = behind.min_by_key(|(at, _)| *at);
        longest_ago.map_or(Source::Store, |(_, relay)| Source::Relay(relay))
    }
}

fn hash_address(entry: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

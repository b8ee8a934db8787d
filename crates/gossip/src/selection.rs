//! Selection of the peers that a member pushes to, exchanges records with and reports to.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::hash;
use crate::random::Random;
use crate::record::{Key, Node, Phase, Target};
use crate::store::Store;

/// Number of peers in the own domain that a changed record is pushed to.
const PUSH_FANOUT: usize = 3;

/// One exchange in this many is with an entry of another domain.
const REMOTE_EXCHANGE_PERIOD: u64 = 8;

/// Approximate number of pushes of one change that leave a domain, independent of the size of the domain.
///
/// Enough to reach most of 8 other domains in the first round.
const REMOTE_PUSHES_PER_CHANGE: usize = 8;

/// Number of entries per domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Minimum number of entries that a target reports to, if the domain has that many.
///
/// At the target size, 2 makes each entry receive the reports of 22 targets and 3 those of 33. A report costs about 240
/// bytes with its reply and three TCP/IP headers, so 3 exceeds the budget of 6 KB/s of control traffic at any interval
/// that leaves slack within the 2 s after which a target is suspect.
const MIN_REPORT_ENTRIES: usize = 2;

/// Average number of targets of a service that report to one entry.
const REPORTS_PER_ENTRY: usize = 8;

/// Maximum number of entries that are remembered after their records were dropped.
///
/// At the target size of 600 entries, about 75 are replaced a day, as often as other VMs. Entries lost in a partition
/// are therefore still remembered when it heals after an hour, and one that answers is enough to rediscover the others.
const MAX_DROPPED_ENTRIES: usize = 256;

/// Selects the gossip peers of one entry.
#[derive(Clone, Debug)]
pub struct PeerSelector {
    name: String,
    domain: String,
    random: Random,
    exchanges: u64,
    seeds: Vec<SocketAddr>,
    /// Number of selections so far among entries that are not known to be live.
    fallbacks: usize,
    /// Entries whose records were dropped, oldest first.
    dropped: VecDeque<(String, SocketAddr)>,
}

impl PeerSelector {
    /// Creates the selector for the entry `name` in `domain`, which draws from `random`.
    pub fn new(name: &str, domain: &str, random: Random) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            random,
            exchanges: 0,
            seeds: Vec::new(),
            fallbacks: 0,
            dropped: VecDeque::new(),
        }
    }

    /// Sets the seed addresses, which are contacted while no entry is known and occasionally afterwards.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Remembers an entry whose record is dropped, so that it is rediscovered if it was only partitioned.
    ///
    /// At most 256 entries are remembered; the oldest is evicted.
    pub fn remember_dropped(&mut self, name: &str, node: &Node) {
        self.dropped.retain(|(dropped, _)| dropped != name);
        if self.dropped.len() == MAX_DROPPED_ENTRIES {
            self.dropped.pop_front();
        }
        self.dropped.push_back((name.into(), node.peer));
    }

    /// Returns the entries to push changed records to: 3 of the own domain, and sometimes one of another.
    ///
    /// Each entry of the domain pushes a change once. In a domain of up to 8 entries each of them also pushes it to
    /// another domain, in a domain of 67 one in eight does. Exchanges alone would take up to 8 s to reach other
    /// domains.
    pub fn push_peers(&mut self, store: &Store) -> Vec<(String, Node)> {
        let mut selected = self.select(store, true, PUSH_FANOUT);
        let domain_size = self
            .live_peers(store)
            .filter(|(_, node)| node.domain == self.domain);
        let domain_size = domain_size.count() + 1;
        if self.random.below(domain_size) < REMOTE_PUSHES_PER_CHANGE {
            selected.extend(self.select(store, false, 1));
        }
        selected
    }

    /// Returns the entry to compare stores with: one of the own domain, but every eighth time one of another domain.
    ///
    /// If there is no live entry of the preferred kind, one of the other kind is selected. Every 64th selection is made
    /// among the entries that are down, the remembered ones and the seeds, so that domains rediscover each other after
    /// a partition in which each side declared the other down. A seed is named by its address.
    pub fn exchange_peer(&mut self, store: &Store) -> Option<(String, SocketAddr)> {
        self.exchanges += 1;
        if (self
            .exchanges
            .is_multiple_of(REMOTE_EXCHANGE_PERIOD * REMOTE_EXCHANGE_PERIOD)
            || self.live_peers(store).next().is_none())
            && let Some(selected) = self.fallback_peer(store)
        {
            return Some(selected);
        }
        let local = !self.exchanges.is_multiple_of(REMOTE_EXCHANGE_PERIOD);
        let selected = self.select(store, local, 1).pop();
        let selected = selected.or_else(|| self.select(store, !local, 1).pop());
        selected.map(|(name, node)| (name, node.peer))
    }

    /// Returns a peer that is not known to be live: a seed, or every second time an entry that is down or dropped.
    fn fallback_peer(&mut self, store: &Store) -> Option<(String, SocketAddr)> {
        self.dropped
            .retain(|(name, _)| store.version(&Key::Entry(name.clone())).is_none());
        self.fallbacks += 1;
        let live: Vec<SocketAddr> = self.live_peers(store).map(|(_, node)| node.peer).collect();
        let seeds = self.seeds.iter().filter(|seed| !live.contains(seed));
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        let down = store
            .entries()
            .filter(|(name, node)| node.phase == Phase::Down && *name != self.name);
        let down = down.map(|(name, node)| (name.to_owned(), node.peer));
        let known: Vec<_> = down.chain(self.dropped.iter().cloned()).collect();
        // Without known entries every call returns a seed, in round-robin order.
        let seed_index = match known.is_empty() {
            true => self.fallbacks,
            false => self.fallbacks / 2,
        };
        let seed = (!seeds.is_empty()).then(|| seeds[seed_index % seeds.len()]);
        let seed = seed.map(|seed| (seed.to_string(), seed));
        match seed {
            Some(seed) if known.is_empty() || self.fallbacks.is_multiple_of(2) => Some(seed),
            _ => self.random.choose(known, 1).pop(),
        }
    }

    fn select(&mut self, store: &Store, local: bool, count: usize) -> Vec<(String, Node)> {
        let candidates = self
            .live_peers(store)
            .filter(|(_, node)| (node.domain == self.domain) == local);
        let candidates = candidates.collect::<Vec<_>>();
        let selected = self.random.choose(candidates, count).into_iter();
        selected
            .map(|(name, node)| (name.to_owned(), node.clone()))
            .collect()
    }

    fn live_peers<'a>(
        &self,
        store: &'a Store,
    ) -> impl Iterator<Item = (&'a str, &'a Node)> + use<'a> {
        let own_name = self.name.clone();
        store
            .entries()
            .filter(move |(name, node)| node.phase != Phase::Down && *name != own_name)
    }
}

/// Returns the entries of `domain` that watch the platform: the first two live entries in rendezvous order.
pub fn watchers<'a>(store: &'a Store, domain: &str) -> Vec<&'a str> {
    let live = store
        .entries()
        .filter(|(_, node)| node.phase == Phase::Live && node.domain == domain);
    let mut order = rendezvous_order(domain, live.map(|(name, _)| name));
    order.truncate(WATCHERS_PER_DOMAIN);
    order
}

/// Returns the number of entries that a target reports to: `ceil(8 * entries / targets)`, between 2 and `entries`.
///
/// ```
/// assert_eq!(gossip::report_count(67, 722), 2);
/// assert_eq!(gossip::report_count(67, 20), 27);
/// assert_eq!(gossip::report_count(2, 5), 2);
/// ```
pub fn report_count(entries: usize, targets: usize) -> usize {
    let count = (REPORTS_PER_ENTRY * entries).div_ceil(targets.max(1));
    count.max(MIN_REPORT_ENTRIES).min(entries)
}

/// Returns the entries that `target` reports to, in rendezvous order.
///
/// They are live entries of the target's domain, or of all domains if its own has none. Their number depends on the
/// targets of the same service and domain that are not down. Entries for which `skip` returns true, such as those that
/// don't answer the target, are replaced by the next in order.
pub fn report_entries<'a>(
    store: &'a Store,
    target: &str,
    domain: &str,
    service: &str,
    skip: impl Fn(&str) -> bool,
) -> Vec<(&'a str, &'a Node)> {
    let live: Vec<_> = store
        .entries()
        .filter(|(_, node)| node.phase == Phase::Live)
        .collect();
    let local: Vec<_> = live
        .iter()
        .filter(|(_, node)| node.domain == domain)
        .copied()
        .collect();
    let mut candidates = if local.is_empty() { live } else { local };
    let targets = store.targets().filter(|(_, other)| {
        other.domain == domain && other.service == service && other.phase != Phase::Down
    });
    let count = report_count(candidates.len(), targets.count());
    candidates.retain(|(name, _)| !skip(name));
    candidates.sort_by_cached_key(|(name, _)| std::cmp::Reverse(hash::weight(target, name)));
    candidates.truncate(count);
    candidates
}

/// Returns the targets that report to the entry `name`.
///
/// They are targets of its own domain and of domains without a live entry; those that are down are left out. The result
/// agrees with [`report_entries`] for each target, but takes one pass over the store. Every target has a live
/// entry to report to, so the loss of a whole domain is detected by entries elsewhere.
pub fn reporters<'a>(store: &'a Store, name: &str) -> Vec<&'a str> {
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut live = Vec::new();
    for (entry, node) in store.entries() {
        if node.phase == Phase::Live {
            domains.entry(&node.domain).or_default().push(entry);
            live.push(entry);
        }
    }
    let targets: Vec<_> = store
        .targets()
        .filter(|(_, target)| target.phase != Phase::Down)
        .collect();
    let mut services: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (_, target) in &targets {
        let count = services.entry((&target.domain, &target.service));
        *count.or_default() += 1;
    }
    let reports_to_name = |target: &str, value: &Target| {
        let entries = domains.get(&*value.domain).unwrap_or(&live);
        let count = services[&(&*value.domain, &*value.service)];
        let count = report_count(entries.len(), count);
        let own_weight = hash::weight(target, name);
        let ranks_ahead = |entry: &&&str| hash::weight(target, entry) > own_weight;
        entries.contains(&name) && entries.iter().filter(ranks_ahead).count() < count
    };
    let reporting = targets
        .into_iter()
        .filter(|(target, value)| reports_to_name(target, value));
    reporting.map(|(target, _)| target).collect()
}

fn rendezvous_order<'a>(subject: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<_> = names.collect();
    order.sort_by_cached_key(|name| std::cmp::Reverse(hash::weight(subject, name)));
    order
}

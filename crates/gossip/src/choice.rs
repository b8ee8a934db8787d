//! Which members talk to which.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::hash;
use crate::random::Random;
use crate::record::{Key, Node, Phase, Target};
use crate::store::Store;

/// Number of peers that a changed record is pushed to.
const FAN_OUT: usize = 3;

/// One of this many exchanges reaches another domain.
const REMOTE_EVERY: u64 = 8;

/// Pushes of one change that leave a domain, about, whatever its size: enough to reach most of 8 other domains at once.
const REMOTE_PUSHES: usize = 8;

/// Number of entries of a domain that watch the platform.
const WATCHERS: usize = 2;

/// Fewest entries that a target reports to, where there are as many.
///
/// With 2 an entry of the target size gets the reports of 22 targets. With 3 they are 33, and a report costs about 240
/// bytes with its reply and three TCP/IP headers: more than the 6 KB/s of control traffic at any interval that leaves
/// slack within the 2 s after which a target is suspect.
const REPORTS_MIN: usize = 2;

/// Reports that an entry would get if every target of a service chose the same number of entries.
const REPORTS_PER_ENTRY: usize = 8;

/// Most entries that are remembered after their records were dropped.
///
/// At target size 600 entries are replaced as often as other VMs, about 75 a day. Entries lost in a partition are still
/// remembered when it heals after an hour, and one that answers is enough to find the others.
const LOST_MAX: usize = 256;

/// Choice of the peers of one entry.
#[derive(Clone, Debug)]
pub struct Peers {
    name: String,
    domain: String,
    random: Random,
    exchanges: u64,
    seeds: Vec<SocketAddr>,
    /// Number of choices among the entries that are not known to be live.
    retries: usize,
    /// Entries whose records were dropped, oldest first.
    lost: VecDeque<(String, SocketAddr)>,
}

impl Peers {
    /// Returns the choices of the entry `name` in `domain`, made with `random`.
    pub fn new(name: &str, domain: &str, random: Random) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            random,
            exchanges: 0,
            seeds: Vec::new(),
            retries: 0,
            lost: VecDeque::new(),
        }
    }

    /// Sets the addresses that are asked while no entry is known, and at times later.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Remembers an entry whose record is dropped, so that it is found again if it was only cut off.
    ///
    /// The oldest of more than 256 is forgotten.
    pub fn remember(&mut self, name: &str, node: &Node) {
        self.lost.retain(|(lost, _)| lost != name);
        if self.lost.len() == LOST_MAX {
            self.lost.pop_front();
        }
        self.lost.push_back((name.into(), node.peer));
    }

    /// Returns the entries to push changed records to: 3 of the own domain, and at times one of another.
    ///
    /// Each entry of the domain pushes a change once. Each pushes it to another domain too in a domain of up to 8 entries, one in
    /// eight in a domain of 67; exchanges alone would take up to 8 s.
    pub fn push(&mut self, store: &Store) -> Vec<(String, Node)> {
        let mut chosen = self.pick(store, true, FAN_OUT);
        let home = self
            .live(store)
            .filter(|(_, node)| node.domain == self.domain);
        let home = home.count() + 1;
        if self.random.below(home) < REMOTE_PUSHES {
            chosen.extend(self.pick(store, false, 1));
        }
        chosen
    }

    /// Returns the entry to compare stores with: of the own domain, but every eighth time of another.
    ///
    /// Where one kind has no live entry, the other is chosen. Every 64th choice is among the entries that are down, the
    /// remembered ones and the seeds, so that domains find each other again after a partition in which each side
    /// declared the other down. A seed is named by its address.
    pub fn exchange(&mut self, store: &Store) -> Option<(String, SocketAddr)> {
        self.exchanges += 1;
        if (self.exchanges.is_multiple_of(REMOTE_EVERY * REMOTE_EVERY)
            || self.live(store).next().is_none())
            && let Some(chosen) = self.retry(store)
        {
            return Some(chosen);
        }
        let home = !self.exchanges.is_multiple_of(REMOTE_EVERY);
        let chosen = self.pick(store, home, 1).pop();
        let chosen = chosen.or_else(|| self.pick(store, !home, 1).pop());
        chosen.map(|(name, node)| (name, node.peer))
    }

    /// Returns a seed, and every second time an entry that is down or lost.
    fn retry(&mut self, store: &Store) -> Option<(String, SocketAddr)> {
        self.lost
            .retain(|(name, _)| store.version(&Key::Entry(name.clone())).is_none());
        self.retries += 1;
        let live: Vec<SocketAddr> = self.live(store).map(|(_, node)| node.peer).collect();
        let seeds = self.seeds.iter().filter(|seed| !live.contains(seed));
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        let down = store
            .entries()
            .filter(|(name, node)| node.phase == Phase::Down && *name != self.name);
        let down = down.map(|(name, node)| (name.to_owned(), node.peer));
        let known: Vec<_> = down.chain(self.lost.iter().cloned()).collect();
        // Without known ones each retry is a seed, in turn.
        let turn = match known.is_empty() {
            true => self.retries,
            false => self.retries / 2,
        };
        let seed = (!seeds.is_empty()).then(|| seeds[turn % seeds.len()]);
        let seed = seed.map(|seed| (seed.to_string(), seed));
        match seed {
            Some(seed) if known.is_empty() || self.retries.is_multiple_of(2) => Some(seed),
            _ => self.random.choose(known, 1).pop(),
        }
    }

    fn pick(&mut self, store: &Store, home: bool, count: usize) -> Vec<(String, Node)> {
        let list = self
            .live(store)
            .filter(|(_, node)| (node.domain == self.domain) == home);
        let list = list.collect::<Vec<_>>();
        let chosen = self.random.choose(list, count).into_iter();
        chosen
            .map(|(name, node)| (name.to_owned(), node.clone()))
            .collect()
    }

    fn live<'a>(&self, store: &'a Store) -> impl Iterator<Item = (&'a str, &'a Node)> + use<'a> {
        let me = self.name.clone();
        store
            .entries()
            .filter(move |(name, node)| node.phase != Phase::Down && *name != me)
    }
}

/// Returns the entries of `domain` that watch the platform: the first two live ones in rendezvous order.
pub fn watchers<'a>(store: &'a Store, domain: &str) -> Vec<&'a str> {
    let live = store
        .entries()
        .filter(|(_, node)| node.phase == Phase::Live && node.domain == domain);
    let mut order = rendezvous(domain, live.map(|(name, _)| name));
    order.truncate(WATCHERS);
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
    let wanted = (REPORTS_PER_ENTRY * entries).div_ceil(targets.max(1));
    wanted.max(REPORTS_MIN).min(entries)
}

/// Returns the entries that `target` reports to, first in rendezvous order first.
///
/// They are live entries of the target's domain; a domain without any makes its targets report to entries elsewhere.
/// Targets of the same service and domain are counted as long as they are not down. Entries for which `skip` is true,
/// such as those that don't answer the target, are passed over for the next in order.
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
    let home: Vec<_> = live
        .iter()
        .filter(|(_, node)| node.domain == domain)
        .copied()
        .collect();
    let mut list = if home.is_empty() { live } else { home };
    let targets = store.targets().filter(|(_, other)| {
        other.domain == domain && other.service == service && other.phase != Phase::Down
    });
    let count = report_count(list.len(), targets.count());
    list.retain(|(name, _)| !skip(name));
    list.sort_by_cached_key(|(name, _)| std::cmp::Reverse(hash::weight(target, name)));
    list.truncate(count);
    list
}

/// Returns the targets, unless they are down, that report to the entry `name`: of its own domain, and of domains
/// without a live entry.
///
/// It gives the same as [`report_entries`] for each target, with one pass over the store. Some live entry is named for
/// every target, so that a domain that dies as a whole is noticed elsewhere.
pub fn reporters<'a>(store: &'a Store, name: &str) -> Vec<&'a str> {
    let mut homes: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut live = Vec::new();
    for (entry, node) in store.entries() {
        if node.phase == Phase::Live {
            homes.entry(&node.domain).or_default().push(entry);
            live.push(entry);
        }
    }
    let targets: Vec<_> = store
        .targets()
        .filter(|(_, target)| target.phase != Phase::Down)
        .collect();
    let mut services: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (_, target) in &targets {
        let counted = services.entry((&target.domain, &target.service));
        *counted.or_default() += 1;
    }
    let reports = |target: &str, value: &Target| {
        let entries = homes.get(&*value.domain).unwrap_or(&live);
        let count = services[&(&*value.domain, &*value.service)];
        let count = report_count(entries.len(), count);
        let mine = hash::weight(target, name);
        let ahead = |entry: &&&str| hash::weight(target, entry) > mine;
        entries.contains(&name) && entries.iter().filter(ahead).count() < count
    };
    let reporting = targets
        .into_iter()
        .filter(|(target, value)| reports(target, value));
    reporting.map(|(target, _)| target).collect()
}

fn rendezvous<'a>(subject: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<_> = names.collect();
    order.sort_by_cached_key(|name| std::cmp::Reverse(hash::weight(subject, name)));
    order
}

//! One downloader's view of its peers: the owners of each stripe and the peers to avoid.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{Members, Peer, Stripes};

/// Time for which a peer gets no requests after a stall, an error or a corrupted chunk.
pub(crate) const AVOID_DURATION: Duration = Duration::from_secs(10);

/// Number of peers in owner order that may take over a stripe. Without this bound, an agent whose own link stalls would
/// avoid every peer and use up the permits of all stripes.
pub(crate) const MAX_OWNERS: usize = 3;

/// Members, the first owners of each stripe in the local domain, and avoided peers.
#[derive(Debug)]
pub(crate) struct Peers {
    members: Members,
    local: Peer,
    stripes: Stripes,
    owners: Vec<Vec<SocketAddr>>,
    /// The first owners of each stripe in other domains, computed on first use.
    other_domains: RefCell<HashMap<String, Vec<Vec<SocketAddr>>>>,
    avoided: HashMap<SocketAddr, Instant>,
}

/// The agent responsible for fetching a stripe into the local domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StripeOwner {
    /// The local agent.
    Local,
    /// Another agent of the domain.
    Peer(SocketAddr),
    /// All peers that may take over the stripe are avoided.
    Unavailable,
}

impl Peers {
    pub(crate) fn new(members: &Members, local: Peer, stripes: Stripes) -> Self {
        let mut peers = Self {
            members: Members::default(),
            local,
            stripes,
            owners: Vec::new(),
            other_domains: RefCell::default(),
            avoided: HashMap::new(),
        };
        peers.set_members(members);
        peers
    }

    /// Returns the same peers with the stripes of another version.
    pub(crate) fn with_stripes(mut self, stripes: Stripes) -> Self {
        self.stripes = stripes;
        let members = std::mem::take(&mut self.members);
        self.set_members(&members);
        self
    }

    /// Replaces the members; the local agent is always included.
    pub(crate) fn set_members(&mut self, members: &Members) {
        self.members = Members::new(members.iter().chain([&self.local]).cloned());
        self.other_domains.borrow_mut().clear();
        self.owners = self.compute_owners(&self.local.domain);
    }

    /// Returns the number of agents, including the local one.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn avoid(&mut self, peer: SocketAddr, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer, now + AVOID_DURATION);
    }

    pub(crate) fn is_usable(&self, peer: SocketAddr, now: Instant) -> bool {
        self.avoided.get(&peer).is_none_or(|until| *until <= now)
    }

    pub(crate) fn is_local(&self, peer: SocketAddr) -> bool {
        peer == self.local.address
    }

    /// Returns the number of owners before the local agent, or `None` if it isn't among the first owners.
    pub(crate) fn owner_rank(&self, stripe: u32) -> Option<usize> {
        self.owners[stripe as usize]
            .iter()
            .position(|peer| *peer == self.local.address)
    }

    pub(crate) fn owner(&self, stripe: u32, now: Instant) -> StripeOwner {
        for peer in &self.owners[stripe as usize] {
            if *peer == self.local.address {
                return StripeOwner::Local;
            }
            if self.is_usable(*peer, now) {
                return StripeOwner::Peer(*peer);
            }
        }
        StripeOwner::Unavailable
    }

    /// Returns the first usable owner in the local domain other than the local agent and `exclude`.
    pub(crate) fn other_owner(
        &self,
        stripe: u32,
        exclude: Option<SocketAddr>,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.owners[stripe as usize].iter().copied().find(|peer| {
            *peer != self.local.address && Some(*peer) != exclude && self.is_usable(*peer, now)
        })
    }

    /// Returns the domains in rendezvous order for `stripe` and the index of the local one.
    pub(crate) fn domain_order(&self, stripe: u32) -> (Vec<&str>, usize) {
        let order = self.members.domain_order(self.stripes.key(stripe));
        let own = order.iter().position(|domain| *domain == self.local.domain);
        (order, own.unwrap_or(0))
    }

    /// Returns the first usable owner of `stripe` in `domain`, another domain.
    pub(crate) fn owner_in_domain(
        &self,
        domain: &str,
        stripe: u32,
        now: Instant,
    ) -> Option<SocketAddr> {
        let mut other_domains = self.other_domains.borrow_mut();
        if !other_domains.contains_key(domain) {
            other_domains.insert(domain.into(), self.compute_owners(domain));
        }
        let first = other_domains.get(domain)?.get(stripe as usize)?;
        first
            .iter()
            .copied()
            .find(|peer| self.is_usable(*peer, now))
    }

    /// Returns the usable peer at `index`, modulo their number, among all others: the local domain first, then the
    /// others in rendezvous order.
    pub(crate) fn nth_peer(&self, stripe: u32, index: usize, now: Instant) -> Option<SocketAddr> {
        let key = self.stripes.key(stripe);
        let (mut domains, own) = self.domain_order(stripe);
        domains[..=own].rotate_right(1);
        let all: Vec<SocketAddr> = domains
            .into_iter()
            .flat_map(|domain| self.members.owner_order(domain, key))
            .map(|peer| peer.address)
            .filter(|peer| *peer != self.local.address && self.is_usable(*peer, now))
            .collect();
        all.get(index % all.len().max(1)).copied()
    }

    /// Returns the first owners of each stripe in `domain`.
    ///
    /// They follow the rendezvous order, except that no agent comes first for more than its share of the stripes: the
    /// link of the agent with the most stripes determines when a transfer ends.
    fn compute_owners(&self, domain: &str) -> Vec<Vec<SocketAddr>> {
        let stripes = self.stripes.count();
        let mut load: HashMap<SocketAddr, usize> = HashMap::new();
        (0..stripes)
            .map(|stripe| {
                let order = self.members.owner_order(domain, self.stripes.key(stripe));
                let share = (stripes as usize).div_ceil(order.len().max(1));
                let mut order: Vec<SocketAddr> =
                    order.into_iter().map(|peer| peer.address).collect();
                let has_capacity =
                    |peer: &SocketAddr| load.get(peer).is_none_or(|load| *load < share);
                if let Some(first) = order.iter().position(has_capacity) {
                    order[..=first].rotate_right(1);
                    *load.entry(order[0]).or_default() += 1;
                }
                order.truncate(MAX_OWNERS);
                order
            })
            .collect()
    }
}

//! The agents that want a version, and their order for each stripe.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::hash;

/// An agent that takes part in a burst.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Name of the VM.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Address of the chunk port.
    pub address: SocketAddr,
}

/// The live agents that want a version, grouped by failure domain.
///
/// Orders are rendezvous orders: every node that knows the same members computes the same ones, and a member that
/// leaves moves only the stripes that it was first for.
///
/// ```
/// use burst::{Members, Peer};
///
/// let peer = |name: &str, port| Peer {
///     name: name.into(),
///     domain: "levis".into(),
///     region: "levis".into(),
///     address: ([127, 0, 0, 1], port).into(),
/// };
/// let members = Members::new([peer("a", 1), peer("b", 2)]);
/// let order = members.owner_order("levis", 7);
/// assert_eq!(members.owner("levis", 7, |_| true), Some(order[0]));
/// assert_eq!(members.owner("levis", 7, |peer| peer != order[0]), Some(order[1]));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    domains: Vec<Domain>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Domain {
    name: String,
    hash: u64,
    peers: Vec<(u64, Peer)>,
}

impl Members {
    /// Returns the members `peers`; of peers with equal names only one is taken.
    pub fn new(peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut peers: Vec<Peer> = peers.into_iter().collect();
        peers.sort();
        peers.dedup_by(|a, b| a.name == b.name);
        peers.sort_by(|a, b| (&a.domain, &a.name).cmp(&(&b.domain, &b.name)));
        let mut domains: Vec<Domain> = Vec::new();
        for peer in peers {
            if domains.last().is_none_or(|last| last.name != peer.domain) {
                domains.push(Domain {
                    hash: hash::of(peer.domain.as_bytes()),
                    name: peer.domain.clone(),
                    peers: Vec::new(),
                });
            }
            if let Some(last) = domains.last_mut() {
                last.peers.push((hash::of(peer.name.as_bytes()), peer));
            }
        }
        Self { domains }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.domains.iter().map(|domain| domain.peers.len()).sum()
    }

    /// Tells whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the members in order of domain and name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.domains
            .iter()
            .flat_map(|domain| domain.peers.iter().map(|(_, peer)| peer))
    }

    /// Returns the owner order of the stripe with key `key` within `domain`.
    pub fn owner_order(&self, domain: &str, key: u64) -> Vec<&Peer> {
        let mut order: Vec<&(u64, Peer)> = self.peers(domain).iter().collect();
        order.sort_by_key(|(hash, peer)| (Reverse(hash::score(key, *hash)), &peer.name));
        order.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the first peer in the owner order that `accept` accepts, without sorting.
    pub fn owner(&self, domain: &str, key: u64, accept: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        self.peers(domain)
            .iter()
            .filter(|(_, peer)| accept(peer))
            .min_by_key(|(hash, peer)| (Reverse(hash::score(key, *hash)), &peer.name))
            .map(|(_, peer)| peer)
    }

    /// Returns how many peers of `domain` come before `name` in the owner order, or `None` for a stranger.
    pub fn owner_rank(&self, domain: &str, key: u64, name: &str) -> Option<usize> {
        let peers = self.peers(domain);
        let own = peers.iter().find(|(_, peer)| peer.name == name)?;
        let place =
            |(hash, peer): &(u64, Peer)| (Reverse(hash::score(key, *hash)), peer.name.clone());
        let own = place(own);
        Some(peers.iter().filter(|peer| place(peer) < own).count())
    }

    /// Returns the home order of the domains for the stripe with key `key`.
    pub fn domain_order(&self, key: u64) -> Vec<&str> {
        let mut order: Vec<&Domain> = self.domains.iter().collect();
        order.sort_by_key(|domain| (Reverse(hash::score(key, domain.hash)), &domain.name));
        order
            .into_iter()
            .map(|domain| domain.name.as_str())
            .collect()
    }

    fn peers(&self, domain: &str) -> &[(u64, Peer)] {
        self.domains
            .binary_search_by(|probe| probe.name.as_str().cmp(domain))
            .map_or(&[], |found| &self.domains[found].peers)
    }
}

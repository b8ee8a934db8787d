//! The agents that want a version, and their rendezvous order for each stripe.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::hash;

/// An agent that takes part in a burst.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Name of the VM.
    pub name: String,
    /// Name of the failure domain.
    pub domain: String,
    /// Name of the region of the failure domain.
    pub region: String,
    /// Address of the chunk port.
    pub address: SocketAddr,
}

/// The live agents that want a version, grouped by failure domain.
///
/// Orders are rendezvous orders: all nodes with the same members compute the same ones, and when a member leaves, only
/// the stripes for which it came first get another owner.
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
    /// Returns the members `peers`; of several peers with the same name, one is kept.
    pub fn new(peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut peers: Vec<Peer> = peers.into_iter().collect();
        peers.sort();
        peers.dedup_by(|a, b| a.name == b.name);
        peers.sort_by(|a, b| (&a.domain, &a.name).cmp(&(&b.domain, &b.name)));
        let mut domains: Vec<Domain> = Vec::new();
        for peer in peers {
            if domains.last().is_none_or(|last| last.name != peer.domain) {
                domains.push(Domain {
                    hash: hash::hash(peer.domain.as_bytes()),
                    name: peer.domain.clone(),
                    peers: Vec::new(),
                });
            }
            if let Some(last) = domains.last_mut() {
                last.peers.push((hash::hash(peer.name.as_bytes()), peer));
            }
        }
        Self { domains }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.domains.iter().map(|domain| domain.peers.len()).sum()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the members sorted by domain and name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.domains
            .iter()
            .flat_map(|domain| domain.peers.iter().map(|(_, peer)| peer))
    }

    /// Returns the peers of `domain` in owner order for the stripe with key `key`.
    pub fn owner_order(&self, domain: &str, key: u64) -> Vec<&Peer> {
        let mut order: Vec<&(u64, Peer)> = self.peers(domain).iter().collect();
        order.sort_by_key(|(hash, peer)| (Reverse(hash::score(key, *hash)), &peer.name));
        order.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the first peer in owner order for which `accept` returns true, without sorting.
    pub fn owner(&self, domain: &str, key: u64, accept: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        self.peers(domain)
            .iter()
            .filter(|(_, peer)| accept(peer))
            .min_by_key(|(hash, peer)| (Reverse(hash::score(key, *hash)), &peer.name))
            .map(|(_, peer)| peer)
    }

    /// Returns the number of peers of `domain` before `name` in owner order, or `None` if `name` isn't a member.
    pub fn owner_rank(&self, domain: &str, key: u64, name: &str) -> Option<usize> {
        let peers = self.peers(domain);
        let member = peers.iter().find(|(_, peer)| peer.name == name)?;
        let order_key =
            |(hash, peer): &(u64, Peer)| (Reverse(hash::score(key, *hash)), peer.name.clone());
        let member = order_key(member);
        Some(peers.iter().filter(|peer| order_key(peer) < member).count())
    }

    /// Returns the domains in rendezvous order for the stripe with key `key`.
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

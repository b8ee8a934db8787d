//! The peers as one downloader sees them: owners of each stripe and peers to avoid.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{Members, Peer, Stripes};

/// Time for which a peer isn't asked after a stall, an error or a corrupted chunk.
pub(crate) const AVOID: Duration = Duration::from_secs(10);

/// Owners in order that may take over a stripe. Without a bound, an agent whose own link stalls would avoid everyone
/// and spend the permits of all stripes.
pub(crate) const TAKE_OVER: usize = 3;

/// Members, the first owners of each stripe in the own domain, and avoidance.
#[derive(Debug)]
pub(crate) struct Peers {
    members: Members,
    me: Peer,
    stripes: Stripes,
    first: Vec<Vec<SocketAddr>>,
    /// The first owners of each stripe in other domains, computed when they are asked for.
    elsewhere: RefCell<HashMap<String, Vec<Vec<SocketAddr>>>>,
    avoided: HashMap<SocketAddr, Instant>,
}

/// Who brings a stripe into the own domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// This agent.
    Own,
    /// Another agent of the domain.
    Peer(SocketAddr),
    /// All that may take over are avoided.
    Nobody,
}

impl Peers {
    pub(crate) fn new(members: &Members, me: Peer, stripes: Stripes) -> Self {
        let mut peers = Self {
            members: Members::default(),
            me,
            stripes,
            first: Vec::new(),
            elsewhere: RefCell::default(),
            avoided: HashMap::new(),
        };
        peers.set_members(members);
        peers
    }

    /// Returns the same view for the stripes of another version.
    pub(crate) fn with_stripes(mut self, stripes: Stripes) -> Self {
        self.stripes = stripes;
        let members = std::mem::take(&mut self.members);
        self.set_members(&members);
        self
    }

    /// Replaces the members; this agent is one of them in any case.
    pub(crate) fn set_members(&mut self, members: &Members) {
        self.members = Members::new(members.iter().chain([&self.me]).cloned());
        self.elsewhere.borrow_mut().clear();
        self.first = self.owners(&self.me.domain);
    }

    /// Returns the number of agents, this one included.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn avoid(&mut self, peer: SocketAddr, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer, now + AVOID);
    }

    pub(crate) fn usable(&self, peer: SocketAddr, now: Instant) -> bool {
        self.avoided.get(&peer).is_none_or(|until| *until <= now)
    }

    pub(crate) fn is_me(&self, peer: SocketAddr) -> bool {
        peer == self.me.address
    }

    /// Returns the number of owners before this agent, if it is one of the first.
    pub(crate) fn rank(&self, stripe: u32) -> Option<usize> {
        self.first[stripe as usize]
            .iter()
            .position(|peer| *peer == self.me.address)
    }

    pub(crate) fn owner(&self, stripe: u32, now: Instant) -> Owner {
        for peer in &self.first[stripe as usize] {
            if *peer == self.me.address {
                return Owner::Own;
            }
            if self.usable(*peer, now) {
                return Owner::Peer(*peer);
            }
        }
        Owner::Nobody
    }

    /// Returns the first usable owner in the own domain other than this agent and `not`.
    pub(crate) fn another(
        &self,
        stripe: u32,
        not: Option<SocketAddr>,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.first[stripe as usize]
            .iter()
            .copied()
            .find(|peer| *peer != self.me.address && Some(*peer) != not && self.usable(*peer, now))
    }

    /// Returns the domains in home order and the place of the own one.
    pub(crate) fn home(&self, stripe: u32) -> (Vec<&str>, usize) {
        let order = self.members.home(self.stripes.key(stripe));
        let own = order.iter().position(|domain| *domain == self.me.domain);
        (order, own.unwrap_or(0))
    }

    /// Returns the first usable owner of `stripe` in another domain.
    pub(crate) fn owner_in(&self, domain: &str, stripe: u32, now: Instant) -> Option<SocketAddr> {
        let mut elsewhere = self.elsewhere.borrow_mut();
        if !elsewhere.contains_key(domain) {
            elsewhere.insert(domain.into(), self.owners(domain));
        }
        let first = elsewhere.get(domain)?.get(stripe as usize)?;
        first.iter().copied().find(|peer| self.usable(*peer, now))
    }

    /// Returns the usable peer at place `turn` among all others: first the own domain, then the others in home order.
    pub(crate) fn any(&self, stripe: u32, turn: usize, now: Instant) -> Option<SocketAddr> {
        let key = self.stripes.key(stripe);
        let (mut domains, own) = self.home(stripe);
        domains[..=own].rotate_right(1);
        let all: Vec<SocketAddr> = domains
            .into_iter()
            .flat_map(|domain| self.members.owners(domain, key))
            .map(|peer| peer.address)
            .filter(|peer| *peer != self.me.address && self.usable(*peer, now))
            .collect();
        all.get(turn % all.len().max(1)).copied()
    }

    /// Returns the first owners of each stripe in `domain`.
    ///
    /// They follow the rendezvous order, but no agent is first for more than its share of the stripes: the link of the
    /// one with the most stripes decides when a transfer ends.
    fn owners(&self, domain: &str) -> Vec<Vec<SocketAddr>> {
        let stripes = self.stripes.count();
        let mut load: HashMap<SocketAddr, usize> = HashMap::new();
        (0..stripes)
            .map(|stripe| {
                let order = self.members.owners(domain, self.stripes.key(stripe));
                let share = (stripes as usize).div_ceil(order.len().max(1));
                let mut order: Vec<SocketAddr> =
                    order.into_iter().map(|peer| peer.address).collect();
                let free = |peer: &SocketAddr| load.get(peer).is_none_or(|load| *load < share);
                if let Some(first) = order.iter().position(free) {
                    order[..=first].rotate_right(1);
                    *load.entry(order[0]).or_default() += 1;
                }
                order.truncate(TAKE_OVER);
                order
            })
            .collect()
    }
}

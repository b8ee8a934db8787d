//! The peers as one downloader sees them: owners of each stripe and peers to avoid.

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
        self.first = (0..self.stripes.count())
            .map(|stripe| self.top(&self.me.domain, stripe))
            .collect();
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
        let mut top = self.top(domain, stripe).into_iter();
        top.find(|peer| self.usable(*peer, now))
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

    fn top(&self, domain: &str, stripe: u32) -> Vec<SocketAddr> {
        let key = self.stripes.key(stripe);
        let mut top = Vec::new();
        while top.len() < TAKE_OVER {
            let Some(peer) = self
                .members
                .owner(domain, key, |peer| !top.contains(&peer.address))
            else {
                break;
            };
            top.push(peer.address);
        }
        top
    }
}

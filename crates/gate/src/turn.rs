//! Turn-taking among the targets of a service within a failure domain.
//!
//! Each target decides for itself from its own view: the targets of its domain and service, what each serves, and
//! which are down or leaving. All targets sort the view in the same rendezvous order, and a target is due when fewer
//! than [`allowed`] targets ahead of it still lack the new weights.
//!
//! When the views are equal, the targets that are due are the first [`allowed`] ones that lack the new weights, so no
//! more than that switch at once. When the views differ, each group of targets with equal views keeps the limit, and
//! the groups together may exceed it: a target that is wrongly marked down, or whose old report is still held to name
//! the new weights, is not counted by those that believe so. Views within a domain are equal again one propagation
//! time after the last change. No limit on correctness depends on it: a gate is open only while its own engine serves
//! its pin.

use weights::Digest;

/// A target of the same service and failure domain, as the deciding target sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the target.
    pub name: String,
    /// First 8 bytes of the digest of the weights in service, as reported last.
    pub weights: Option<u64>,
    /// Whether the target is down or leaving, and so doesn't take part in the switch.
    pub gone: bool,
}

/// Returns how many of `targets` may switch at once: a quarter, at least one.
pub fn allowed(targets: usize) -> usize {
    (targets / 4).max(1)
}

/// Tells whether the target `own` may switch to the weights `wanted`.
///
/// `peers` lists the targets of the domain and service; whether it includes `own` makes no difference.
///
/// ```
/// use gate::turn::{Peer, is_due};
///
/// let wanted = weights::Digest::of(b"v8");
/// let peer = |name: &str| Peer { name: name.into(), weights: None, gone: false };
/// let peers = ["a", "b", "c"].map(peer);
/// let due: Vec<_> = peers.iter().filter(|peer| is_due(&peer.name, wanted, &peers)).collect();
/// assert_eq!(due.len(), 1);
/// ```
pub fn is_due(own: &str, wanted: Digest, peers: &[Peer]) -> bool {
    let own_rank = rank(own, wanted);
    let others = || peers.iter().filter(|peer| peer.name != own && !peer.gone);
    let pending_ahead = others()
        .filter(|peer| peer.weights != Some(wanted.short()))
        .filter(|peer| rank(&peer.name, wanted) < own_rank)
        .count();
    pending_ahead < allowed(others().count() + 1)
}

/// Position in the rendezvous order; the name breaks ties.
fn rank(name: &str, wanted: Digest) -> (u64, &str) {
    (
        Digest::of(format!("{wanted}/{name}").as_bytes()).short(),
        name,
    )
}

//! Turn-taking among the targets of a service within a failure domain.
//!
//! All targets sort the live targets of their view in the same rendezvous order. A target may switch when the one
//! [`allowed`] places ahead of it serves the new weights; the first [`allowed`] targets need not wait. The order thus
//! falls into [`allowed`] chains in each of which one target switches after the other, and a waiting target has to ask
//! only one other for its weights. Down and leaving targets are left out of the order.
//!
//! When the views are equal, no more than [`allowed`] targets switch at once. When they differ, each target still waits
//! for its predecessor in its own view, but two targets may take the same one for their predecessor, so the limit can be
//! exceeded until the views agree, at most the propagation time after a change of members. No limit on correctness
//! depends on it: a gate is open only while its own engine serves its pin.

use weights::Digest;

/// Returns how many of `targets` may switch at once: a quarter, at least one.
pub fn allowed(targets: usize) -> usize {
    (targets / 4).max(1)
}

/// Returns the target that must serve the weights `wanted` before `own` may switch to them, if any.
///
/// `live` names the live targets of the domain and service; whether it includes `own` makes no difference.
///
/// ```
/// let wanted = weights::Digest::of(b"v8");
/// let live = ["a", "b", "c"];
/// let first: Vec<_> = live.iter().filter(|own| gate::turn::predecessor(own, wanted, &live).is_none()).collect();
/// assert_eq!(first.len(), 1);
/// ```
pub fn predecessor<'a>(own: &str, wanted: Digest, live: &[&'a str]) -> Option<&'a str> {
    let own_rank = rank(own, wanted);
    let others = live.iter().copied().filter(|name| *name != own);
    let allowed = allowed(others.clone().count() + 1);
    let mut ahead: Vec<_> = others
        .map(|name| rank(name, wanted))
        .filter(|rank| *rank < own_rank)
        .collect();
    ahead.sort_unstable();
    let (_, name) = ahead.len().checked_sub(allowed).map(|index| ahead[index])?;
    Some(name)
}

/// Position in the rendezvous order; the name breaks ties.
fn rank(name: &str, wanted: Digest) -> (u64, &str) {
    (
        Digest::of(format!("{wanted}/{name}").as_bytes()).short(),
        name,
    )
}

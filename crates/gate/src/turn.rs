//! Rolling switch of the targets of a service within a failure domain.
//!
//! All targets sort the live targets of their view in the same rendezvous order. A target may switch once the one
//! [`max_switching`] positions before it serves the new weights; the first [`max_switching`] targets don't wait. The order is thus
//! partitioned into [`max_switching`] chains, in each of which targets switch one after the other, and a waiting target only
//! has to query the weights of one other target. Down and leaving targets are not part of the order.
//!
//! If the views are equal, at most [`max_switching`] targets switch at once. If they differ, each target still waits for its
//! predecessor in its own view, but two targets may have the same predecessor. The limit can then be exceeded until the
//! views converge, at most for the propagation time after a change of members. Correctness doesn't depend on the limit,
//! because a gate is open only while its own engine serves its pin.

use weights::Digest;

/// Returns the maximum number of `targets` that may switch at once: a quarter, but at least one.
pub fn max_switching(targets: usize) -> usize {
    (targets / 4).max(1)
}

/// Returns the target, if any, that must serve the weights `wanted` before `own` may switch to them.
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
    let allowed = max_switching(others.clone().count() + 1);
    let mut predecessors: Vec<_> = others
        .map(|name| rank(name, wanted))
        .filter(|rank| *rank < own_rank)
        .collect();
    predecessors.sort_unstable();
    let (_, name) = predecessors
        .len()
        .checked_sub(allowed)
        .map(|index| predecessors[index])?;
    Some(name)
}

/// Returns the sort key of the rendezvous order. The name breaks ties.
fn rank(name: &str, wanted: Digest) -> (u64, &str) {
    (
        Digest::of(format!("{wanted}/{name}").as_bytes()).prefix(),
        name,
    )
}

//! Turn-taking over views of a domain.

use gate::turn::{Peer, allowed, is_due};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use weights::Digest;

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against more targets switching at once than allowed, and a domain in which no target may go on.
    #[test]
    fn due_with_equal_views(states in prop::collection::vec((any::<bool>(), any::<bool>()), 1..40)) {
        let wanted = Digest::of(b"v8");
        let peers: Vec<_> = states
            .iter()
            .enumerate()
            .map(|(index, (done, gone))| Peer {
                name: format!("vm-{index}"),
                weights: done.then(|| wanted.short()),
                gone: *gone,
            })
            .collect();
        let alive = peers.iter().filter(|peer| !peer.gone);
        let pending: Vec<_> = alive.clone().filter(|peer| peer.weights.is_none()).collect();
        let due = pending.iter().filter(|peer| is_due(&peer.name, wanted, &peers)).count();
        prop_assert_eq!(due, pending.len().min(allowed(alive.count())));
    }
}

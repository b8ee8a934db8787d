//! Stripes and the rendezvous orders of members and domains.

use burst::{MAX_STRIPES, Members, Peer, Stripes};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use weights::Digest;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn peers() -> impl Strategy<Value = Vec<Peer>> {
    let peer = (0..4usize, 0..30usize);
    let peer = peer.prop_map(|(domain, number)| {
        crate::support::peer(["a", "bb", "ccc", "dddd"][domain], number)
    });
    prop::collection::btree_set(peer, 1..40).prop_map(|set| set.into_iter().collect())
}

proptest! {
    #![proptest_config(config())]

    // Guards against orders that depend on the sequence in which a node learned of the members.
    #[test]
    fn owners_same_everywhere(peers in peers(), shuffled in any::<prop::sample::Index>(), key: u64) {
        let mut other = peers.clone();
        other.rotate_left(shuffled.index(peers.len()));
        other.reverse();
        other.push(peers[0].clone());
        let (one, two) = (Members::new(peers.clone()), Members::new(other));
        prop_assert_eq!(one.domain_order(key), two.domain_order(key));
        for domain in one.domain_order(key) {
            let order = one.owner_order(domain, key);
            prop_assert_eq!(&order, &two.owner_order(domain, key));
            prop_assert_eq!(Some(order[0]), two.owner(domain, key, |_| true));
        }
    }

    // Guards against a departure that moves stripes between the remaining agents.
    #[test]
    fn owners_departure(peers in peers(), left in any::<prop::sample::Index>(), key: u64) {
        let left = &peers[left.index(peers.len())];
        let all = Members::new(peers.clone());
        let rest = Members::new(peers.iter().filter(|peer| *peer != left).cloned());
        let mut expected = all.owner_order(&left.domain, key);
        expected.retain(|peer| *peer != left);
        prop_assert_eq!(rest.owner_order(&left.domain, key), expected);
    }

    // Guards against chunks that belong to no stripe and against more permit objects than the platform's write rate
    // allows.
    #[test]
    fn stripes_cover(chunks in 0..16_385u32) {
        let stripes = Stripes::new(Digest::of(b"v"), chunks);
        prop_assert!(stripes.count() <= MAX_STRIPES);
        let mut next = 0;
        for stripe in 0..stripes.count() {
            let range = stripes.chunk_range(stripe);
            prop_assert_eq!(range.start, next);
            prop_assert!(range.clone().all(|chunk| stripes.stripe_of(chunk) == stripe));
            next = range.end;
        }
        prop_assert_eq!(next, chunks);
    }
}

// Guards against an uneven distribution of stripes, which would make one agent's link the bottleneck.
#[test]
fn owner_even() {
    let members = Members::new((0..16).map(|number| crate::support::peer("a", number)));
    let stripes = Stripes::new(Digest::of(b"v"), 256);
    let mut owned = std::collections::BTreeMap::new();
    for stripe in 0..256 {
        let owner = members.owner("a", stripes.key(stripe), |_| true).unwrap();
        *owned.entry(owner.name.clone()).or_insert(0) += 1;
    }
    assert!(
        owned.len() == 16 && owned.values().all(|count| (4..=32).contains(count)),
        "{owned:?}"
    );
}

//! Property test for the order of switches in a domain whose targets have equal views.

use std::collections::HashSet;

use gate::turn::{max_switching, predecessor};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use weights::Digest;

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against more targets switching at once than allowed, and against a domain in which no target may switch.
    #[test]
    fn switch_with_equal_views(count in 1usize..40, picks in prop::collection::vec(any::<prop::sample::Index>(), 40)) {
        let wanted = Digest::of(b"v8");
        let names: Vec<_> = (0..count).map(|index| format!("vm-{index}")).collect();
        let live: Vec<_> = names.iter().map(String::as_str).collect();
        let mut done = HashSet::new();
        for pick in &picks[..count] {
            let due = |name: &str| predecessor(name, wanted, &live).is_none_or(|ahead| done.contains(ahead));
            // Every target that may switch does so, and a random one of them finishes next.
            let switching: Vec<_> =
                live.iter().filter(|name| !done.contains(**name) && due(name)).copied().collect();
            prop_assert!((1..=max_switching(count)).contains(&switching.len()));
            done.insert(*pick.get(&switching));
        }
        prop_assert_eq!(done.len(), count);
    }
}

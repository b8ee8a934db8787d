//! Property test of the chunk store against a reference model, and chunk verification.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use weights::{Chunk, ChunkStore, Digest};

fn chunk(number: u8) -> Chunk {
    let bytes = vec![number; 10 + usize::from(number)];
    Chunk::verify(Digest::of(&bytes), bytes.into()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a cache above its bound, an evicted chunk that had to be kept, and byte counts that drift.
    #[test]
    fn insert_any_order(steps in prop::collection::vec((0..20u8, 0..4u8), 0..200), limit in 0..200u64) {
        let mut store = ChunkStore::new(limit);
        let mut kept = std::collections::BTreeSet::new();
        for (number, step) in steps {
            match step {
                0 => {
                    store.insert(chunk(number), true);
                    kept.insert(number);
                }
                1 => store.insert(chunk(number), false),
                2 => drop(store.get(&chunk(number).digest())),
                _ => {
                    kept.retain(|held| held % 3 != number % 3);
                    let digests: Vec<Digest> = kept.iter().map(|held| chunk(*held).digest()).collect();
                    store.keep_only(|digest| digests.contains(digest));
                }
            }
            prop_assert!(store.cached_bytes() <= limit);
            prop_assert_eq!(store.kept_bytes(), kept.iter().map(|held| chunk(*held).size()).sum::<u64>());
            let held: u64 = (0..20).map(chunk).filter(|chunk| store.contains(&chunk.digest())).map(|c| c.size()).sum();
            prop_assert_eq!(held, store.kept_bytes() + store.cached_bytes());
            prop_assert!(kept.iter().all(|held| store.get(&chunk(*held).digest()) == Some(chunk(*held).bytes())));
        }
    }
}

// Guards against bytes stored under a digest they don't have.
#[test]
fn verify_mismatch() {
    let error = Chunk::verify(Digest::of(b"a"), "b".into()).unwrap_err();
    assert_eq!((error.found, error.len), (Digest::of(b"b"), 1));
}

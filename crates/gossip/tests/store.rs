//! Property tests for merging and for the convergence of stores.

use gossip::{
    Key, LocalMember, Node, PeerSelector, Phase, Random, Record, Store, Target, Value, Version,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn node(domain: usize, phase: Phase) -> Node {
    let domain = format!("domain-{domain}");
    Node {
        region: domain.clone(),
        domain,
        peer: "127.0.0.1:7000".parse().unwrap(),
        phase,
    }
}

fn phase() -> impl Strategy<Value = Phase> {
    prop_oneof![Just(Phase::Live), Just(Phase::Leaving), Just(Phase::Down)]
}

/// Generates records of few keys and versions, so that they collide, also with equal versions and different values.
fn record() -> impl Strategy<Value = Record> {
    let version = (0..3_u64, 0..3_u64, any::<bool>());
    (0..3_usize, 0..4_u8, version, phase(), 0..3_usize).prop_map(
        |(kind, name, version, phase, domain)| {
            let name = format!("name-{name}");
            let (key, value) = match kind {
                0 => (
                    Key::Catalog(name),
                    Value::Catalog(format!("{{\"rank\":{domain}}}")),
                ),
                1 => (Key::Entry(name), Value::Entry(node(domain, phase))),
                _ => {
                    let Node {
                        domain,
                        region,
                        peer,
                        phase,
                    } = node(domain, phase);
                    let service = "assistant".into();
                    (
                        Key::Target(name),
                        Value::Target(Target {
                            domain,
                            region,
                            service,
                            call: peer,
                            chunk: peer,
                            phase,
                        }),
                    )
                }
            };
            let (major, minor, down) = version;
            Record {
                key,
                version: Version { major, minor, down },
                value,
            }
        },
    )
}

/// Returns a store that knows each member that [`record`] generates and has merged `records`.
///
/// The members must be known because a store rejects a record of an unknown member that is down.
fn store(records: &[Record]) -> Store {
    let mut store = Store::new();
    for name in 0..4 {
        let key = Key::Entry(format!("name-{name}"));
        store.merge(
            LocalMember::new(key, 0, Value::Entry(node(0, Phase::Live)))
                .record()
                .clone(),
        );
        let Node {
            domain,
            region,
            peer,
            phase,
        } = node(0, Phase::Live);
        let key = Key::Target(format!("name-{name}"));
        let target = Target {
            domain,
            region,
            service: "assistant".into(),
            call: peer,
            chunk: peer,
            phase,
        };
        store.merge(
            LocalMember::new(key, 0, Value::Target(target))
                .record()
                .clone(),
        );
    }
    for record in records {
        store.merge(record.clone());
    }
    store
}

/// Runs the three steps of one exchange; the messages of step 3 are lost unless `push_arrives`.
fn exchange(stores: &mut [Store], initiator: usize, responder: usize, push_arrives: bool) {
    let first = stores[responder].answer(&stores[initiator].digest());
    let Some(details) = stores[initiator].bucket_digest(&first) else {
        return;
    };
    let second = stores[responder].answer(&details);
    for record in second.records.clone() {
        stores[initiator].merge(record);
    }
    if push_arrives {
        let wanted = stores[initiator].wanted_records(&second);
        for newer in stores[responder].corrections(&wanted) {
            stores[initiator].merge(newer);
        }
        for record in wanted {
            stores[responder].merge(record);
        }
    }
}

proptest! {
    #![proptest_config(config(2000))]

    /// Guards against merge results that depend on the order or the number of deliveries.
    #[test]
    fn merge_any_order(records in prop::collection::vec(record(), 0..40), seed in any::<u64>(), again in 0..40_usize) {
        let once = store(&records);
        let mut shuffled = records.clone();
        shuffled.extend(records.iter().take(again).cloned());
        let count = shuffled.len();
        let other = store(&Random::new(seed).choose(shuffled, count));
        prop_assert_eq!(once.root(), other.root());
        prop_assert_eq!(once.buckets(), other.buckets());
        prop_assert!(once == other);
    }

    /// Guards against a version that decreases after stale reads and late events.
    #[test]
    fn merge_never_reverts(records in prop::collection::vec(record(), 0..60)) {
        let mut store = store(&[]);
        for record in records {
            let before = store.version(&record.key);
            let changed = store.merge(record.clone());
            let after = store.version(&record.key);
            prop_assert!(after >= before && after >= Some(record.version));
            prop_assert!(!changed || after == Some(record.version));
        }
    }

    /// Guards against stores that still differ after a partition has healed.
    #[test]
    fn exchange_converges(
        records in prop::collection::vec((record(), 0..5_usize), 0..60),
        partition in prop::collection::vec((0..5_usize, 0..5_usize, any::<bool>()), 0..40),
        seed in any::<u64>(),
    ) {
        let mut stores = vec![store(&[]); 5];
        for (record, at) in &records {
            stores[*at].merge(record.clone());
        }
        // During the partition only the pairs in `partition` exchange records.
        for (initiator, responder, push_arrives) in partition {
            exchange(&mut stores, initiator, responder, push_arrives);
        }
        let mut random = Random::new(seed);
        for _ in 0..20 {
            for initiator in 0..5 {
                exchange(&mut stores, initiator, random.below(5), true);
            }
        }
        let all = store(&records.into_iter().map(|(record, _)| record).collect::<Vec<_>>());
        for store in &stores {
            prop_assert_eq!(store.root(), all.root());
            for (key, version, value) in all.iter() {
                let held = store.get(key).unwrap();
                // Records that declare the same member down may differ between stores.
                prop_assert!(held.value.is_down() && value.is_down() || (held.version, &held.value) == (version, value));
            }
        }
    }

    /// Guards against a live member that others keep declared down, for any records about it.
    #[test]
    fn refute_wins(seen in prop::collection::vec(record(), 0..30), incarnation in 0..4_u64) {
        let key = Key::Entry("name-0".into());
        let mut member = LocalMember::new(key.clone(), incarnation, Value::Entry(node(0, Phase::Live)));
        let mut store = Store::new();
        store.merge(member.record().clone());
        for record in seen {
            store.merge(record);
            store.down_record(&key).map(|down| store.merge(down));
            member.refute(&store.get(&key).unwrap());
            store.merge(member.record().clone());
            prop_assert_eq!(store.get(&key), Some(member.record().clone()));
        }
    }
}

/// Guards against a change that reaches too few entries, or takes more rounds than the design assumes.
#[test]
fn push_reaches_a_domain() {
    let names: Vec<String> = (0..67).map(|index| format!("entry-{index}")).collect();
    let mut all = Store::new();
    for name in &names {
        all.merge(
            LocalMember::new(
                Key::Entry(name.clone()),
                1,
                Value::Entry(node(0, Phase::Live)),
            )
            .record()
            .clone(),
        );
    }
    for seed in 0..50 {
        let mut peers: Vec<PeerSelector> = (0..67)
            .map(|index| {
                PeerSelector::new(
                    &names[index],
                    "domain-0",
                    Random::new(seed * 100 + index as u64),
                )
            })
            .collect();
        let mut reached = [false; 67];
        reached[0] = true;
        let mut newly_reached = vec![0];
        let mut rounds = 0;
        while !newly_reached.is_empty() {
            rounds += 1;
            let mut next = Vec::new();
            for at in newly_reached {
                for (name, _) in peers[at].push_peers(&all) {
                    let index = names.iter().position(|other| *other == name).unwrap();
                    if !std::mem::replace(&mut reached[index], true) {
                        next.push(index);
                    }
                }
            }
            newly_reached = next;
        }
        // The few entries that random selection misses get the change by an exchange.
        assert!(
            reached.iter().filter(|reached| **reached).count() >= 55,
            "seed {seed}"
        );
        assert!(rounds <= 9, "seed {seed}: {rounds} rounds");
    }
}

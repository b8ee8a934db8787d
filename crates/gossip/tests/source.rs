//! Tests for updates of an agent's view by two entries.

use std::net::SocketAddr;

use gossip::{Key, Phase, Record, Scope, Store, Target, UpdateSource, Value, Version, ViewReplies};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// An agent, the two entries that it reports to, and the records that they sent.
struct Cluster {
    stores: [Store; 2],
    views: [ViewReplies; 2],
    agent: Store,
    source: UpdateSource,
    sent: usize,
}

fn scope() -> Scope {
    Scope {
        domain: "north".into(),
        services: vec!["drafting".into()],
    }
}

fn target(index: usize, minor: u64) -> Record {
    let address = "127.0.0.1:7000".parse().unwrap();
    Record {
        key: Key::Target(format!("t{index}")),
        version: Version {
            major: 1,
            minor,
            down: false,
        },
        value: Value::Target(Target {
            domain: "north".into(),
            region: "north".into(),
            service: "drafting".into(),
            call: address,
            chunk: address,
            phase: Phase::Live,
        }),
    }
}

impl Cluster {
    fn new(targets: usize) -> Self {
        let mut cluster = Self {
            stores: [Store::new(), Store::new()],
            views: Default::default(),
            agent: Store::new(),
            source: UpdateSource::default(),
            sent: 0,
        };
        for index in 0..targets {
            cluster.merge(0, target(index, 0));
            cluster.merge(1, target(index, 0));
        }
        cluster
    }

    fn merge(&mut self, at: usize, record: Record) {
        let key = record.key.clone();
        if self.stores[at].merge(record) {
            self.views[at].record_change(&self.stores[at], key);
        }
    }

    /// Reports to both entries; `lost` tells for each whether its reply is lost.
    fn round(&mut self, lost: [bool; 2]) {
        let held = scope().hash(&self.agent);
        let entries = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let hashes = entries.map(|entry| self.source.hash_to_report(entry, held));
        for at in 0..2 {
            let update = self.views[at].reply(&self.stores[at], "t0", &scope(), hashes[at]);
            self.sent += update.records.len();
            if lost[at] {
                self.source.record_failure(entries[at]);
                continue;
            }
            let mut changed = false;
            for record in update.records {
                let old = self.agent.version(&record.key);
                changed |= self.agent.merge(record.clone());
                assert!(self.agent.version(&record.key) >= old, "a record reverted");
            }
            let held = scope().hash(&self.agent);
            self.source
                .record_reply(entries[at], update.hash, held, changed);
        }
    }

    fn is_equal(&self) -> bool {
        let held = scope().hash(&self.agent);
        self.stores.iter().all(|store| scope().hash(store) == held)
    }
}

/// Guards against an agent that fetches the whole view from each entry when it starts.
#[test]
fn start_takes_view_once() {
    let mut cluster = Cluster::new(6_500);
    let mut rounds = 0;
    while !cluster.is_equal() {
        cluster.round([false, false]);
        rounds += 1;
        assert!(rounds < 40);
    }
    assert!(cluster.sent < 7_200, "{} records", cluster.sent);
}

/// Guards against an agent that gets no further updates because it no longer reports to the active source.
#[test]
fn retain_forgets_the_chosen() {
    let [first, second] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let mut source = UpdateSource::default();
    source.record_reply(first, 70, 5, true);
    source.record_reply(second, 60, 5, false);
    assert_eq!(source.hash_to_report(second, 5), 60);
    source.retain(&[second]);
    assert_eq!(source.hash_to_report(second, 5), 5);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an agent that waits for an entry which sends nothing more, or never gets a part of an update.
    #[test]
    fn views_converge(
        steps in prop::collection::vec((0..2_usize, 0..1_500_usize, 0..900_usize, any::<[bool; 4]>()), 1..25)
    ) {
        let mut cluster = Cluster::new(1_500);
        for (minor, (at, first, count, [change, down, lose_first, lose_second])) in steps.into_iter().enumerate() {
            for index in (first..first + count).filter(|_| change) {
                let mut record = target(index % 1_500, minor as u64 + 1);
                if down {
                    record = cluster.stores[at].down_record(&record.key).unwrap_or(record);
                }
                cluster.merge(at, record);
            }
            cluster.round([lose_first, lose_second]);
        }
        // Merges each store into the other, as gossip does.
        for (from, to) in [(0, 1), (1, 0)] {
            let records: Vec<Record> = cluster.stores[from]
                .iter()
                .map(|(key, ..)| cluster.stores[from].get(key).unwrap())
                .collect();
            for record in records {
                cluster.merge(to, record);
            }
        }
        for _ in 0..40 {
            cluster.round([false, false]);
        }
        prop_assert!(cluster.is_equal());
    }
}

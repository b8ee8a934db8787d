//! Tests for watchers, report entries, peer selection, failure detection and views.

use std::time::{Duration, Instant};

use gossip::{
    FailureDetector, Key, Liveness, LocalMember, Node, PeerSelector, Phase, Random, Record, Scope,
    Store, Target, Value, Version, ViewReplies, report_entries, reporters, watchers,
};
use yare::parameterized;

fn entry(name: &str, domain: &str, minor: u64, phase: Phase) -> Record {
    let (domain, region) = (domain.to_owned(), domain.to_owned());
    let value = Value::Entry(Node {
        domain,
        region,
        peer: "127.0.0.1:7000".parse().unwrap(),
        phase,
    });
    Record {
        key: Key::Entry(name.into()),
        version: Version {
            major: 1,
            minor,
            down: false,
        },
        value,
    }
}

fn target(name: &str, minor: u64) -> Record {
    let address = "127.0.0.1:7000".parse().unwrap();
    let value = Value::Target(Target {
        domain: "north".into(),
        region: "north".into(),
        service: "drafting".into(),
        call: address,
        chunk: address,
        phase: Phase::Live,
    });
    Record {
        key: Key::Target(name.into()),
        version: Version {
            major: 1,
            minor,
            down: false,
        },
        value,
    }
}

fn cluster() -> Store {
    let mut store = Store::new();
    for index in 0..20 {
        store.merge(entry(&format!("n{index}"), "north", 0, Phase::Live));
        store.merge(entry(&format!("s{index}"), "south", 0, Phase::Live));
        store.merge(target(&format!("t{index}"), 0));
    }
    store
}

/// Guards against a domain that has no watchers after its watchers died.
#[test]
fn watchers_after_death() {
    let mut store = cluster();
    let first: Vec<String> = watchers(&store, "north")
        .into_iter()
        .map(String::from)
        .collect();
    store.merge(store.down_record(&Key::Entry(first[0].clone())).unwrap());
    let second = watchers(&store, "north");
    assert_eq!(second.len(), 2);
    assert_eq!(second[0], first[1]);
}

/// Guards against reports to dead entries or to another domain, and against moving all reports when one entry dies.
#[test]
fn report_entries_after_death() {
    let mut store = cluster();
    let chosen = |store: &Store| -> Vec<String> {
        let list = report_entries(store, "t1", "north", "drafting", |_| false);
        list.into_iter().map(|(name, _)| name.to_owned()).collect()
    };
    let before = chosen(&store);
    assert_eq!(before.len(), 8);
    assert!(before.iter().all(|name| name.starts_with('n')));
    store.merge(store.down_record(&Key::Entry(before[0].clone())).unwrap());
    assert_eq!(chosen(&store)[..7], before[1..]);
}

/// Guards against a target that no entry watches, such as after the loss of its whole domain, and against entries that
/// watch a target which doesn't report to them.
#[parameterized(
    live = { Phase::Live },
    dead_domain = { Phase::Down },
)]
fn reporters_same_as_report_entries(north: Phase) {
    let mut store = cluster();
    for index in 0..20 {
        store.merge(entry(&format!("n{index}"), "north", 1, north));
    }
    for (name, _) in store.entries() {
        let chosen = |target: &str| {
            let entries = report_entries(&store, target, "north", "drafting", |_| false);
            entries.iter().any(|(entry, _)| *entry == name)
        };
        let expected: Vec<&str> = store
            .targets()
            .map(|(target, _)| target)
            .filter(|t| chosen(t))
            .collect();
        assert_eq!(reporters(&store, name), expected);
    }
}

/// Guards against a leaving member that can no longer be declared down.
#[test]
fn down_after_leaving() {
    let (mut store, key) = (cluster(), Key::Target("t1".into()));
    assert!(store.merge(store.leaving_record(&key).unwrap()));
    assert!(store.merge(store.down_record(&key).unwrap()));
    assert!(store.leaving_record(&key).is_none() && store.down_record(&key).is_none());
}

/// Guards against exchanges that never leave the domain, or never return to a domain that was declared down.
#[test]
fn exchange_leaves_the_domain() {
    let mut store = cluster();
    let mut peers = PeerSelector::new("n0", "north", Random::new(3));
    let remote_count = |store: &Store, peers: &mut PeerSelector| {
        let chosen = (0..640).filter_map(|_| peers.exchange_peer(store));
        chosen.filter(|(name, _)| name.starts_with('s')).count()
    };
    assert_eq!(remote_count(&store, &mut peers), 80);
    for index in 0..20 {
        store.merge(store.down_record(&Key::Entry(format!("s{index}"))).unwrap());
    }
    assert_eq!(remote_count(&store, &mut peers), 10);
}

/// Guards against a target that is declared down because it reported to other entries for a while.
#[test]
fn expect_restarts_silence() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut detector = FailureDetector::default();
    // A starting agent reports to all entries in its settings, and later only to those that it selects.
    detector.record_contact("t1", at(0));
    for seconds in 1..5 {
        assert!(detector.take_down_members(at(seconds)).is_empty());
    }
    detector.set_expected(["t1"], at(4));
    for seconds in 5..9 {
        detector.set_expected(["t1"], at(seconds));
        assert!(detector.take_down_members(at(seconds)).is_empty());
    }
    assert_eq!(detector.take_down_members(at(9)), ["t1"]);
}

/// Guards against declaring all members down after a pause of the observing process.
#[test]
fn silent_after_own_pause() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut detector = FailureDetector::default();
    detector.record_contact("t1", at(0));
    detector.take_down_members(at(1));
    assert!(detector.take_down_members(at(60)).is_empty());
    assert_eq!(detector.liveness("t1", at(60)), Liveness::Suspect);
    assert!(detector.take_down_members(at(61)).is_empty());
    assert_eq!(detector.take_down_members(at(63)), ["t1"]);
}

/// Guards against an agent's view that never matches those of its entries, or that takes a full copy for each change.
#[test]
fn reply_converges_at_little_cost() {
    let scope = Scope {
        domain: "north".into(),
        services: vec!["drafting".into()],
    };
    let mut random = Random::new(11);
    let mut stores = [cluster(), cluster()];
    let mut views = [ViewReplies::default(), ViewReplies::default()];
    let mut agent = Store::new();
    let mut sent = 0;
    for step in 1..400 {
        // Each change reaches the two entries at different times.
        let change = match random.below(3) {
            0 => entry(
                &format!("n{}", random.below(20)),
                "north",
                step,
                Phase::Leaving,
            ),
            1 => entry(
                &format!("s{}", random.below(20)),
                "south",
                step,
                Phase::Leaving,
            ),
            _ => target(&format!("t{}", random.below(20)), step),
        };
        let first = random.below(2);
        for at in [first, 1 - first] {
            if stores[at].merge(change.clone()) {
                views[at].record_change(&stores[at], change.key.clone());
            }
            let reported = scope.hash(&agent);
            let records = views[at].reply(&stores[at], "t1", &scope, reported).records;
            sent += records.len();
            for record in records {
                agent.merge(record);
            }
        }
        assert_eq!(scope.hash(&agent), scope.hash(&stores[0]), "step {step}");
    }
    assert!(sent < 400 * 4, "{sent} records sent");
}

/// Guards against a view that stays incomplete because it doesn't fit into one reply.
#[test]
fn reply_in_parts() {
    let scope = Scope {
        domain: "north".into(),
        services: vec!["drafting".into()],
    };
    let mut store = Store::new();
    for index in 0..2000 {
        store.merge(target(&format!("t{index}"), 0));
    }
    let (mut views, mut agent) = (ViewReplies::default(), Store::new());
    let mut replies = 0;
    while scope.hash(&agent) != scope.hash(&store) {
        replies += 1;
        assert!(replies < 20, "{} of {} records", agent.len(), store.len());
        let records = views
            .reply(&store, "t1", &scope, scope.hash(&agent))
            .records;
        assert!(records.len() < 700);
        for record in records {
            agent.merge(record);
        }
    }
}

/// Guards against a full copy after the loss of a domain, whose changes don't fit into one reply.
#[test]
fn reply_changes_in_parts() {
    let scope = Scope {
        domain: "north".into(),
        services: vec!["drafting".into()],
    };
    let (mut store, mut views, mut agent) = (Store::new(), ViewReplies::default(), Store::new());
    for index in 0..6500 {
        store.merge(target(&format!("t{index}"), 0));
    }
    while scope.hash(&agent) != scope.hash(&store) {
        for record in views
            .reply(&store, "t1", &scope, scope.hash(&agent))
            .records
        {
            agent.merge(record);
        }
    }
    for index in 0..722 {
        let key = Key::Target(format!("t{}", index * 9));
        assert!(store.merge(store.down_record(&key).unwrap()));
        views.record_change(&store, key);
    }
    let mut sent = 0;
    while scope.hash(&agent) != scope.hash(&store) {
        let records = views
            .reply(&store, "t1", &scope, scope.hash(&agent))
            .records;
        assert!(
            !records.is_empty(),
            "no records sent although the view differs"
        );
        sent += records.len();
        for record in records {
            agent.merge(record);
        }
    }
    assert_eq!(sent, 722);
}

/// Guards against a restarted agent whose earlier, clock-based incarnation is above the number from the platform.
#[test]
fn refute_earlier_process() {
    let mut old = target("t1", 9);
    old.version.major = 1_760_000_000_000;
    let mut member = LocalMember::new(old.key.clone(), 52, target("t1", 0).value);
    assert!(member.refute(&old));
    assert!(member.incarnation() > old.version.major);
}

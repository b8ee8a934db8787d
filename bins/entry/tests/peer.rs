//! Tests of gossip between entries on loopback ports, with a simulated platform that lists the catalogue.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use entry::Settings;
use entry::peer::Peering;
use entry::shared::SharedState;
use gossip::{Key, LocalMember, Phase, Target, Value};
use node::http::{Limits, Request, StatusCode, json, serve};
use platform::wire::{self as form, Call};
use platform::{Listing, Object, Revision};
use serde_json::value::to_raw_value;
use wire::{Gate, Reply, Report};

/// A running entry: its state, the address of its peer port, and its tasks.
struct TestEntry {
    shared: SharedState,
    peer: SocketAddr,
    peering: Rc<Peering>,
    tasks: Vec<JoinHandle<()>>,
}

/// The objects and the names of leaving VMs that the simulated platform lists.
type Platform = Rc<RefCell<(Vec<Object>, Vec<&'static str>)>>;

/// Makes a class with the given revision of era 0 and rank the only object on the platform.
fn put_class(platform: &Platform, revision: u64, rank: u8) {
    put_class_at(platform, Revision::new(0, revision), rank);
}

fn put_class_at(platform: &Platform, revision: Revision, rank: u8) {
    let entry = serde_json::json!({
        "kind": "class", "name": "urgent", "owner": "ops", "class": "urgent", "limits": {}, "rank": rank,
        "objective": {"answered": 0.99, "within_ms": 2000, "within": 0.95}
    });
    let value = serde_json::json!({"entry": entry, "author": "ops", "time_ms": 0, "write": "w"});
    let object = Object {
        name: "class/urgent".into(),
        revision,
        value: to_raw_value(&value).unwrap(),
    };
    platform.borrow_mut().0 = vec![object];
}

fn start_entry(name: &str, domain: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> TestEntry {
    let text = serde_json::json!({
        "name": name, "domain": domain, "region": domain, "caller_listen": "127.0.0.1:0", "platform": platform,
        "peer_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0", "seeds": seeds
    });
    let settings: Settings = node::settings::parse(&text.to_string()).unwrap();
    let listener = node::listen(settings.peer_listen).unwrap();
    let (shared, peer) = (SharedState::new(), listener.local_addr().unwrap());
    let peering = Peering::new(&settings, shared.clone(), peer);
    let tasks = peering.start(listener);
    TestEntry {
        shared,
        peer,
        peering,
        tasks,
    }
}

/// Runs `test` with the platform and four entries: three in one failure domain, one of which isn't a watcher, and one
/// in another domain.
fn with_entries<F: Future<Output = ()>>(test: impl FnOnce(Platform, Vec<TestEntry>) -> F) {
    with_platform(|platform, _, entries| test(platform, entries));
}

/// Like [`with_entries`], but also passes the address of the platform.
fn with_platform<F: Future<Output = ()>>(
    test: impl FnOnce(Platform, SocketAddr, Vec<TestEntry>) -> F,
) {
    node::run("test", async {
        let platform = Platform::default();
        let served = Rc::clone(&platform);
        let handler = move |_: SocketAddr, request: Request<bytes::Bytes>| {
            let platform = Rc::clone(&served);
            async move {
                let call = Call::parse(&request);
                if let Some(Call::Watch { .. }) = call {
                    compio::time::sleep(Duration::from_millis(100)).await;
                }
                let (objects, leaving) = &*platform.borrow();
                let listing = Listing {
                    revision: objects
                        .first()
                        .map_or(Revision::default(), |object| object.revision),
                    objects: objects.clone(),
                    deleted: Vec::new(),
                    bytes: 0,
                };
                let vms = leaving.iter().map(
                    |name| serde_json::json!({"name": name, "domain": "a", "state": "leaving"}),
                );
                // Lists a live VM too, like a platform that ignores the query.
                let live = serde_json::json!({"name": "a0", "domain": "a", "state": "live"});
                let vms = vms.chain([live]);
                match call {
                    Some(Call::Watch { .. }) => form::watch_response(&listing),
                    Some(_) => form::list_response(&listing),
                    None => json(StatusCode::OK, &vms.collect::<Vec<_>>()),
                }
            }
        };
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = compio::runtime::spawn(async move {
            serve(listener, Limits::default(), handler, std::future::pending()).await;
        });
        let first = start_entry("a0", "a", address, &[]);
        let seeds = [first.peer];
        let rest = [("a1", "a"), ("a2", "a"), ("b0", "b")];
        let rest = rest.map(|(name, domain)| start_entry(name, domain, address, &seeds));
        let entries = std::iter::once(first).chain(rest).collect();
        test(platform, address, entries).await;
        server.cancel().await;
    })
    .unwrap();
}

/// Waits until `condition` holds and returns the time that it took; fails with `failure` after `limit_ms`.
async fn wait_until(limit_ms: u64, failure: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < Duration::from_millis(limit_ms),
            "{failure} after {limit_ms} ms"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

fn revision(entry: &TestEntry) -> u64 {
    entry
        .shared
        .catalogue()
        .get("class/urgent")
        .map_or(0, |(revision, _)| *revision)
}

fn phase(entry: &TestEntry) -> Option<Phase> {
    Some(entry.shared.target("t1")?.member?.phase)
}

async fn report(entry: &TestEntry, member: &LocalMember, sequence: u64) -> Reply {
    let client = wire::connect(entry.peer, Duration::from_secs(1))
        .await
        .unwrap();
    let report = Report {
        target: "t1".into(),
        incarnation: member.incarnation(),
        sequence,
        gate: Gate::Open,
        weights: None,
        chunks: 0,
        running: 0,
        waiting: 0,
        slots: 0,
        view: 0,
        member: Some(member.record().clone()),
    };
    client.report(report).await.unwrap()
}

fn target(domain: &str) -> LocalMember {
    let address: SocketAddr = "127.0.0.1:7000".parse().unwrap();
    let value = Value::Target(Target {
        domain: domain.into(),
        region: domain.into(),
        service: "assistant".into(),
        call: address,
        chunk: address,
        phase: Phase::Live,
    });
    LocalMember::new(Key::Target("t1".into()), 7, value)
}

/// Guards against a restarted entry that applies an older revision because its first read from the platform is stale.
#[test]
fn start_with_stale_read() {
    with_platform(|platform, address, entries| async move {
        put_class(&platform, 5, 0);
        let all = || entries.iter().all(|entry| revision(entry) == 5);
        wait_until(6_000, "revision 5 isn't everywhere", all).await;
        put_class(&platform, 4, 9);
        // The seed that is asked first doesn't answer, so the platform would answer before a peer does.
        let silent = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let silent = silent.local_addr().unwrap();
        let started = start_entry("b1", "b", address, &[entries[0].peer, silent]);
        let has_catalogue = || match revision(&started) {
            0 => false,
            found => {
                assert_eq!(found, 5);
                true
            }
        };
        wait_until(2_000, "the entry has no catalogue", has_catalogue).await;
    });
}

/// Guards against a catalogue change that takes more than 6 s to reach all entries, and against one that a stale read
/// reverts.
#[test]
fn catalogue_in_force_everywhere() {
    with_entries(|platform, entries| async move {
        let all = |wanted: u64| entries.iter().all(|entry| revision(entry) == wanted);
        wait_until(5_000, "not all entries know each other", || {
            entries.iter().all(|entry| entry.shared.live_entries() == 4)
        })
        .await;
        put_class(&platform, 5, 0);
        let first = wait_until(6_000, "revision 5 isn't everywhere", || all(5)).await;
        put_class(&platform, 4, 9);
        compio::time::sleep(Duration::from_millis(500)).await;
        assert!(all(5));
        put_class(&platform, 6, 1);
        let second = wait_until(6_000, "revision 6 isn't everywhere", || all(6)).await;
        println!("in force after {first:?} and {second:?}");
    });
}

/// Guards against entries that ignore what operators write after the platform came back from an older copy, because its
/// revisions are lower than those of the lost writes.
#[test]
fn catalogue_after_restore() {
    with_entries(|platform, entries| async move {
        let all = |wanted: u64| entries.iter().all(|entry| revision(entry) == wanted);
        put_class(&platform, 5, 0);
        wait_until(10_000, "revision 5 isn't everywhere", || all(5)).await;
        let restored = Revision::new(1, 3);
        put_class_at(&platform, restored, 1);
        let newer = || all(restored.ordinal());
        wait_until(
            6_000,
            "the restored platform's entry isn't everywhere",
            newer,
        )
        .await;
    });
}

/// Guards against a failed target that still gets requests, and against a live one that stays marked as down.
#[test]
fn target_down_and_back() {
    with_entries(|_, entries| async move {
        wait_until(5_000, "not all entries know each other", || {
            entries.iter().all(|entry| entry.shared.live_entries() == 4)
        })
        .await;
        let mut member = target("a");
        let all = |wanted| entries.iter().all(|entry| phase(entry) == Some(wanted));
        assert!(report(&entries[0], &member, 1).await.known);
        wait_until(2_000, "the target isn't known everywhere", || {
            all(Phase::Live)
        })
        .await;
        wait_until(9_000, "the silent target isn't down everywhere", || {
            all(Phase::Down)
        })
        .await;
        let reply = report(&entries[1], &member, 2).await;
        assert!(!reply.known);
        assert!(reply.records.iter().any(|record| member.refute(record)));
        assert!(report(&entries[1], &member, 3).await.known);
        wait_until(2_000, "the target isn't back everywhere", || {
            all(Phase::Live)
        })
        .await;
    });
}

/// Guards against marking a live target as down because it hasn't reported to the other entries while it reported to
/// one that now leaves.
#[test]
fn target_live_after_its_entry_leaves() {
    with_entries(|_, entries| async move {
        wait_until(5_000, "not all entries know each other", || {
            entries.iter().all(|entry| entry.shared.live_entries() == 4)
        })
        .await;
        let (member, start) = (target("b"), Instant::now());
        // A starting agent reports to the seeds first, then to the entry of its domain.
        report(&entries[0], &member, 1).await;
        for sequence in 2..11 {
            report(&entries[3], &member, sequence).await;
            compio::time::sleep(Duration::from_millis(500)).await;
        }
        entries[3].peering.leave();
        let left = Instant::now();
        let is_live = || {
            entries
                .iter()
                .all(|entry| phase(entry) == Some(Phase::Live))
        };
        while left.elapsed() < Duration::from_millis(2_500) {
            assert!(is_live(), "down {:?} after its start", start.elapsed());
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        // From now on the target reports to no entry; the entries of the other domain must detect this.
        wait_until(5_000, "the silent target isn't down everywhere", || {
            entries
                .iter()
                .all(|entry| phase(entry) == Some(Phase::Down))
        })
        .await;
    });
}

/// Guards against targets that stay live forever because all entries that they report to failed together with them.
#[test]
fn target_down_with_its_domain() {
    with_entries(|_, mut entries| async move {
        wait_until(5_000, "not all entries know each other", || {
            entries.iter().all(|entry| entry.shared.live_entries() == 4)
        })
        .await;
        report(&entries[3], &target("b"), 1).await;
        let all = |entries: &[TestEntry], wanted| {
            entries.iter().all(|entry| phase(entry) == Some(wanted))
        };
        wait_until(2_000, "the target isn't known everywhere", || {
            all(&entries, Phase::Live)
        })
        .await;
        entries.remove(3).tasks.clear();
        // Up to 8 s until the first failed exchange with the entry, 5 s until it is down, 5 s until its targets are.
        wait_until(25_000, "the target of the failed domain isn't down", || {
            all(&entries, Phase::Down)
        })
        .await;
    });
}

/// Guards against a failed or leaving entry that still counts as live, and against a VM list that isn't read.
#[test]
fn entries_leave_and_die() {
    with_entries(|platform, mut entries| async move {
        wait_until(5_000, "not all entries know each other", || {
            entries.iter().all(|entry| entry.shared.live_entries() == 4)
        })
        .await;
        entries[2].peering.leave();
        wait_until(2_000, "the leaving entry still counts as live", || {
            entries.iter().all(|entry| entry.shared.live_entries() == 3)
        })
        .await;
        entries.remove(3).tasks.clear();
        let counted = || entries.iter().all(|entry| entry.shared.live_entries() == 2);
        wait_until(30_000, "the failed entry still counts as live", counted).await;
        report(&entries[0], &target("a"), 1).await;
        platform.borrow_mut().1 = vec!["t1"];
        let leaving = || {
            entries
                .iter()
                .all(|entry| phase(entry) == Some(Phase::Leaving))
        };
        wait_until(7_000, "the VM list isn't read", leaving).await;
    });
}

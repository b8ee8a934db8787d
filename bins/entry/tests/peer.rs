//! Entries that gossip on loopback ports, and a platform that lists the catalogue.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use entry::Settings;
use entry::peer::Peering;
use entry::shared::Shared;
use gossip::{Key, LocalMember, Phase, Target, Value};
use node::http::{Limits, Request, StatusCode, json, serve};
use platform::wire::{self as form, Call};
use platform::{Listing, Object};
use serde_json::value::to_raw_value;
use wire::{Gate, Reply, Report};

/// Entry VM: its state, its peer port and its tasks.
struct Vm {
    shared: Shared,
    peer: SocketAddr,
    peering: Rc<Peering>,
    tasks: Vec<JoinHandle<()>>,
}

/// Objects that the platform lists, and the names of leaving VMs.
type Platform = Rc<RefCell<(Vec<Object>, Vec<&'static str>)>>;

fn put(platform: &Platform, revision: u64, rank: u8) {
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

fn start(name: &str, domain: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Vm {
    let text = serde_json::json!({
        "name": name, "domain": domain, "region": domain, "caller_listen": "127.0.0.1:0", "platform": platform,
        "peer_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0", "seeds": seeds
    });
    let settings: Settings = node::settings::parse(&text.to_string()).unwrap();
    let listener = node::listen(settings.peer_listen).unwrap();
    let (shared, peer) = (Shared::new(), listener.local_addr().unwrap());
    let peering = Peering::new(&settings, shared.clone(), peer);
    let tasks = peering.start(listener);
    Vm {
        shared,
        peer,
        peering,
        tasks,
    }
}

/// Runs `test` with three entries in one domain, one of which is no watcher, one in another, and the platform.
fn with_entries<F: Future<Output = ()>>(test: impl FnOnce(Platform, Vec<Vm>) -> F) {
    with_platform(|platform, _, vms| test(platform, vms));
}

/// Like [`with_entries`], and gives the address of the platform too.
fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(Platform, SocketAddr, Vec<Vm>) -> F) {
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
                    revision: objects.first().map_or(0, |object| object.revision),
                    objects: objects.clone(),
                    deleted: Vec::new(),
                };
                let vms = leaving.iter().map(
                    |name| serde_json::json!({"name": name, "domain": "a", "state": "leaving"}),
                );
                // A platform that ignores the query lists live VMs too.
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
        let first = start("a0", "a", address, &[]);
        let seeds = [first.peer];
        let rest = [("a1", "a"), ("a2", "a"), ("b0", "b")];
        let rest = rest.map(|(name, domain)| start(name, domain, address, &seeds));
        let vms = std::iter::once(first).chain(rest).collect();
        test(platform, address, vms).await;
        server.cancel().await;
    })
    .unwrap();
}

/// Waits until `holds` and returns how long it took.
async fn until(limit_ms: u64, what: &str, holds: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_millis(limit_ms),
            "{what} after {limit_ms} ms"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

fn revision(vm: &Vm) -> u64 {
    vm.shared
        .catalogue()
        .get("class/urgent")
        .map_or(0, |(revision, _)| *revision)
}

fn phase(vm: &Vm) -> Option<Phase> {
    Some(vm.shared.target("t1")?.member?.phase)
}

async fn report(vm: &Vm, member: &LocalMember, sequence: u64) -> Reply {
    let client = wire::connect(vm.peer, Duration::from_secs(1))
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

/// Guards against a restarted entry that puts an older revision in force because its first read is stale.
#[test]
fn start_with_stale_read() {
    with_platform(|platform, address, vms| async move {
        put(&platform, 5, 0);
        let all = || vms.iter().all(|vm| revision(vm) == 5);
        until(6_000, "revision 5 isn't everywhere", all).await;
        put(&platform, 4, 9);
        // The seed that is asked first doesn't answer, so the platform would answer before a peer does.
        let silent = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let silent = silent.local_addr().unwrap();
        let started = start("b1", "b", address, &[vms[0].peer, silent]);
        let knows = || match revision(&started) {
            0 => false,
            found => {
                assert_eq!(found, 5);
                true
            }
        };
        until(2_000, "the entry knows no catalogue", knows).await;
    });
}

/// Guards against a change that is not in force everywhere within 6 s, and against one that reverts on a stale read.
#[test]
fn catalogue_in_force_everywhere() {
    with_entries(|platform, vms| async move {
        let all = |wanted: u64| vms.iter().all(|vm| revision(vm) == wanted);
        until(5_000, "not all entries meet", || {
            vms.iter().all(|vm| vm.shared.live_entries() == 4)
        })
        .await;
        put(&platform, 5, 0);
        let first = until(6_000, "revision 5 isn't everywhere", || all(5)).await;
        put(&platform, 4, 9);
        compio::time::sleep(Duration::from_millis(500)).await;
        assert!(all(5));
        put(&platform, 6, 1);
        let second = until(6_000, "revision 6 isn't everywhere", || all(6)).await;
        println!("in force after {first:?} and {second:?}");
    });
}

/// Guards against a dead target that keeps getting work, and against a live one that stays down.
#[test]
fn target_down_and_back() {
    with_entries(|_, vms| async move {
        until(5_000, "not all entries meet", || {
            vms.iter().all(|vm| vm.shared.live_entries() == 4)
        })
        .await;
        let mut member = target("a");
        let all = |wanted| vms.iter().all(|vm| phase(vm) == Some(wanted));
        assert!(report(&vms[0], &member, 1).await.known);
        until(2_000, "the target isn't known everywhere", || {
            all(Phase::Live)
        })
        .await;
        until(9_000, "the silent target isn't down everywhere", || {
            all(Phase::Down)
        })
        .await;
        let reply = report(&vms[1], &member, 2).await;
        assert!(!reply.known);
        assert!(reply.records.iter().any(|record| member.refute(record)));
        assert!(report(&vms[1], &member, 3).await.known);
        until(2_000, "the target isn't back everywhere", || {
            all(Phase::Live)
        })
        .await;
    });
}

/// Guards against declaring a live target down because it was silent while it reported to an entry that now leaves.
#[test]
fn target_live_after_its_entry_leaves() {
    with_entries(|_, vms| async move {
        until(5_000, "not all entries meet", || {
            vms.iter().all(|vm| vm.shared.live_entries() == 4)
        })
        .await;
        let (member, start) = (target("b"), Instant::now());
        // At its start an agent reports to the seeds, then to the entry of its domain.
        report(&vms[0], &member, 1).await;
        for sequence in 2..11 {
            report(&vms[3], &member, sequence).await;
            compio::time::sleep(Duration::from_millis(500)).await;
        }
        vms[3].peering.leave();
        let left = Instant::now();
        let is_live = || vms.iter().all(|vm| phase(vm) == Some(Phase::Live));
        while left.elapsed() < Duration::from_millis(2_500) {
            assert!(is_live(), "down {:?} after its start", start.elapsed());
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        // It reports to no one from now on, and the other domain's entries take notice.
        until(5_000, "the silent target isn't down everywhere", || {
            vms.iter().all(|vm| phase(vm) == Some(Phase::Down))
        })
        .await;
    });
}

/// Guards against targets that stay live for ever because all entries that they report to died with them.
#[test]
fn target_down_with_its_domain() {
    with_entries(|_, mut vms| async move {
        until(5_000, "not all entries meet", || {
            vms.iter().all(|vm| vm.shared.live_entries() == 4)
        })
        .await;
        report(&vms[3], &target("b"), 1).await;
        let all = |vms: &[Vm], wanted| vms.iter().all(|vm| phase(vm) == Some(wanted));
        until(2_000, "the target isn't known everywhere", || {
            all(&vms, Phase::Live)
        })
        .await;
        vms.remove(3).tasks.clear();
        // Up to 8 s until an exchange goes there, 5 s of silence of the entry, and as long of its targets.
        until(25_000, "the dead domain's target isn't down", || {
            all(&vms, Phase::Down)
        })
        .await;
    });
}

/// Guards against a dead or leaving entry that still counts, and against a VM list that isn't read.
#[test]
fn entries_leave_and_die() {
    with_entries(|platform, mut vms| async move {
        until(5_000, "not all entries meet", || {
            vms.iter().all(|vm| vm.shared.live_entries() == 4)
        })
        .await;
        vms[2].peering.leave();
        until(2_000, "the leaving entry still counts", || {
            vms.iter().all(|vm| vm.shared.live_entries() == 3)
        })
        .await;
        vms.remove(3).tasks.clear();
        let counted = || vms.iter().all(|vm| vm.shared.live_entries() == 2);
        until(30_000, "the dead entry still counts", counted).await;
        report(&vms[0], &target("a"), 1).await;
        platform.borrow_mut().1 = vec!["t1"];
        let leaving = || vms.iter().all(|vm| phase(vm) == Some(Phase::Leaving));
        until(7_000, "the VM list isn't read", leaving).await;
    });
}

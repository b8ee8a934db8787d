//! Claims of two agents on a platform that loses responses.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use agent::{Settings, Shared, claims, engine};
use claim::{Decision, Outcome, Table};
use compio::runtime::{JoinHandle, spawn};
use gate::Event;
use gossip::{Key, Phase, Record, Target, Value, Version};
use node::http::{Body, Client, Limits, Request, Response, StatusCode, response, serve};
use platform::wire::{self, Call};
use platform::{Object, Revision};
use serde_json::json;
use serde_json::value::to_raw_value;
use yare::parameterized;

/// A platform that stores one claim table with its revision and can fail.
#[derive(Default)]
struct Platform {
    table: RefCell<Option<(u64, Table)>>,
    /// Number of further writes that take effect but whose response is lost.
    responses_to_lose: Cell<u32>,
    /// Whether every request fails.
    down: Cell<bool>,
    /// Number of times that the platform came back from an older copy.
    era: Cell<u64>,
}

impl Platform {
    fn handle(&self, request: &Request<bytes::Bytes>) -> Response<Body> {
        let mut response = self.handle_without_era(request);
        let era = self.era.get().into();
        response.headers_mut().insert("store-era", era);
        response
    }

    fn handle_without_era(&self, request: &Request<bytes::Bytes>) -> Response<Body> {
        if self.down.get() {
            return response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let mut stored = self.table.borrow_mut();
        let mut status = StatusCode::OK;
        let write = match Call::parse(request) {
            Some(Call::Create { value, .. }) => Some((None, value)),
            Some(Call::Replace {
                revision, value, ..
            }) => Some((revision, value)),
            _ => None,
        };
        if let Some((expected, value)) = write {
            let current = stored.as_ref().map(|(revision, _)| *revision);
            if expected == current {
                let table = serde_json::from_str(value.get()).unwrap();
                *stored = Some((current.unwrap_or(6) + 1, table));
                let to_lose = self.responses_to_lose.get();
                if to_lose > 0 {
                    self.responses_to_lose.set(to_lose - 1);
                    return response(StatusCode::INTERNAL_SERVER_ERROR, "");
                }
            } else {
                status = StatusCode::CONFLICT;
            }
        }
        let Some((revision, table)) = &*stored else {
            return response(StatusCode::NOT_FOUND, "");
        };
        let object = Object {
            name: "bookings".into(),
            revision: Revision::new(0, *revision),
            value: to_raw_value(table).unwrap(),
        };
        wire::object_response(status, &object)
    }
}

/// Returns the member record of a target.
fn target(name: &str, phase: Phase, minor: u64) -> Record {
    let address: SocketAddr = "127.0.0.1:7000".parse().unwrap();
    let (domain, region, service) = ("north".into(), "north".into(), "bookings".into());
    Record {
        key: Key::Target(name.into()),
        version: Version {
            major: 1,
            minor,
            down: false,
        },
        value: Value::Target(Target {
            domain,
            region,
            service,
            call: address,
            chunk: address,
            phase,
        }),
    }
}

/// Starts the claims of an agent whose view has both agents as live.
fn start_claims(name: &str, platform: SocketAddr) -> (Rc<Shared>, JoinHandle<()>) {
    let text = json!({
        "name": name, "domain": "north", "region": "north", "service": "bookings", "backend": "plain",
        "backend_address": platform, "call_listen": "127.0.0.1:1", "chunk_listen": "127.0.0.1:1",
        "operator_listen": "127.0.0.1:1", "order_listen": "127.0.0.1:1", "platform": platform, "seeds": []
    });
    let settings: Settings = node::settings::parse(&text.to_string()).unwrap();
    let (shared, actions) = Shared::new(settings, 1);
    spawn(engine::run(Rc::clone(&shared), actions, Client::new())).detach();
    let entry = json!({
        "kind": "service", "name": "bookings", "owner": "desk", "class": "urgent", "repeatable": false,
        "backend": "plain", "deadline_ms": 5000, "limits": {}
    });
    let entry = Record {
        key: Key::Catalog("service/bookings".into()),
        version: Version {
            major: 3,
            ..Version::default()
        },
        value: Value::Catalog(entry.to_string()),
    };
    for record in [
        entry,
        target("vm-1", Phase::Live, 0),
        target("vm-2", Phase::Live, 0),
    ] {
        shared.view.borrow_mut().merge(record);
    }
    let client = platform::Client::new(platform, Duration::from_secs(1));
    let task = spawn(claims::run(Rc::clone(&shared), client));
    (shared, task)
}

fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(Rc<Platform>, SocketAddr) -> F) {
    node::run("test", async {
        let platform = Rc::new(Platform::default());
        let served = Rc::clone(&platform);
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let handler = move |_: SocketAddr, request: Request<bytes::Bytes>| {
            let platform = Rc::clone(&served);
            async move { platform.handle(&request) }
        };
        let server = spawn(async move {
            serve(listener, Limits::default(), handler, std::future::pending()).await;
        });
        test(platform, address).await;
        server.cancel().await;
    })
    .unwrap();
}

async fn wait_until(limit_ms: u64, what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_millis(limit_ms),
            "{what} after {limit_ms} ms"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn update_view(shared: &Shared, record: Record) {
    shared.view.borrow_mut().merge(record);
    shared.view_changed();
}

fn owned_slots(shared: &Shared) -> u16 {
    shared.counters.slots.get()
}

fn now() -> Duration {
    SystemTime::UNIX_EPOCH.elapsed().unwrap()
}

/// Guards against slots without an owner after a planned stop, a lost response or a crash, and against two owners.
#[test]
fn slots_move_after_stop_and_crash() {
    with_platform(|platform, address| async move {
        platform.responses_to_lose.set(2);
        let (first, first_task) = start_claims("vm-1", address);
        wait_until(10_000, "vm-1 doesn't own all slots", || {
            owned_slots(&first) == 0xffff
        })
        .await;
        let (second, second_task) = start_claims("vm-2", address);
        let split = || {
            owned_slots(&first).count_ones() == 8 && owned_slots(&second) == !owned_slots(&first)
        };
        wait_until(10_000, "the slots aren't split between the agents", split).await;

        first.handle(Event::Leave);
        claims::wait_for_release(&first).await;
        assert_eq!(owned_slots(&first), 0);
        update_view(&second, target("vm-1", Phase::Leaving, 1));
        wait_until(3_000, "vm-2 doesn't take the released slots", || {
            owned_slots(&second) == 0xffff
        })
        .await;
        drop(first_task);

        // A new process of vm-1 learns that vm-2 is down; vm-2 is only partitioned from the entries and still renews.
        let (first, _task) = start_claims("vm-1", address);
        update_view(&first, target("vm-2", Phase::Down, 1));
        compio::time::sleep(Duration::from_secs(4)).await;
        assert_eq!((owned_slots(&first), owned_slots(&second)), (0, 0xffff));
        drop(second_task);
        // The last interval ends after 10 s, and a free slot is noticed within one more second.
        wait_until(
            12_000,
            "vm-1 doesn't take the slots of the crashed agent",
            || owned_slots(&first) == 0xffff,
        )
        .await;
    });
}

/// Guards against a stopping agent that keeps its slots until its next renewal, for example if it is told to stop right
/// after a step.
#[test]
fn stop_right_after_a_step() {
    with_platform(|platform, address| async move {
        let (first, _task) = start_claims("vm-1", address);
        wait_until(10_000, "vm-1 doesn't own all slots", || {
            owned_slots(&first) == 0xffff
        })
        .await;
        let revision = || platform.table.borrow().as_ref().unwrap().0;
        let revision_before = revision();
        wait_until(4_000, "vm-1 doesn't renew", || revision() > revision_before).await;
        first.handle(Event::Leave);
        wait_until(1_000, "the slots aren't released", || {
            owned_slots(&first) == 0
        })
        .await;
    });
}

/// Guards against keys that still run after the interval ended while the platform is down, and against a lost slot.
#[test]
fn platform_outage_ends_intervals() {
    with_platform(|platform, address| async move {
        let (first, _task) = start_claims("vm-1", address);
        wait_until(3_000, "vm-1 doesn't own all slots", || {
            owned_slots(&first) == 0xffff
        })
        .await;
        let begin = |ahead: u64| {
            let key = uuid::Uuid::new_v7(uuid::Timestamp::from_unix_time(
                (now().as_secs()) + ahead,
                0,
                0,
                0,
            ));
            let decision = first.claims.borrow_mut().begin("clerks", key, now());
            first
                .claims
                .borrow_mut()
                .finish("clerks", key, now(), Outcome::NotRun);
            decision
        };
        platform.down.set(true);
        assert_eq!(begin(1), Decision::Run);
        wait_until(12_000, "keys still run", || {
            matches!(begin(1), Decision::NotRun { .. })
        })
        .await;
        platform.down.set(false);
        wait_until(3_000, "keys don't run again", || begin(0) == Decision::Run).await;
    });
}

/// Guards against an owner that believes in claims which the platform lost when it came back from an older copy, and
/// against slots whose claims are never renewed again because the revisions of the copy are lower.
#[parameterized(
    table_older = { true },
    table_missing = { false },
)]
fn slots_after_restore(table_in_copy: bool) {
    with_platform(|platform, address| async move {
        let (first, _task) = start_claims("vm-1", address);
        wait_until(3_000, "vm-1 doesn't own all slots", || {
            owned_slots(&first) == 0xffff
        })
        .await;
        let copy = platform.table.borrow().clone().filter(|_| table_in_copy);
        let revision = || platform.table.borrow().as_ref().map(|held| held.0);
        let copied = revision();
        wait_until(5_000, "vm-1 doesn't renew", || revision() > copied).await;
        platform.table.replace(copy);
        platform.era.set(1);
        let dropped = Instant::now();
        wait_until(5_000, "vm-1 believes in its lost claims", || {
            owned_slots(&first) == 0
        })
        .await;
        wait_until(6_000, "vm-1 doesn't claim the slots anew", || {
            owned_slots(&first) == 0xffff
        })
        .await;
        let begin = || {
            let key = uuid::Uuid::now_v7();
            let mut claims = first.claims.borrow_mut();
            let decision = claims.begin("clerks", key, now());
            claims.finish("clerks", key, now(), Outcome::NotRun);
            decision
        };
        wait_until(20_000, "keys don't run again", || {
            dropped.elapsed() > Duration::from_secs(12) && begin() == Decision::Run
        })
        .await;
    });
}

//! Claims of two agents against a platform that loses answers.

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
use platform::Object;
use platform::wire::{self, Call};
use serde_json::json;
use serde_json::value::to_raw_value;

/// The claim table, its revision and how the platform fails.
#[derive(Default)]
struct Platform {
    table: RefCell<Option<(u64, Table)>>,
    /// Answers to writes that are lost after the write took effect.
    lose: Cell<u32>,
    down: Cell<bool>,
}

impl Platform {
    fn answer(&self, request: &Request<bytes::Bytes>) -> Response<Body> {
        if self.down.get() {
            return response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let mut held = self.table.borrow_mut();
        let mut status = StatusCode::OK;
        let write = match Call::parse(request) {
            Some(Call::Create { value, .. }) => Some((None, value)),
            Some(Call::Replace {
                revision, value, ..
            }) => Some((revision, value)),
            _ => None,
        };
        if let Some((seen, value)) = write {
            let current = held.as_ref().map(|(revision, _)| *revision);
            if seen == current {
                let table = serde_json::from_str(value.get()).unwrap();
                *held = Some((current.unwrap_or(6) + 1, table));
                if self.lose.get() > 0 {
                    self.lose.set(self.lose.get() - 1);
                    return response(StatusCode::INTERNAL_SERVER_ERROR, "");
                }
            } else {
                status = StatusCode::CONFLICT;
            }
        }
        let Some((revision, table)) = &*held else {
            return response(StatusCode::NOT_FOUND, "");
        };
        let object = Object {
            name: "bookings".into(),
            revision: *revision,
            value: to_raw_value(table).unwrap(),
        };
        wire::object_response(status, &object)
    }
}

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

/// Starts the claims of an agent that sees both agents in the given phases.
fn start(name: &str, platform: SocketAddr) -> (Rc<Shared>, JoinHandle<()>) {
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
            async move { platform.answer(&request) }
        };
        let server = spawn(async move {
            serve(listener, Limits::default(), handler, std::future::pending()).await;
        });
        test(platform, address).await;
        server.cancel().await;
    })
    .unwrap();
}

async fn until(limit_ms: u64, what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_millis(limit_ms),
            "{what} after {limit_ms} ms"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn tell(shared: &Shared, record: Record) {
    shared.view.borrow_mut().merge(record);
    shared.view_changed();
}

fn slots(shared: &Shared) -> u16 {
    shared.counters.slots.get()
}

fn now() -> Duration {
    SystemTime::UNIX_EPOCH.elapsed().unwrap()
}

/// Guards against slots without an owner after a planned stop, a lost answer or a death, and against two owners.
#[test]
fn slots_move_on_stop_and_death() {
    with_platform(|platform, address| async move {
        platform.lose.set(2);
        let (first, first_task) = start("vm-1", address);
        until(10_000, "vm-1 doesn't own all slots", || {
            slots(&first) == 0xffff
        })
        .await;
        let (second, second_task) = start("vm-2", address);
        let shared_out = || slots(&first).count_ones() == 8 && slots(&second) == !slots(&first);
        until(10_000, "the slots aren't shared out", shared_out).await;

        first.handle(Event::Leave);
        claims::released(&first).await;
        assert_eq!(slots(&first), 0);
        tell(&second, target("vm-1", Phase::Leaving, 1));
        until(3_000, "vm-2 doesn't take the released slots", || {
            slots(&second) == 0xffff
        })
        .await;
        drop(first_task);

        // A new process of the first hears that the second is down, which is only cut off from the entries and renews.
        let (first, _task) = start("vm-1", address);
        tell(&first, target("vm-2", Phase::Down, 1));
        compio::time::sleep(Duration::from_secs(4)).await;
        assert_eq!((slots(&first), slots(&second)), (0, 0xffff));
        drop(second_task);
        // The last interval ends after 10 s, and a free slot is seen within one more.
        until(
            12_000,
            "vm-1 doesn't take the slots of the dead agent",
            || slots(&first) == 0xffff,
        )
        .await;
    });
}

/// Guards against slots that stay with a stopping agent until its next renewal, as when the stop comes just after a step.
#[test]
fn stop_right_after_a_step() {
    with_platform(|platform, address| async move {
        let (first, _task) = start("vm-1", address);
        until(10_000, "vm-1 doesn't own all slots", || {
            slots(&first) == 0xffff
        })
        .await;
        let revision = || platform.table.borrow().as_ref().unwrap().0;
        let before = revision();
        until(4_000, "vm-1 doesn't renew", || revision() > before).await;
        first.handle(Event::Leave);
        until(1_000, "the slots aren't released", || slots(&first) == 0).await;
    });
}

/// Guards against a key that runs on after the interval ended while the platform is down, and against a lost slot.
#[test]
fn platform_outage_ends_intervals() {
    with_platform(|platform, address| async move {
        let (first, _task) = start("vm-1", address);
        until(3_000, "vm-1 doesn't own all slots", || {
            slots(&first) == 0xffff
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
        until(12_000, "keys still run", || {
            matches!(begin(1), Decision::NotRun { .. })
        })
        .await;
        platform.down.set(false);
        until(3_000, "keys don't run again", || begin(0) == Decision::Run).await;
    });
}

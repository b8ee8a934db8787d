//! Puts to a platform that fails or loses responses, waiting until revisions are in force, and `check`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use carobport_catalog::entry_status;
use carobport_catalog::put::{Error, Outcome, parse, put};
use catalog::{Entry, StoredEntry};
use node::http::{Body, Limits, Request, Response, StatusCode, json, response, serve};
use platform::wire::{self, Call};
use platform::{Client, Object};
use serde_json::value::to_raw_value;
use yare::parameterized;

/// How the platform handles a write.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Applies it and responds.
    None,
    /// Applies it, but the response is lost.
    LostAfter,
    /// The request is lost.
    LostBefore,
    /// Responds that it is temporarily unavailable.
    Unavailable,
    /// Applies another operator's write first.
    Rival,
    /// Applies it, then another operator's write, and the response is lost.
    RivalAfter,
    /// Fails this write and all later ones without applying them.
    Gone,
}

/// A platform with one object.
///
/// Each write takes the last of the `faults`; `writes` counts the applied ones, except those of the other operator.
#[derive(Default)]
struct Platform {
    object: RefCell<Option<(u64, StoredEntry)>>,
    faults: RefCell<Vec<Fault>>,
    writes: Cell<u32>,
}

impl Platform {
    fn write(&self, request: &Request<bytes::Bytes>) -> StatusCode {
        let current = self.object.borrow().as_ref().map(|(revision, _)| *revision);
        let (wanted, value) = match Call::parse(request) {
            Some(Call::Create { value, .. }) => (None, value),
            Some(Call::Replace {
                revision, value, ..
            }) => (revision, value),
            other => panic!("not a write: {other:?}"),
        };
        if wanted != current {
            return match current {
                Some(_) => StatusCode::CONFLICT,
                None => StatusCode::NOT_FOUND,
            };
        }
        let stored = serde_json::from_str(value.get()).unwrap();
        *self.object.borrow_mut() = Some((current.unwrap_or(40) + 1, stored));
        self.writes.set(self.writes.get() + 1);
        StatusCode::OK
    }

    /// Applies another operator's write.
    fn rival(&self) {
        let mut object = self.object.borrow_mut();
        let new = StoredEntry::new(entry(99), "rival", 0, "other");
        *object = Some(match object.take() {
            Some((revision, previous)) => (revision + 1, new.with_previous(revision, previous)),
            None => (41, new),
        });
    }

    fn put(&self, request: &Request<bytes::Bytes>) -> StatusCode {
        let fault = self.faults.borrow_mut().pop().unwrap_or(Fault::None);
        match fault {
            Fault::None => self.write(request),
            Fault::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Fault::LostBefore => StatusCode::INTERNAL_SERVER_ERROR,
            Fault::LostAfter => {
                self.write(request);
                StatusCode::INTERNAL_SERVER_ERROR
            }
            Fault::Rival => {
                self.rival();
                self.write(request)
            }
            Fault::RivalAfter => {
                self.write(request);
                self.rival();
                StatusCode::INTERNAL_SERVER_ERROR
            }
            Fault::Gone => {
                self.faults.borrow_mut().push(Fault::Gone);
                StatusCode::INTERNAL_SERVER_ERROR
            }
        }
    }

    fn handle(&self, request: &Request<bytes::Bytes>) -> Response<Body> {
        let status = match request.method().as_str() {
            "PUT" | "POST" => self.put(request),
            _ => StatusCode::OK,
        };
        match &*self.object.borrow() {
            Some((revision, stored)) => {
                let object = Object {
                    name: "workspace/captains".into(),
                    revision: platform::Revision::new(0, *revision),
                    value: to_raw_value(stored).unwrap(),
                };
                wire::object_response(status, &object)
            }
            None if request.method() == "GET" => response(StatusCode::NOT_FOUND, ""),
            None => response(status, ""),
        }
    }
}

fn entry(concurrent: u32) -> Entry {
    serde_json::from_value(serde_json::json!({
        "kind": "workspace", "name": "captains", "owner": "league", "class": "standard",
        "limits": {"concurrent": concurrent}, "services": ["club-registry"]
    }))
    .unwrap()
}

/// Runs `test` with the address of a loopback server that responds with `respond`.
fn with_server<F: Future<Output = ()>>(
    respond: impl Fn(&Request<bytes::Bytes>) -> Response<Body> + 'static,
    test: impl FnOnce(SocketAddr) -> F,
) {
    node::block_on(async {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let respond = Rc::new(respond);
        let handler = move |_: SocketAddr, request: Request<bytes::Bytes>| {
            let respond = Rc::clone(&respond);
            async move { respond(&request) }
        };
        let server = compio::runtime::spawn(async move {
            serve(listener, Limits::default(), handler, std::future::pending()).await;
        });
        test(address).await;
        server.cancel().await;
    })
    .unwrap();
}

/// Guards against retrying a write that took effect, reporting a stored write as failed, and overwriting another
/// operator's change.
#[parameterized(
    accepted = { &[Fault::None], "Accepted(42)", 1 },
    lost_after = { &[Fault::LostAfter], "Accepted(42)", 1 },
    lost_before = { &[Fault::LostBefore, Fault::None], "Accepted(42)", 1 },
    lost_twice = { &[Fault::LostBefore, Fault::LostAfter], "Accepted(42)", 1 },
    unavailable = { &[Fault::Unavailable, Fault::Unavailable, Fault::None], "Accepted(42)", 1 },
    raced = { &[Fault::Rival], "Raced { author: \"rival\", revision: 42 }", 0 },
    raced_after_loss = { &[Fault::LostBefore, Fault::Rival], "Raced { author: \"rival\", revision: 42 }", 0 },
    gone = { &[Fault::Gone], "unknown", 0 },
)]
fn put_under_fault(faults: &[Fault], expected: &str, writes: u32) {
    let platform = Rc::new(Platform::default());
    let base = StoredEntry::new(entry(4), "first", 0, "earlier");
    *platform.object.borrow_mut() = Some((41, base.clone()));
    *platform.faults.borrow_mut() = faults.iter().rev().copied().collect();
    let served = Rc::clone(&platform);
    with_server(
        move |request| served.handle(request),
        |address| async move {
            let client = Client::new(address, Duration::from_secs(1));
            let deadline = Instant::now() + Duration::from_secs(1);
            let result = put(&client, entry(6), Some((41, base)), "second", deadline).await;
            let outcome = match &result {
                Ok(outcome) => format!("{outcome:?}"),
                Err(Error::Unknown { .. }) => "unknown".into(),
                Err(error) => error.to_string(),
            };
            assert_eq!(outcome, expected);
        },
    );
    assert_eq!(platform.writes.get(), writes);
}

/// Guards against reporting a put as raced if its response is lost and another operator writes after it.
#[test]
fn put_overwritten_after_lost_answer() {
    let platform = Rc::new(Platform::default());
    platform.faults.borrow_mut().push(Fault::RivalAfter);
    let served = Rc::clone(&platform);
    with_server(
        move |request| served.handle(request),
        |address| async move {
            let client = Client::new(address, Duration::from_secs(1));
            let deadline = Instant::now() + Duration::from_secs(1);
            let result = put(&client, entry(6), None, "second", deadline)
                .await
                .unwrap();
            assert_eq!(result, Outcome::Accepted(41));
            let object = client
                .get("catalog", "workspace/captains")
                .await
                .unwrap()
                .unwrap();
            let history = parse(&object).unwrap().history;
            assert_eq!(
                (object.revision.ordinal(), history[0].author.as_str()),
                (42, "second")
            );
        },
    );
}

/// Guards against waiting that ends before the change is in force, and against progress that doesn't name the entry VMs
/// without it.
#[test]
fn wait_names_pending_entries() {
    let requests = Cell::new(0);
    let status = move |_: &Request<bytes::Bytes>| {
        requests.set(requests.get() + 1);
        let revision = if requests.get() < 3 { 41 } else { 42 };
        json(
            StatusCode::OK,
            &serde_json::json!({
                "name": "e0",
                "domain": "levis",
                "draining": false,
                "catalogue": { "workspace/captains": revision },
                "live_entries": 1,
                "services": {},
            }),
        )
    };
    with_server(status, |address| async move {
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let wanted = BTreeMap::from([("workspace/captains".to_owned(), 42)]);
        let deadline = Instant::now() + Duration::from_millis(900);
        let mut first = None;
        let entries = [address, unreachable];
        let progress = entry_status::wait(&entries, &wanted, deadline, |progress| {
            first.get_or_insert(progress.clone());
        });
        let progress = progress.await;
        assert_eq!(progress.in_force, [address]);
        assert!(progress.pending.contains_key(&unreachable));
        let first = first.unwrap();
        assert_eq!(
            first.pending[&address],
            "workspace/captains is at 41, not 42"
        );
    });
}

/// Guards against a wrong path to an empty directory passing as a checked catalogue.
#[test]
fn check_empty_directory() {
    let name = format!("carobport-check-empty-{}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir(&directory).unwrap();
    let result = carobport_catalog::files::read(std::slice::from_ref(&directory));
    std::fs::remove_dir(&directory).unwrap();
    let error = result.unwrap_err().to_string();
    assert!(error.contains("holds no file *.json"), "{error}");
}

/// Guards against scripts treating entry files with findings as valid: `check` must exit with code 2.
#[test]
fn check_exit_code() {
    let file = std::env::temp_dir().join(format!("carobport-check-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"kind":"class"}"#).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_carobport-catalog"))
        .args(["check", "--json"])
        .env_remove(node::log::LEVEL_VARIABLE)
        .arg(&file)
        .output();
    std::fs::remove_file(&file).unwrap();
    let output = output.unwrap();
    let findings: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (output.status.code(), findings[0]["line"].as_u64()),
        (Some(2), Some(1))
    );
}

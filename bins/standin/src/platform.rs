//! Stand-in for the platform's object API and VM list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use node::http::{Body, Method, Request, Response, StatusCode, abort, json, response};
use node::settings::{Fields, Settings};
use platform::wire::{self, Call};
use platform::{Listing, Object, State, Vm};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::control::Control;
use crate::server::{self, Standin};

/// Maximum size of an object's value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest time that a watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Settings of the stand-in for the platform.
pub struct PlatformSettings {
    listen: SocketAddr,
    vms: Vec<Vm>,
}

/// Simulated outage of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every request is rejected with 503.
    Refuse,
    /// Every request is dropped with its connection, without a response and without effect.
    Cut,
    /// Requests never receive a response and have no effect.
    Hang,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Switches {
    /// Simulated outage, which affects every request outside `/control`.
    outage: Outage,
    /// Delay before each response, in milliseconds.
    slow_ms: u64,
    /// Remaining number of writes that take effect but whose response is dropped.
    lose_answers: u32,
    /// Whether reads, lists and watches return the previous version of each object that has one, and omit an object
    /// created by the last write.
    stale_reads: bool,
    /// The VM list.
    vms: Vec<Vm>,
}

/// The current and the previous version of an object.
struct StoredObject {
    current: Object,
    previous: Option<Object>,
}

/// Objects by kind and name.
type Objects = BTreeMap<(String, String), StoredObject>;

struct Platform {
    control: Control<Switches>,
    /// Revision of the last write to any object.
    revision: Cell<u64>,
    objects: RefCell<Objects>,
    /// Notified on each write, of any kind of object.
    watchers: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Settings for PlatformSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let listen = fields.required("listen", "an IP address and port");
        let allowed = "an array of {\"name\", \"domain\", \"state\": \"live\" or \"leaving\"}";
        let vms = fields.optional("vms", allowed, Vec::new());
        Some(Self {
            listen: listen?,
            vms: vms?,
        })
    }
}

/// Runs the stand-in for the platform.
pub async fn run(settings: PlatformSettings) -> io::Result<()> {
    let switches = Switches {
        outage: Outage::None,
        slow_ms: 0,
        lose_answers: 0,
        stale_reads: false,
        vms: settings.vms,
    };
    let platform = Platform {
        control: Control::new("platform", switches),
        revision: Cell::new(0),
        objects: RefCell::default(),
        watchers: RefCell::default(),
    };
    server::run(settings.listen, platform).await
}

impl Standin for Platform {
    type Switches = Switches;

    fn control(&self) -> &Control<Switches> {
        &self.control
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        self.control.count("calls", 1);
        let outage = self.control.switches().outage;
        match outage {
            Outage::None => {}
            Outage::Refuse => return response(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Outage::Cut => return abort(),
            Outage::Hang => std::future::pending().await,
        }
        let delay = Duration::from_millis(self.control.switches().slow_ms);
        let response = self.route(&request).await;
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        response
    }

    /// Ends the watches; objects are kept across restarts.
    fn reset(&self) {
        self.watchers.take();
    }
}

impl Platform {
    /// Returns all VMs, or only those that are leaving if the query asks for them.
    fn vms(&self, query: Option<&str>) -> Response<Body> {
        let switches = self.control.switches();
        let leaving_only = query == Some("state=leaving");
        let matches = |vm: &&Vm| !leaving_only || vm.state == State::Leaving;
        let vms: Vec<&Vm> = switches.vms.iter().filter(matches).collect();
        json(StatusCode::OK, &vms)
    }

    async fn route(&self, request: &Request<Bytes>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == "/vms" {
            self.control.count("vms", 1);
            return self.vms(request.uri().query());
        }
        match Call::parse(request) {
            Some(Call::List { kind }) => {
                self.control.count("list", 1);
                wire::list_response(&self.changes_since(&kind, 0))
            }
            Some(Call::Watch { kind, after, wait }) => self.watch(&kind, after, wait).await,
            Some(Call::Get { kind, name }) => self.get(&kind, &name),
            Some(Call::Create { kind, name, value }) => {
                let absent = |current: Option<&Object>| current.is_none();
                self.write((kind, name), value, absent)
            }
            Some(Call::Replace {
                kind,
                name,
                revision,
                value,
            }) => {
                let revision_matches = |current: Option<&Object>| {
                    let is_current =
                        |revision: u64| current.map(|object| object.revision) == Some(revision);
                    current.is_some() && revision.is_none_or(is_current)
                };
                self.write((kind, name), value, revision_matches)
            }
            None => response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        self.control.count("get", 1);
        let objects = self.objects.borrow();
        let stored = objects.get(&(kind.into(), name.into()));
        match stored.and_then(|stored| self.visible_version(stored)) {
            Some(object) => wire::object_response(StatusCode::OK, object),
            None => response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Writes an object if `condition` holds for its current version.
    fn write(
        &self,
        key: (String, String),
        value: Box<RawValue>,
        condition: impl Fn(Option<&Object>) -> bool,
    ) -> Response<Body> {
        self.control.count("put", 1);
        if value.get().len() > MAX_VALUE_BYTES {
            return response(StatusCode::PAYLOAD_TOO_LARGE, "the value exceeds 1 MB");
        }
        let current = self.objects.borrow().get(&key).map(|s| s.current.clone());
        if !condition(current.as_ref()) {
            self.control.count("conflicts", 1);
            return match current {
                Some(object) => wire::object_response(StatusCode::CONFLICT, &object),
                None => response(StatusCode::NOT_FOUND, "no such object"),
            };
        }
        let object = self.store(key, value);
        if self.control.update(consume_lost_answer) {
            self.control.count("lost_answers", 1);
            return abort();
        }
        wire::object_response(StatusCode::OK, &object)
    }

    /// Stores a new version of an object and notifies the watchers.
    fn store(&self, key: (String, String), value: Box<RawValue>) -> Object {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut objects = self.objects.borrow_mut();
        let current = Object {
            name: key.1.clone(),
            revision,
            value,
        };
        let previous = objects.remove(&key).map(|stored| stored.current);
        let stored = StoredObject {
            current: current.clone(),
            previous,
        };
        objects.insert(key, stored);
        for watcher in self.watchers.take() {
            // The caller of the watch may have disconnected.
            let _ = watcher.send(());
        }
        current
    }

    /// Returns the changes after the revision `after`, waiting up to `wait` for one.
    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        self.control.count("watch", 1);
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        loop {
            let (sender, receiver) = oneshot::channel();
            self.watchers.borrow_mut().push(sender);
            let changed = self.changes_since(kind, after);
            if !changed.objects.is_empty() {
                return wire::watch_response(&changed);
            }
            match compio::time::timeout_at(deadline, receiver).await {
                Ok(Ok(())) => {}
                // A restart dropped the sender.
                Ok(Err(_)) => return abort(),
                Err(_) => return wire::watch_response(&self.changes_since(kind, after)),
            }
        }
    }

    /// Returns the objects of `kind` written after the revision `after`, ordered by revision.
    fn changes_since(&self, kind: &str, after: u64) -> Listing {
        let objects = self.objects.borrow();
        let mut changed: Vec<Object> = objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .filter_map(|(_, stored)| self.visible_version(stored))
            .filter(|object| object.revision > after)
            .cloned()
            .collect();
        changed.sort_by_key(|object| object.revision);
        let stale = u64::from(self.control.switches().stale_reads);
        Listing {
            revision: self.revision.get().saturating_sub(stale),
            objects: changed,
            deleted: Vec::new(),
        }
    }

    /// Returns the version of an object that reads return, which depends on `stale_reads`.
    fn visible_version<'a>(&self, stored: &'a StoredObject) -> Option<&'a Object> {
        let stale = self.control.switches().stale_reads;
        let is_last_write = stored.current.revision == self.revision.get();
        match (stale, is_last_write, &stored.previous) {
            (true, _, Some(previous)) => Some(previous),
            (true, true, None) => None,
            _ => Some(&stored.current),
        }
    }
}

/// Decrements `lose_answers` unless it is 0, and returns whether it did.
fn consume_lost_answer(switches: &mut Switches) -> bool {
    let lose = switches.lose_answers > 0;
    switches.lose_answers -= u32::from(lose);
    lose
}

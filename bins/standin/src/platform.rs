//! Stand-in for the platform's object API and VM list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use node::http::{Body, Method, Request, Response, StatusCode, abort, json, response};
use node::settings::{Fields, Settings};
use platform::wire::{self, Call};
use platform::{Listing, Object, Revision, State, Vm};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::control::Control;
use crate::server::{self, Standin};

/// Maximum size of an object's value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest time that a watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Maximum age of the copy from which the store can come back.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

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
    /// Age of the copy from which the store comes back at the next restart, in milliseconds; 0 if it loses nothing.
    copy_age_ms: u64,
    /// The VM list.
    vms: Vec<Vm>,
}

/// The current and the previous version of an object.
#[derive(Clone)]
struct StoredObject {
    current: Object,
    previous: Option<Object>,
}

/// Kind and name of an object.
type Key = (String, String);

type Objects = BTreeMap<Key, StoredObject>;

/// A write, with what it replaced.
struct Replaced {
    written_at: Instant,
    key: Key,
    object: Option<StoredObject>,
}

struct Platform {
    control: Control<Switches>,
    /// Revision of the last write to any object.
    revision: Cell<Revision>,
    objects: RefCell<Objects>,
    /// The writes of the last [`MAX_COPY_AGE`], oldest first.
    replaced: RefCell<VecDeque<Replaced>>,
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
        copy_age_ms: 0,
        vms: settings.vms,
    };
    let platform = Platform {
        control: Control::new("platform", switches),
        revision: Cell::default(),
        objects: RefCell::default(),
        replaced: RefCell::default(),
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
        let response = wire::with_era(response, self.revision.get().era);
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        response
    }

    /// Ends the watches. Objects are kept across restarts, except those that the copy lacks.
    fn reset(&self) {
        self.watchers.take();
        let age = self
            .control
            .update(|switches| std::mem::take(&mut switches.copy_age_ms));
        if age > 0
            && let Some(copied_at) = Instant::now().checked_sub(Duration::from_millis(age))
        {
            self.restore(copied_at);
        }
    }
}

impl Platform {
    /// Undoes the writes since `copied_at`. Their revisions are given out again, in the next era.
    fn restore(&self, copied_at: Instant) {
        let mut objects = self.objects.borrow_mut();
        let mut replaced = self.replaced.borrow_mut();
        let mut revision = self.revision.get();
        while let Some(write) = replaced.pop_back_if(|write| write.written_at >= copied_at) {
            revision.number -= 1;
            match write.object {
                Some(object) => objects.insert(write.key, object),
                None => objects.remove(&write.key),
            };
        }
        replaced.clear();
        revision.era += 1;
        self.revision.set(revision);
        for stored in objects.values_mut() {
            stored.previous = None;
            stored.current.revision.era = revision.era;
        }
    }

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
                wire::list_response(&self.changes_after(&kind, 0))
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
                    let number = current.map(|object| object.revision.number);
                    current.is_some() && revision.is_none_or(|revision| number == Some(revision))
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
        key: Key,
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
    fn store(&self, key: Key, value: Box<RawValue>) -> Object {
        let mut revision = self.revision.get();
        revision.number += 1;
        self.revision.set(revision);
        let mut objects = self.objects.borrow_mut();
        let current = Object {
            name: key.1.clone(),
            revision,
            value,
        };
        let replaced = objects.remove(&key);
        let stored = StoredObject {
            current: current.clone(),
            previous: replaced.as_ref().map(|stored| stored.current.clone()),
        };
        self.record_replaced(Replaced {
            written_at: Instant::now(),
            key: key.clone(),
            object: replaced,
        });
        objects.insert(key, stored);
        for watcher in self.watchers.take() {
            // The caller of the watch may have disconnected.
            let _ = watcher.send(());
        }
        current
    }

    /// Remembers a write, and forgets those that are older than any copy.
    fn record_replaced(&self, write: Replaced) {
        let now = write.written_at;
        let mut replaced = self.replaced.borrow_mut();
        replaced.push_back(write);
        let is_old = |write: &mut Replaced| now - write.written_at > MAX_COPY_AGE;
        while replaced.pop_front_if(is_old).is_some() {}
    }

    /// Returns the changes after the revision `after`, waiting up to `wait` for one.
    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        self.control.count("watch", 1);
        if after > self.revision.get().number {
            return response(StatusCode::GONE, "no such revision");
        }
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        loop {
            let (sender, receiver) = oneshot::channel();
            self.watchers.borrow_mut().push(sender);
            let changed = self.changes_after(kind, after);
            if !changed.objects.is_empty() {
                return wire::watch_response(&changed);
            }
            match compio::time::timeout_at(deadline, receiver).await {
                Ok(Ok(())) => {}
                // A restart dropped the sender.
                Ok(Err(_)) => return abort(),
                Err(_) => return wire::watch_response(&self.changes_after(kind, after)),
            }
        }
    }

    /// Returns the objects of `kind` written after the revision `after`, ordered by revision.
    fn changes_after(&self, kind: &str, after: u64) -> Listing {
        let objects = self.objects.borrow();
        let mut changed: Vec<Object> = objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .filter_map(|(_, stored)| self.visible_version(stored))
            .filter(|object| object.revision.number > after)
            .cloned()
            .collect();
        changed.sort_by_key(|object| object.revision);
        let stale = u64::from(self.control.switches().stale_reads);
        let mut revision = self.revision.get();
        revision.number = revision.number.saturating_sub(stale);
        Listing {
            revision,
            objects: changed,
            deleted: Vec::new(),
            bytes: 0,
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

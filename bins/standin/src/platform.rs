//! The platform's object API and VM list.

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

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Settings of the platform's stand-in.
pub struct PlatformSettings {
    listen: SocketAddr,
    vms: Vec<Vm>,
}

/// How the platform fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Outage {
    /// It doesn't.
    #[default]
    None,
    /// Every call is answered with 503.
    Refuse,
    /// Every connection ends without an answer and without effect.
    Cut,
    /// No call is ever answered; none takes effect.
    Hang,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Switches {
    /// How calls fail.
    outage: Outage,
    /// Delay of each answer, in milliseconds.
    slow_ms: u64,
    /// Number of writes whose answer will be lost after they took effect.
    lose_answers: u32,
    /// Whether reads return the version before the current one, and lists and watches leave the last write out.
    stale_reads: bool,
    /// The VM list.
    vms: Vec<Vm>,
}

/// Versions of an object, the current one first.
struct Stored {
    current: Object,
    previous: Option<Object>,
}

type Objects = BTreeMap<(String, String), Stored>;

struct Platform {
    control: Control<Switches>,
    revision: Cell<u64>,
    objects: RefCell<Objects>,
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

/// Serves the platform's stand-in.
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

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        self.control.count("calls", 1);
        let outage = self.control.switches().outage;
        match outage {
            Outage::None => {}
            Outage::Refuse => return response(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Outage::Cut => return abort(),
            Outage::Hang => std::future::pending().await,
        }
        let slow = Duration::from_millis(self.control.switches().slow_ms);
        let answer = self.route(&request).await;
        if !slow.is_zero() {
            compio::time::sleep(slow).await;
        }
        answer
    }

    /// The platform keeps its objects over a restart; only the watches end.
    fn forget(&self) {
        self.watchers.take();
    }
}

impl Platform {
    /// Returns the VM list, or the VMs of one state.
    fn vms(&self, query: Option<&str>) -> Response<Body> {
        let switches = self.control.switches();
        let leaving = query == Some("state=leaving");
        let listed = |vm: &&Vm| !leaving || vm.state == State::Leaving;
        let vms: Vec<&Vm> = switches.vms.iter().filter(listed).collect();
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
                wire::list_response(&self.changed(&kind, 0))
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
                let as_seen = |current: Option<&Object>| {
                    let seen =
                        |revision: u64| current.map(|object| object.revision) == Some(revision);
                    current.is_some() && revision.is_none_or(seen)
                };
                self.write((kind, name), value, as_seen)
            }
            None => response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        self.control.count("get", 1);
        let objects = self.objects.borrow();
        let stored = objects.get(&(kind.into(), name.into()));
        match stored.and_then(|stored| self.visible(stored)) {
            Some(object) => wire::object_response(StatusCode::OK, object),
            None => response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Writes an object if `condition` holds for the current one.
    fn write(
        &self,
        key: (String, String),
        value: Box<RawValue>,
        condition: impl Fn(Option<&Object>) -> bool,
    ) -> Response<Body> {
        self.control.count("put", 1);
        if value.get().len() > MAX_VALUE {
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
        if self.control.change(lose_answer) {
            self.control.count("lost_answers", 1);
            return abort();
        }
        wire::object_response(StatusCode::OK, &object)
    }

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
        let stored = Stored {
            current: current.clone(),
            previous,
        };
        objects.insert(key, stored);
        for watcher in self.watchers.take() {
            // A watcher whose caller is gone needs no notice.
            let _ = watcher.send(());
        }
        current
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        self.control.count("watch", 1);
        let end = Instant::now() + wait.min(MAX_WAIT);
        loop {
            let (sender, receiver) = oneshot::channel();
            self.watchers.borrow_mut().push(sender);
            let changed = self.changed(kind, after);
            if !changed.objects.is_empty() {
                return wire::watch_response(&changed);
            }
            match compio::time::timeout_at(end, receiver).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return abort(),
                Err(_) => return wire::watch_response(&self.changed(kind, after)),
            }
        }
    }

    fn changed(&self, kind: &str, after: u64) -> Listing {
        let objects = self.objects.borrow();
        let mut changed: Vec<Object> = objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .filter_map(|(_, stored)| self.visible(stored))
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

    fn visible<'a>(&self, stored: &'a Stored) -> Option<&'a Object> {
        let stale = self.control.switches().stale_reads;
        let newest = stored.current.revision == self.revision.get();
        match (stale, newest, &stored.previous) {
            (true, _, Some(previous)) => Some(previous),
            (true, true, None) => None,
            _ => Some(&stored.current),
        }
    }
}

fn lose_answer(switches: &mut Switches) -> bool {
    let lose = switches.lose_answers > 0;
    switches.lose_answers -= u32::from(lose);
    lose
}

//! The platform's object API and VM list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use node::http::{Body, Method, Request, Response, StatusCode, cut, header, json, response};
use node::settings::{Fields, Settings};
use objects::{Listing, Object, State, Vm};
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
            Outage::Cut => return cut(),
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
        let path: Option<Vec<String>> = request.uri().path()[1..].split('/').map(decode).collect();
        let path = path.unwrap_or_default();
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        match (request.method(), &path[..]) {
            (&Method::GET, ["vms"]) => {
                self.control.count("vms", 1);
                self.vms(request.uri().query())
            }
            (&Method::GET, ["objects", kind]) => {
                self.control.count("list", 1);
                json(StatusCode::OK, &self.changed(kind, 0))
            }
            (&Method::GET, ["objects", kind, name]) => self.get(kind, name),
            (&Method::PUT, ["objects", kind, name]) => self.put(kind, name, request),
            (&Method::GET, ["watch", kind]) => self.watch(kind, request).await,
            _ => response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        self.control.count("get", 1);
        let objects = self.objects.borrow();
        let stored = objects.get(&(kind.into(), name.into()));
        match stored.and_then(|stored| self.visible(stored)) {
            Some(object) => {
                let value = object.value.get().to_owned();
                tagged(response(StatusCode::OK, value), object.revision)
            }
            None => response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn put(&self, kind: &str, name: &str, request: &Request<Bytes>) -> Response<Body> {
        self.control.count("put", 1);
        if request.body().len() > MAX_VALUE {
            return response(StatusCode::PAYLOAD_TOO_LARGE, "the value exceeds 1 MB");
        }
        let value: Box<RawValue> = match serde_json::from_slice(request.body()) {
            Ok(value) => value,
            Err(error) => return response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let key = (kind.to_owned(), name.to_owned());
        let current = self.objects.borrow().get(&key).map(|s| s.current.revision);
        if !holds(request, current) {
            self.control.count("conflicts", 1);
            let conflict = response(
                StatusCode::PRECONDITION_FAILED,
                "the condition doesn't hold",
            );
            return match current {
                Some(revision) => tagged(conflict, revision),
                None => conflict,
            };
        }
        let revision = self.store(key, value);
        if self.control.change(lose_answer) {
            self.control.count("lost_answers", 1);
            return cut();
        }
        tagged(response(StatusCode::OK, ""), revision)
    }

    fn store(&self, key: (String, String), value: Box<RawValue>) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut objects = self.objects.borrow_mut();
        let current = Object {
            name: key.1.clone(),
            revision,
            value,
        };
        let previous = objects.remove(&key).map(|stored| stored.current);
        objects.insert(key, Stored { current, previous });
        for watcher in self.watchers.take() {
            // A watcher whose caller is gone needs no notice.
            let _ = watcher.send(());
        }
        revision
    }

    async fn watch(&self, kind: &str, request: &Request<Bytes>) -> Response<Body> {
        self.control.count("watch", 1);
        let query = request.uri().query().unwrap_or_default();
        let (Some(after), Some(wait)) = (number(query, "after"), number(query, "wait_ms")) else {
            return response(StatusCode::BAD_REQUEST, "watch needs `after` and `wait_ms`");
        };
        let end = Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
        loop {
            let (sender, receiver) = oneshot::channel();
            self.watchers.borrow_mut().push(sender);
            let changed = self.changed(kind, after);
            if !changed.objects.is_empty() {
                return json(StatusCode::OK, &changed);
            }
            match compio::time::timeout_at(end, receiver).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return cut(),
                Err(_) => return json(StatusCode::OK, &self.changed(kind, after)),
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

/// Tells whether the conditions of a write hold against the current revision.
fn holds(request: &Request<Bytes>, current: Option<u64>) -> bool {
    let headers = request.headers();
    let matches = headers.get(header::IF_MATCH).is_none_or(|tag| {
        current.is_some_and(|revision| tag.as_bytes() == format!("\"{revision}\"").as_bytes())
    });
    let absent = headers.get(header::IF_NONE_MATCH).is_none() || current.is_none();
    matches && absent
}

fn tagged(mut response: Response<Body>, revision: u64) -> Response<Body> {
    let tag = header::HeaderValue::try_from(format!("\"{revision}\"")).expect("a quoted number");
    response.headers_mut().insert(header::ETAG, tag);
    response
}

fn number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Decodes a percent-encoded path segment.
fn decode(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let (hex, tail) = rest.split_at_checked(2)?;
        bytes.push(u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?);
        rest = tail;
    }
    String::from_utf8(bytes).ok()
}

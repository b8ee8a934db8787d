//! Stand-in for a plain service, which counts runs by idempotency key.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use node::http::{Body, Method, Request, Response, StatusCode, abort, json, response};
use node::settings::{Fields, Settings};
use serde::{Deserialize, Serialize};
use wire::header;

use crate::control::Control;
use crate::journal::Journal;
use crate::server::{self, Standin};
use crate::slots::Slots;

/// Settings of the stand-in for a plain service.
pub struct PlainSettings {
    listen: SocketAddr,
    slots: u32,
    service_ms: u64,
    journal: Option<PathBuf>,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Switches {
    /// Whether every request other than `GET /runs` is rejected with 503 without running.
    down: bool,
    /// Duration of a run, in milliseconds.
    service_ms: u64,
    /// Remaining number of requests that run but whose response is dropped.
    cut_answers: u32,
}

struct Plain {
    control: Control<Switches>,
    slots: Rc<Slots>,
    /// Number of runs by key; kept across restarts, because it represents persistent effects such as bookings.
    runs: RefCell<BTreeMap<String, u64>>,
    journal: Journal,
}

impl Settings for PlainSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let listen = fields.required("listen", "an IP address and port");
        let slots = fields.number("slots", 1..=10_000, Some(8));
        let service_ms = fields.number("service_ms", 0..=600_000, Some(5));
        let journal = fields.optional("journal", "the path of a file, or null", None);
        Some(Self {
            listen: listen?,
            slots: slots?,
            service_ms: service_ms?,
            journal: journal?,
        })
    }
}

/// Runs the stand-in for a plain service.
pub async fn run(settings: PlainSettings) -> io::Result<()> {
    let switches = Switches {
        down: false,
        service_ms: settings.service_ms,
        cut_answers: 0,
    };
    let plain = Plain {
        control: Control::new("plain", switches),
        slots: Slots::new(settings.slots),
        runs: RefCell::default(),
        journal: Journal::open(settings.journal.as_deref())?,
    };
    server::run(settings.listen, plain).await
}

impl Standin for Plain {
    type Switches = Switches;

    fn control(&self) -> &Control<Switches> {
        &self.control
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let is_read = request.method() == Method::GET;
        if is_read && request.uri().path() == "/runs" {
            return json(StatusCode::OK, &*self.runs.borrow());
        }
        if self.control.switches().down {
            return response(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
        }
        let _slot = self.slots.acquire().await;
        self.control
            .count(if is_read { "reads" } else { "runs" }, 1);
        let run_count = if is_read {
            0
        } else {
            self.record_run(&request)
        };
        let duration = Duration::from_millis(self.control.switches().service_ms);
        compio::time::sleep(duration).await;
        if self.control.update(consume_cut_answer) {
            return abort();
        }
        let body = serde_json::json!({
            "path": request.uri().path(),
            "run": run_count,
            "echo": String::from_utf8_lossy(request.body()),
        });
        json(StatusCode::OK, &body)
    }

    fn reset(&self) {}
}

impl Plain {
    /// Counts a run and returns the count for its key. Called at the start, so that runs whose response is dropped
    /// count too.
    fn record_run(&self, request: &Request<Bytes>) -> u64 {
        let key = request.headers().get(header::IDEMPOTENCY_KEY);
        let key = key.map_or_else(String::new, |key| {
            String::from_utf8_lossy(key.as_bytes()).into_owned()
        });
        self.journal.append(&key);
        let mut runs = self.runs.borrow_mut();
        let count = runs.entry(key).or_default();
        *count += 1;
        *count
    }
}

/// Decrements `cut_answers` unless it is 0, and returns whether it did.
fn consume_cut_answer(switches: &mut Switches) -> bool {
    let cut = switches.cut_answers > 0;
    switches.cut_answers -= u32::from(cut);
    cut
}

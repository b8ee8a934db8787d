//! Stand-in for a model engine: staging and activation of weights, status, and chat completions.

mod completion;
mod staging;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use node::http::{Body, Method, Request, Response, StatusCode, json, response};
use node::settings::{Fields, Settings};
use serde::{Deserialize, Serialize};
use weights::Digest;
use wire::header::FENCING_NUMBER;

use self::staging::Staging;
use crate::control::Control;
use crate::journal::Journal;
use crate::server::{self, Standin};
use crate::slots::Slots;

/// Settings of the stand-in for an engine.
pub struct EngineSettings {
    listen: SocketAddr,
    check_fencing: bool,
    slots: u32,
    first_token_ms: u64,
    token_ms: u64,
    weights: Option<Digest>,
    journal: Option<PathBuf>,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Switches {
    /// Delay before the first token, in milliseconds.
    first_token_ms: u64,
    /// Delay between tokens, in milliseconds.
    token_ms: u64,
    /// Delay of every request other than completions, in milliseconds.
    slow_ms: u64,
    /// Whether the engine uses and reports weights other than those activated.
    wrong_weights: bool,
    /// Remaining number of responses that are cut after half of their tokens.
    cut_answers: u32,
}

struct Engine {
    control: Control<Switches>,
    check_fencing: bool,
    /// Highest fencing number of a successful activation; kept across restarts, like the engine's configuration.
    highest_fencing_number: Cell<u64>,
    incarnation: Cell<u64>,
    active: Cell<Option<Digest>>,
    staging: RefCell<Staging>,
    slots: Rc<Slots>,
    journal: Journal,
}

/// Response body of `GET /status`.
#[derive(Serialize)]
struct Status {
    incarnation: u64,
    weights: Option<Digest>,
    running: u32,
    waiting: usize,
    fencing_number: u64,
}

#[derive(Deserialize)]
struct Activate {
    digest: Digest,
}

impl Settings for EngineSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let listen = fields.required("listen", "an IP address and port");
        let check_fencing = fields.optional("check_fencing", "true or false", true);
        let slots = fields.number("slots", 1..=10_000, Some(8));
        let first_token_ms = fields.number("first_token_ms", 0..=600_000, Some(20));
        let token_ms = fields.number("token_ms", 0..=600_000, Some(5));
        let allowed = "a digest of 64 hexadecimal digits, or null";
        let weights = fields.optional("weights", allowed, None);
        let journal = fields.optional("journal", "the path of a file, or null", None);
        Some(Self {
            listen: listen?,
            check_fencing: check_fencing?,
            slots: slots?,
            first_token_ms: first_token_ms?,
            token_ms: token_ms?,
            weights: weights?,
            journal: journal?,
        })
    }
}

/// Runs the stand-in for an engine.
pub async fn run(settings: EngineSettings) -> io::Result<()> {
    let switches = Switches {
        first_token_ms: settings.first_token_ms,
        token_ms: settings.token_ms,
        slow_ms: 0,
        wrong_weights: false,
        cut_answers: 0,
    };
    let engine = Engine {
        control: Control::new("engine", switches),
        check_fencing: settings.check_fencing,
        highest_fencing_number: Cell::new(0),
        incarnation: Cell::new(unix_time_ms()),
        active: Cell::new(settings.weights),
        staging: RefCell::default(),
        slots: Slots::new(settings.slots),
        journal: Journal::open(settings.journal.as_deref())?,
    };
    server::run(settings.listen, engine).await
}

impl Standin for Engine {
    type Switches = Switches;

    fn control(&self) -> &Control<Switches> {
        &self.control
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let path: Vec<_> = request.uri().path()[1..].split('/').collect();
        if request.method() == Method::POST && path == ["v1", "chat", "completions"] {
            return self.complete(&request).await;
        }
        let delay_ms = self.control.switches().slow_ms;
        compio::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
        match (request.method(), &path[..]) {
            (&Method::GET, ["status"]) => json(StatusCode::OK, &self.status()),
            (&Method::POST, ["orders", "activate"]) => self.activate(&request),
            (&Method::PUT, ["weights", digest, "manifest"]) => {
                self.control.count("manifests", 1);
                self.staging
                    .borrow_mut()
                    .put_manifest(digest, request.body())
            }
            (&Method::PUT, ["weights", digest, "chunks", index]) => {
                self.control.count("chunks", 1);
                let length = request.body().len() as u64;
                self.control.count("chunk_bytes", length);
                self.staging
                    .borrow_mut()
                    .put_chunk(digest, index, request.body())
            }
            _ => response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn reset(&self) {
        self.incarnation
            .set(unix_time_ms().max(self.incarnation.get() + 1));
        self.active.set(None);
        self.staging.take();
    }
}

impl Engine {
    fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation.get(),
            weights: self.weights(),
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            fencing_number: self.highest_fencing_number.get(),
        }
    }

    /// Returns the digest of the weights that generate completions.
    fn weights(&self) -> Option<Digest> {
        let wrong = self.control.switches().wrong_weights;
        self.active.get().map(|active| match wrong {
            true => Digest::of(active.as_bytes()),
            false => active,
        })
    }

    fn activate(&self, request: &Request<Bytes>) -> Response<Body> {
        let number = request.headers().get(FENCING_NUMBER);
        let number: u64 = number
            .and_then(|number| number.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        if number < self.highest_fencing_number.get() {
            self.control.count("old_orders", 1);
            if self.check_fencing {
                let text = format!(
                    "the fencing number {number} is below {}",
                    self.highest_fencing_number.get()
                );
                return response(StatusCode::CONFLICT, text);
            }
        }
        let order: Activate = match serde_json::from_slice(request.body()) {
            Ok(order) => order,
            Err(error) => return response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let Some(received) = self.staging.borrow().received_digest(order.digest) else {
            return response(StatusCode::CONFLICT, "chunks or manifest are missing");
        };
        self.highest_fencing_number
            .set(number.max(self.highest_fencing_number.get()));
        self.control.count("activations", 1);
        if self.slots.running() > 0 {
            self.control.count("activations_while_running", 1);
        }
        self.active.set(Some(received));
        json(StatusCode::OK, &self.status())
    }
}

/// Returns the Unix time in milliseconds, which identifies the incarnation of a process that starts now.
fn unix_time_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

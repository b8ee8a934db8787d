//! Run-time control of a stand-in: fault switches, counters and restarts.

use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use node::event;
use node::http::{Body, Method, Request, Response, StatusCode, json, response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Switches of type `S`, counters by name, and the channel for restart requests.
pub struct Control<S> {
    role: &'static str,
    switches: RefCell<S>,
    counters: RefCell<BTreeMap<&'static str, u64>>,
    restart_sender: Cell<Option<oneshot::Sender<Duration>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RestartRequest {
    down_ms: u64,
}

impl<S: Serialize + DeserializeOwned> Control<S> {
    /// Creates the control of a stand-in for the kind of system `role`, with initial `switches`.
    pub fn new(role: &'static str, switches: S) -> Self {
        Self {
            role,
            switches: RefCell::new(switches),
            counters: RefCell::default(),
            restart_sender: Cell::default(),
        }
    }

    /// Returns the kind of system that the stand-in replaces.
    pub fn role(&self) -> &'static str {
        self.role
    }

    /// Borrows the switches; don't hold the borrow across an await.
    pub fn switches(&self) -> Ref<'_, S> {
        self.switches.borrow()
    }

    /// Updates the switches, for example to decrement a number of remaining faults.
    pub fn update<T>(&self, update: impl FnOnce(&mut S) -> T) -> T {
        update(&mut self.switches.borrow_mut())
    }

    /// Adds `increment` to the counter `name`.
    pub fn count(&self, name: &'static str, increment: u64) {
        *self.counters.borrow_mut().entry(name).or_default() += increment;
    }

    /// Returns a receiver that resolves to the downtime when a restart is requested.
    pub fn restart_requested(&self) -> oneshot::Receiver<Duration> {
        let (sender, receiver) = oneshot::channel();
        self.restart_sender.set(Some(sender));
        receiver
    }

    /// Handles requests whose path starts with `/control`, and returns `None` for others.
    pub fn handle(&self, request: &Request<Bytes>) -> Option<Response<Body>> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/control") => Some(self.state()),
            (&Method::PUT, "/control") => Some(self.set_switches(request.body())),
            (&Method::POST, "/control/restart") => Some(self.request_restart(request.body())),
            _ if path.starts_with("/control") => Some(response(StatusCode::NOT_FOUND, "")),
            _ => None,
        }
    }

    fn state(&self) -> Response<Body> {
        let state = serde_json::json!({
            "switches": &*self.switches.borrow(),
            "counts": &*self.counters.borrow(),
        });
        json(StatusCode::OK, &state)
    }

    fn set_switches(&self, body: &[u8]) -> Response<Body> {
        match self.merge_switches(body) {
            Ok(switches) => {
                self.switches.replace(switches);
                let text = String::from_utf8_lossy(body);
                node::event!(event::STANDIN_SWITCHED, role = self.role, switches = text);
                self.state()
            }
            Err(error) => response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Returns the current switches with the changes of a JSON object applied.
    fn merge_switches(&self, body: &[u8]) -> serde_json::Result<S> {
        let changes: Map<String, Value> = serde_json::from_slice(body)?;
        let mut switches = serde_json::to_value(&*self.switches.borrow())?;
        for (name, value) in changes {
            switches[name] = value;
        }
        serde_json::from_value(switches)
    }

    fn request_restart(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<RestartRequest>(body) {
            Ok(request) => {
                if let Some(sender) = self.restart_sender.take() {
                    // The receiver is dropped only when the stand-in is already stopping.
                    let _ = sender.send(Duration::from_millis(request.down_ms));
                }
                node::http::abort()
            }
            Err(error) => response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

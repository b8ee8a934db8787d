//! Switches and counts of a stand-in.

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

/// Switches `S`, counts by name, and the restart order of a stand-in.
pub struct Control<S> {
    role: &'static str,
    switches: RefCell<S>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    restart: Cell<Option<oneshot::Sender<Duration>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Restart {
    down_ms: u64,
}

impl<S: Serialize + DeserializeOwned> Control<S> {
    /// Returns the control of a stand-in that starts with `switches`.
    pub fn new(role: &'static str, switches: S) -> Self {
        Self {
            role,
            switches: RefCell::new(switches),
            counts: RefCell::default(),
            restart: Cell::default(),
        }
    }

    /// Returns what the stand-in plays.
    pub fn role(&self) -> &'static str {
        self.role
    }

    /// Returns the switches.
    pub fn switches(&self) -> Ref<'_, S> {
        self.switches.borrow()
    }

    /// Changes the switches, for example to count down a number of faults.
    pub fn change<T>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        change(&mut self.switches.borrow_mut())
    }

    /// Adds `number` to the count `name`.
    pub fn count(&self, name: &'static str, number: u64) {
        *self.counts.borrow_mut().entry(name).or_default() += number;
    }

    /// Resolves with the downtime when a restart is ordered.
    pub fn restart(&self) -> oneshot::Receiver<Duration> {
        let (sender, receiver) = oneshot::channel();
        self.restart.set(Some(sender));
        receiver
    }

    /// Answers requests to `/control` and below, and returns `None` for others.
    pub fn answer(&self, request: &Request<Bytes>) -> Option<Response<Body>> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/control") => Some(self.show()),
            (&Method::PUT, "/control") => Some(self.switch(request.body())),
            (&Method::POST, "/control/restart") => Some(self.order_restart(request.body())),
            _ if path.starts_with("/control") => Some(response(StatusCode::NOT_FOUND, "")),
            _ => None,
        }
    }

    fn show(&self) -> Response<Body> {
        let shown = serde_json::json!({
            "switches": &*self.switches.borrow(),
            "counts": &*self.counts.borrow(),
        });
        json(StatusCode::OK, &shown)
    }

    fn switch(&self, body: &[u8]) -> Response<Body> {
        match self.merged(body) {
            Ok(switches) => {
                self.switches.replace(switches);
                let text = String::from_utf8_lossy(body);
                node::event!(event::STANDIN_SWITCHED, role = self.role, switches = text);
                self.show()
            }
            Err(error) => response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn merged(&self, body: &[u8]) -> serde_json::Result<S> {
        let changes: Map<String, Value> = serde_json::from_slice(body)?;
        let mut switches = serde_json::to_value(&*self.switches.borrow())?;
        for (name, value) in changes {
            switches[name] = value;
        }
        serde_json::from_value(switches)
    }

    fn order_restart(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Restart>(body) {
            Ok(order) => {
                if let Some(restart) = self.restart.take() {
                    // The receiver is gone only when the stand-in is already stopping.
                    let _ = restart.send(Duration::from_millis(order.down_ms));
                }
                node::http::abort()
            }
            Err(error) => response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

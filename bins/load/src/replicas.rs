//! How many targets serve a version, over time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use node::http::{Body, Client, Request};
use serde_json::Value;

use crate::deployment::{Deployment, Error, Member};

const POLL: Duration = Duration::from_millis(50);
const STATUS_DEADLINE: Duration = Duration::from_secs(2);
const MAX_STATUS: usize = 1 << 20;

/// Watches agents until they hold and then serve a version.
pub struct Replicas {
    start: Instant,
    held: Rc<RefCell<Vec<Duration>>>,
    times: Rc<RefCell<Vec<Duration>>>,
    expected: usize,
    _watchers: Vec<JoinHandle<()>>,
}

impl Replicas {
    /// Starts to watch `agents` for the manifest digest `digest` of a version of `chunks` chunks.
    pub fn watch<'a>(
        agents: impl IntoIterator<Item = &'a Member>,
        digest: &str,
        chunks: u64,
    ) -> Self {
        let start = Instant::now();
        let held = Rc::new(RefCell::new(Vec::new()));
        let times = Rc::new(RefCell::new(Vec::new()));
        let client = Client::new();
        let watchers: Vec<_> = agents
            .into_iter()
            .map(|agent| {
                let client = client.clone();
                let (held, times) = (Rc::clone(&held), Rc::clone(&times));
                let (operator, digest) = (agent.operator, format!("#{digest}"));
                spawn(async move {
                    let wants = |status: &Value| names(status, "wanted", &digest);
                    let serves =
                        |status: &Value| status["gate"] == "open" && names(status, "pin", &digest);
                    // Until the transfer starts, the count is that of the version before.
                    let fetches = |status: &Value| wants(status) && status["chunks"] != chunks;
                    let holds = |status: &Value| wants(status) && status["chunks"] == chunks;
                    until(&client, operator, |status| {
                        fetches(status) || serves(status)
                    })
                    .await;
                    until(&client, operator, |status| holds(status) || serves(status)).await;
                    held.borrow_mut().push(start.elapsed());
                    until(&client, operator, serves).await;
                    times.borrow_mut().push(start.elapsed());
                })
            })
            .collect();
        Self {
            start,
            held,
            times,
            expected: watchers.len(),
            _watchers: watchers,
        }
    }

    /// Returns the number of agents that serve the version.
    pub fn count(&self) -> usize {
        self.times.borrow().len()
    }

    /// Waits until all agents serve the version.
    ///
    /// # Errors
    ///
    /// Fails when not all do within `limit` of the start.
    pub async fn wait(&self, limit: Duration) -> Result<Duration, Error> {
        self.wait_for(self.expected, limit).await
    }

    /// Waits until `count` agents serve the version, and returns the time from the start.
    ///
    /// # Errors
    ///
    /// Fails when fewer do within `limit` of the start.
    pub async fn wait_for(&self, count: usize, limit: Duration) -> Result<Duration, Error> {
        while self.count() < count {
            if self.start.elapsed() > limit {
                return Err(Error::Late {
                    what: format!("{count} replicas (now {})", self.count()),
                    limit,
                });
            }
            compio::time::sleep(POLL).await;
        }
        Ok(self.time_of(count))
    }

    /// Returns the time at which the `count`-th agent held all chunks, from the start.
    ///
    /// # Panics
    ///
    /// Panics when fewer agents hold them.
    pub fn held_time_of(&self, count: usize) -> Duration {
        self.held.borrow()[count.max(1) - 1]
    }

    /// Returns the time at which the `count`-th agent served the version, from the start.
    ///
    /// # Panics
    ///
    /// Panics when fewer agents serve it.
    pub fn time_of(&self, count: usize) -> Duration {
        self.times.borrow()[count.max(1) - 1]
    }
}

/// Asks for `/status` until it meets `condition`.
async fn until(client: &Client, operator: SocketAddr, condition: impl Fn(&Value) -> bool) {
    loop {
        if status(client, operator)
            .await
            .is_some_and(|status| condition(&status))
        {
            return;
        }
        compio::time::sleep(POLL).await;
    }
}

fn names(status: &Value, field: &str, digest: &str) -> bool {
    status[field]
        .as_str()
        .is_some_and(|pin| pin.ends_with(digest))
}

pub(crate) async fn status(client: &Client, operator: SocketAddr) -> Option<Value> {
    let request = Request::get("/status").body(Body::empty()).ok()?;
    let deadline = Instant::now() + STATUS_DEADLINE;
    let response = client.send(operator, request, deadline).await.ok()?;
    let bytes = response.into_body().bytes(MAX_STATUS).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

impl Deployment {
    /// Returns the agents beside engines.
    pub fn engine_agents(&self) -> &[Member] {
        &self.agents[..self.engines.len()]
    }
}

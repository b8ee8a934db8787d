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

/// Time between two points of the progress.
const STEP: Duration = Duration::from_millis(250);

/// Watches agents until they hold and then serve a version.
pub struct Replicas {
    start: Instant,
    agents: Rc<RefCell<Vec<Agent>>>,
    chunks: u64,
    _watchers: Vec<JoinHandle<()>>,
}

/// What was seen of one agent.
#[derive(Clone, Debug, Default)]
struct Agent {
    operator: Option<SocketAddr>,
    chunks: u64,
    held: Option<Duration>,
    served: Option<Duration>,
    lost: bool,
}

impl Replicas {
    /// Starts to watch `agents` for the manifest digest `digest` of a version of `chunks` chunks.
    pub fn watch<'a>(
        agents: impl IntoIterator<Item = &'a Member>,
        digest: &str,
        chunks: u64,
    ) -> Self {
        let start = Instant::now();
        let operators: Vec<SocketAddr> = agents.into_iter().map(|agent| agent.operator).collect();
        let seen = |operator: &SocketAddr| Agent {
            operator: Some(*operator),
            ..Agent::default()
        };
        let agents = Rc::new(RefCell::new(operators.iter().map(seen).collect()));
        let client = Client::new();
        let watch = |(index, operator)| {
            let watcher = Watcher {
                index,
                operator,
                digest: format!("#{digest}"),
                chunks,
                client: client.clone(),
                agents: Rc::clone(&agents),
            };
            spawn(watcher.run(start))
        };
        let watchers = operators.into_iter().enumerate().map(watch).collect();
        Self {
            start,
            agents,
            chunks,
            _watchers: watchers,
        }
    }

    /// Counts the agent with this operator port no longer, because it was lost.
    pub fn lose(&self, operator: SocketAddr) {
        for agent in self.agents.borrow_mut().iter_mut() {
            agent.lost |= agent.operator == Some(operator);
        }
    }

    /// Returns the number of agents that weren't lost.
    pub fn expected(&self) -> usize {
        let agents = self.agents.borrow();
        agents.iter().filter(|agent| !agent.lost).count()
    }

    /// Returns the number of agents that serve the version.
    pub fn count(&self) -> usize {
        self.times(|agent| agent.served).len()
    }

    /// Returns the share of all chunks that the agents hold.
    pub fn share(&self) -> f64 {
        let agents = self.agents.borrow();
        let left = agents.iter().filter(|agent| !agent.lost);
        let held: u64 = left.clone().map(|agent| agent.chunks).sum();
        held as f64 / (left.count() as u64 * self.chunks).max(1) as f64
    }

    /// Records the share of chunks held, at regular times, until all agents hold the version.
    pub async fn progress(&self) -> Vec<f64> {
        let mut progress = Vec::new();
        while self.times(|agent| agent.held).len() < self.expected() {
            progress.push((self.share() * 1000.0).round() / 1000.0);
            compio::time::sleep_until(self.start + STEP * progress.len() as u32).await;
        }
        progress
    }

    /// Waits until all agents serve the version.
    ///
    /// # Errors
    ///
    /// Fails when not all do within `limit` of the start.
    pub async fn wait(&self, limit: Duration) -> Result<Duration, Error> {
        self.wait_for(self.expected(), limit).await
    }

    /// Waits until `count` agents serve the version, and returns the time from the start.
    ///
    /// # Errors
    ///
    /// Fails when fewer do within `limit` of the start.
    pub async fn wait_for(&self, count: usize, limit: Duration) -> Result<Duration, Error> {
        while self.count() < count.min(self.expected()) {
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
        self.times(|agent| agent.held)[count.max(1) - 1]
    }

    /// Returns the time at which the `count`-th agent served the version, from the start.
    ///
    /// # Panics
    ///
    /// Panics when fewer agents serve it.
    pub fn time_of(&self, count: usize) -> Duration {
        self.times(|agent| agent.served)[count.max(1) - 1]
    }

    /// Returns the times of the agents that weren't lost, sorted.
    fn times(&self, time: impl Fn(&Agent) -> Option<Duration>) -> Vec<Duration> {
        let agents = self.agents.borrow();
        let left = agents.iter().filter(|agent| !agent.lost);
        let mut times: Vec<Duration> = left.filter_map(time).collect();
        times.sort_unstable();
        times
    }
}

/// Asks one agent for its state.
struct Watcher {
    index: usize,
    operator: SocketAddr,
    digest: String,
    chunks: u64,
    client: Client,
    agents: Rc<RefCell<Vec<Agent>>>,
}

impl Watcher {
    async fn run(self, start: Instant) {
        let wants = |status: &Value| names(status, "wanted", &self.digest);
        let serves =
            |status: &Value| status["gate"] == "open" && names(status, "pin", &self.digest);
        // Until the transfer starts, the count is that of the version before.
        let fetches = |status: &Value| wants(status) && status["chunks"] != self.chunks;
        let holds = |status: &Value| {
            let held = status["chunks"].as_u64().unwrap_or(0);
            self.set(|agent| agent.chunks = held);
            wants(status) && held == self.chunks
        };
        self.until(|status| fetches(status) || serves(status)).await;
        self.until(|status| holds(status) || serves(status)).await;
        self.set(|agent| {
            agent.chunks = self.chunks;
            agent.held = Some(start.elapsed());
        });
        self.until(serves).await;
        self.set(|agent| agent.served = Some(start.elapsed()));
    }

    async fn until(&self, condition: impl Fn(&Value) -> bool) {
        until(&self.client, self.operator, condition).await;
    }

    fn set(&self, change: impl FnOnce(&mut Agent)) {
        change(&mut self.agents.borrow_mut()[self.index]);
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
    let bytes = response.into_body().collect(MAX_STATUS).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

impl Deployment {
    /// Returns the agents beside engines.
    pub fn engine_agents(&self) -> &[Member] {
        &self.agents[..self.engines.len()]
    }
}

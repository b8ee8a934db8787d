//! Status of entry VMs and the revisions in force there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Revision;
use futures::future::join_all;
use hyper::{Method, Request};
use node::http::{Body, Client};
use serde::Deserialize;

use crate::targets::Service;

/// Timeout of a status request to one entry VM.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between status requests while waiting; a change takes about 1.5 s to reach all entry VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of a status response.
const MAX_STATUS_BYTES: usize = 16 << 20;

/// Appended to errors for responses that don't come from an entry VM.
const WRONG_PORT_HINT: &str =
    "name the operator port of an entry VM (`operator_listen` in its settings)";

/// Revisions by kind and name.
pub type Revisions = BTreeMap<String, Revision>;

/// Entry VMs with and without the wanted revisions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Entry VMs at which all wanted revisions are in force.
    pub in_force: Vec<SocketAddr>,
    /// The other entry VMs, each with its absent or outdated entries or the error of its status request.
    pub pending: BTreeMap<SocketAddr, String>,
}

/// The part of an entry VM's status that this tool reads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Status {
    /// Name of the entry VM.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the process is draining before it stops.
    pub draining: bool,
    /// Revisions in force.
    pub catalogue: Revisions,
    /// Number of entry VMs that it considers live, itself included.
    pub live_entries: u32,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

/// Status or error of each entry VM.
pub type Statuses = BTreeMap<SocketAddr, Result<Status, String>>;

/// Returns the status of the entry VM with operator port `entry`.
///
/// # Errors
///
/// Returns the request and why it failed.
pub async fn fetch(client: &Client, entry: SocketAddr) -> Result<Status, String> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/status")
        .body(Body::empty());
    let request = request.map_err(|error| error.to_string())?;
    let deadline = Instant::now() + STATUS_TIMEOUT;
    let response = client.send(entry, request, deadline).await;
    let response = response.map_err(|error| format!("GET /status: {error}"))?;
    let code = response.status();
    if !code.is_success() {
        return Err(format!(
            "GET /status was answered with {code}; {WRONG_PORT_HINT}"
        ));
    }
    let body = response
        .into_body()
        .collect(MAX_STATUS_BYTES)
        .await
        .map_err(|error| format!("GET /status: {error}"))?;
    serde_json::from_slice(&body).map_err(|error| {
        format!("the answer to GET /status is not an entry's ({error}); {WRONG_PORT_HINT}")
    })
}

/// Requests the status of all `entries` concurrently.
pub async fn fetch_all(client: &Client, entries: &[SocketAddr]) -> Statuses {
    let requests = entries
        .iter()
        .map(|entry| async move { (*entry, fetch(client, *entry).await) });
    join_all(requests).await.into_iter().collect()
}

/// Returns the highest revision of each catalogue entry among the statuses.
pub fn latest_revisions(statuses: &Statuses) -> Revisions {
    let mut latest = Revisions::new();
    for status in statuses.values().flatten() {
        for (key, revision) in &status.catalogue {
            let highest = latest.entry(key.clone()).or_default();
            *highest = (*highest).max(*revision);
        }
    }
    latest
}

/// Compares the revisions in force at each entry VM with `wanted`; a newer revision than the wanted one counts too.
pub fn compare(statuses: &Statuses, wanted: &Revisions) -> Progress {
    let mut progress = Progress::default();
    for (entry, status) in statuses {
        let reason = match status {
            Ok(status) => outdated(&status.catalogue, wanted),
            Err(error) => Some(error.clone()),
        };
        match reason {
            None => progress.in_force.push(*entry),
            Some(reason) => {
                progress.pending.insert(*entry, reason);
            }
        }
    }
    progress
}

/// Polls `entries` until `wanted` is in force at all of them or `deadline` passes.
///
/// Calls `on_change` with the first progress and whenever it changes.
pub async fn wait(
    entries: &[SocketAddr],
    wanted: &Revisions,
    deadline: Instant,
    mut on_change: impl FnMut(&Progress),
) -> Progress {
    let client = Client::new();
    let mut previous = None;
    loop {
        let progress = compare(&fetch_all(&client, entries).await, wanted);
        if previous.as_ref() != Some(&progress) {
            on_change(&progress);
        }
        if progress.pending.is_empty() || Instant::now() >= deadline {
            return progress;
        }
        previous = Some(progress);
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Lists the entries that are absent or older than `wanted`, or returns `None` if there are none.
fn outdated(current: &Revisions, wanted: &Revisions) -> Option<String> {
    let outdated: Vec<String> = wanted
        .iter()
        .filter_map(|(key, revision)| match current.get(key) {
            Some(current) if current >= revision => None,
            Some(current) => Some(format!("{key} is at {current}, not {revision}")),
            None => Some(format!("{key} is absent")),
        })
        .collect();
    (!outdated.is_empty()).then(|| outdated.join(", "))
}

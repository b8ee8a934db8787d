//! Where versions of entries are in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Revision;
use futures::future::join_all;
use hyper::{Method, Request};
use node::http::{Body, Client};
use serde::Deserialize;

use crate::targets::Service;

/// Time for one look at an entry VM.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time between looks while waiting; a change takes about 1.5 s to reach everyone.
const PAUSE: Duration = Duration::from_millis(200);

/// Largest status that is read, in bytes.
const STATUS_MAX: usize = 16 << 20;

/// What to do when something else than an entry answers.
const HINT: &str = "name the operator port of an entry VM (`operator_listen` in its settings)";

/// Revisions by kind and name.
pub type Revisions = BTreeMap<String, Revision>;

/// Where the waiting ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Entry VMs at which everything is in force.
    pub done: Vec<SocketAddr>,
    /// The others, and what they lack or why they can't tell.
    pub missing: BTreeMap<SocketAddr, String>,
}

/// The part of an entry's status that is read here.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Status {
    /// Name of the entry VM.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the entry was asked to stop.
    pub draining: bool,
    /// Revisions in force.
    pub catalogue: Revisions,
    /// Number of entries that it takes for live, itself included.
    pub live_entries: u32,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

/// What the entry VMs asked answered, or why there is no answer.
pub type Answers = BTreeMap<SocketAddr, Result<Status, String>>;

/// Returns the status of the entry VM with operator port `entry`.
///
/// # Errors
///
/// Returns what was asked and why there is no status.
pub async fn status(client: &Client, entry: SocketAddr) -> Result<Status, String> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/status")
        .body(Body::empty());
    let request = request.map_err(|error| error.to_string())?;
    let answer = client.send(entry, request, Instant::now() + TIMEOUT).await;
    let answer = answer.map_err(|error| format!("GET /status: {error}"))?;
    let code = answer.status();
    if !code.is_success() {
        return Err(format!("GET /status was answered with {code}; {HINT}"));
    }
    let body = answer
        .into_body()
        .collect(STATUS_MAX)
        .await
        .map_err(|error| format!("GET /status: {error}"))?;
    serde_json::from_slice(&body)
        .map_err(|error| format!("the answer to GET /status is not an entry's ({error}); {HINT}"))
}

/// Asks each entry VM for its status.
pub async fn ask(client: &Client, entries: &[SocketAddr]) -> Answers {
    let asked = entries
        .iter()
        .map(|entry| async move { (*entry, status(client, *entry).await) });
    join_all(asked).await.into_iter().collect()
}

/// Returns the highest revision of each catalogue entry among the answers.
pub fn latest(answers: &Answers) -> Revisions {
    let mut latest = Revisions::new();
    for status in answers.values().flatten() {
        for (key, revision) in &status.catalogue {
            let held = latest.entry(key.clone()).or_default();
            *held = (*held).max(*revision);
        }
    }
    latest
}

/// Compares the revisions in force at each entry VM with `wanted`.
pub fn compare(answers: &Answers, wanted: &Revisions) -> Progress {
    let mut progress = Progress::default();
    for (entry, answer) in answers {
        let lack = match answer {
            Ok(status) => lacking(&status.catalogue, wanted),
            Err(reason) => Some(reason.clone()),
        };
        match lack {
            None => progress.done.push(*entry),
            Some(lack) => {
                progress.missing.insert(*entry, lack);
            }
        }
    }
    progress
}

/// Waits until `wanted` is in force at all of `entries` or `deadline` passes; calls `show` when the progress changes.
pub async fn wait(
    entries: &[SocketAddr],
    wanted: &Revisions,
    deadline: Instant,
    mut show: impl FnMut(&Progress),
) -> Progress {
    let client = Client::new();
    let mut shown = None;
    loop {
        let progress = compare(&ask(&client, entries).await, wanted);
        if shown.as_ref() != Some(&progress) {
            show(&progress);
        }
        if progress.missing.is_empty() || Instant::now() >= deadline {
            return progress;
        }
        shown = Some(progress);
        compio::time::sleep(PAUSE).await;
    }
}

fn lacking(held: &Revisions, wanted: &Revisions) -> Option<String> {
    let lacks: Vec<String> = wanted
        .iter()
        .filter_map(|(key, revision)| match held.get(key) {
            Some(held) if held >= revision => None,
            Some(held) => Some(format!("{key} is at {held}, not {revision}")),
            None => Some(format!("{key} is absent")),
        })
        .collect();
    (!lacks.is_empty()).then(|| lacks.join(", "))
}

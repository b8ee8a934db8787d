//! Where versions of entries are in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Revision;
use futures::future::join_all;
use hyper::{Method, Request};
use node::http::{Body, Client};
use serde::Deserialize;

/// Time for one look at an entry VM.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time between looks while waiting; a change takes about 1.5 s to reach everyone.
const PAUSE: Duration = Duration::from_millis(200);

/// Largest status that is read, in bytes.
const STATUS_MAX: usize = 16 << 20;

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
#[derive(Deserialize)]
struct Status {
    catalogue: Revisions,
}

/// Returns the revisions in force at the entry VM with operator port `entry`.
///
/// # Errors
///
/// Returns why they can't be told.
pub async fn revisions(client: &Client, entry: SocketAddr) -> Result<Revisions, String> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/status")
        .body(Body::empty());
    let request = request.map_err(|error| error.to_string())?;
    let answer = client.send(entry, request, Instant::now() + TIMEOUT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let body = answer
        .into_body()
        .bytes(STATUS_MAX)
        .await
        .map_err(|error| error.to_string())?;
    let status: Status =
        serde_json::from_slice(&body).map_err(|error| format!("status not understood: {error}"))?;
    Ok(status.catalogue)
}

/// Compares the revisions in force at each entry VM with `wanted`.
pub async fn look(client: &Client, entries: &[SocketAddr], wanted: &Revisions) -> Progress {
    let looks = entries
        .iter()
        .map(|entry| async move { (*entry, revisions(client, *entry).await) });
    let mut progress = Progress::default();
    for (entry, result) in join_all(looks).await {
        let lack = match result {
            Ok(held) => lacking(&held, wanted),
            Err(reason) => Some(reason),
        };
        match lack {
            None => progress.done.push(entry),
            Some(lack) => {
                progress.missing.insert(entry, lack);
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
        let progress = look(&client, entries, wanted).await;
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

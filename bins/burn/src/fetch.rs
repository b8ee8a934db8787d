//! Reads objectives from the platform and samples from the entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use catalog::{Class, Entry, StoredEntry};
use futures::future::join_all;

use crate::metrics;
use crate::sample::{Observation, Reading, Sample};

/// Kind of the platform's objects that hold catalogue entries.
const KIND: &str = "catalog";
/// Longest time for one answer of the platform or an entry.
const CALL: Duration = Duration::from_secs(5);

/// Objectives that can't be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The platform gave no catalogue.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// An object of the catalogue is malformed.
    #[error("catalogue entry {name} at revision {revision} can't be read: {error}")]
    Malformed {
        /// Name of the object.
        name: String,
        /// Revision of the object.
        revision: u64,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// The client can't be made.
    #[error("no HTTP client: {0}")]
    Client(#[from] cyper::Error),
}

/// Returns the classes of the catalogue that are not retired.
///
/// # Errors
///
/// Fails when the platform doesn't answer or an object of the catalogue is malformed.
pub async fn classes(platform: SocketAddr) -> Result<Vec<Class>, Error> {
    let client = platform::Client::new(platform, CALL);
    let mut classes = Vec::new();
    for object in client.list(KIND).await?.objects {
        let stored: StoredEntry =
            serde_json::from_str(object.value.get()).map_err(|error| Error::Malformed {
                name: object.name,
                revision: object.revision,
                error,
            })?;
        match stored.entry {
            Entry::Class(class) if !class.retired => classes.push(class),
            _ => {}
        }
    }
    Ok(classes)
}

/// Samples the entries at once and then every `every` until `time` has passed, and passes each round to `keep`.
///
/// # Errors
///
/// Fails when the client can't be made or `keep` fails; an entry that doesn't answer gives a sample that says so.
pub async fn sample<E: From<Error>>(
    entries: &[SocketAddr],
    time: Duration,
    every: Duration,
    mut keep: impl FnMut(Vec<Sample>) -> Result<(), E>,
) -> Result<(), E> {
    // A proxy named in the environment would stand between the operator and the entries.
    let client = cyper::Client::builder().no_proxy().build();
    let client = client.map_err(Error::from)?;
    let started = Instant::now();
    let mut next = Duration::ZERO;
    loop {
        let round = entries.iter().map(|entry| read(&client, *entry));
        keep(join_all(round).await)?;
        next += every;
        if next > time {
            return Ok(());
        }
        compio::time::sleep(next.saturating_sub(started.elapsed())).await;
    }
}

/// Returns the time of the system's clock, in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

async fn read(client: &cyper::Client, entry: SocketAddr) -> Sample {
    let observation = match compio::time::timeout(CALL, reading(client, entry)).await {
        Ok(Ok(reading)) => Observation::Reading(reading),
        Ok(Err(error)) => Observation::Error(chain(&*error)),
        Err(_) => Observation::Error(format!("no answer within {} s", CALL.as_secs())),
    };
    Sample {
        time_ms: now_ms(),
        entry: entry.to_string(),
        observation,
    }
}

async fn reading(
    client: &cyper::Client,
    entry: SocketAddr,
) -> Result<Reading, Box<dyn std::error::Error>> {
    let answer = client
        .get(format!("http://{entry}/metrics"))?
        .send()
        .await?;
    if !answer.status().is_success() {
        return Err(format!("/metrics answers {}", answer.status()).into());
    }
    Ok(metrics::parse(&answer.text().await?)?)
}

/// Returns an error's text with those of its sources: a client's own says only that a call failed.
fn chain(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(Some(error), |error| error.source());
    let mut texts: Vec<String> = sources.map(ToString::to_string).collect();
    // Wrappers whose text already ends with that of their source would repeat it.
    texts.dedup_by(|source, wrapper| wrapper.ends_with(&**source));
    texts.join(": ")
}

//! Reads objectives from the platform and scrapes metrics from the entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use catalog::{Class, Entry, StoredEntry};
use futures::future::join_all;

use crate::metrics;
use crate::sample::{Observation, Reading, Sample};

/// Kind of the platform objects that store catalogue entries.
const CATALOG_KIND: &str = "catalog";
/// Timeout of one request to the platform or to an entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Errors while reading objectives or setting up sampling.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The catalogue could not be fetched from the platform.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// A catalogue object could not be deserialized.
    #[error("catalogue entry {name} at revision {revision} can't be read: {error}")]
    Malformed {
        /// Name of the object.
        name: String,
        /// Revision of the object.
        revision: u64,
        /// The deserialization error.
        error: serde_json::Error,
    },
    /// The HTTP client could not be created.
    #[error("no HTTP client: {0}")]
    Client(#[from] cyper::Error),
}

/// Returns the classes of the catalogue that are not retired.
///
/// # Errors
///
/// Returns an error if the platform doesn't answer or a catalogue object is malformed.
pub async fn classes(platform: SocketAddr) -> Result<Vec<Class>, Error> {
    let client = platform::Client::new(platform, REQUEST_TIMEOUT);
    let mut classes = Vec::new();
    for object in client.list(CATALOG_KIND).await?.objects {
        let stored: StoredEntry =
            serde_json::from_str(object.value.get()).map_err(|error| Error::Malformed {
                name: object.name,
                revision: object.revision.ordinal(),
                error,
            })?;
        match stored.entry {
            Entry::Class(class) if !class.retired => classes.push(class),
            _ => {}
        }
    }
    Ok(classes)
}

/// Samples all entries immediately and then every `interval` until `duration` has passed, and passes each round to
/// `on_round`.
///
/// # Errors
///
/// Returns an error if the client can't be created or `on_round` fails. A failed request to an entry is not an error:
/// it is recorded as [`Observation::Error`].
pub async fn sample<E: From<Error>>(
    entries: &[SocketAddr],
    duration: Duration,
    interval: Duration,
    mut on_round: impl FnMut(Vec<Sample>) -> Result<(), E>,
) -> Result<(), E> {
    // Ignores proxy settings of the environment, which would route requests to the entries through a proxy.
    let client = cyper::Client::builder().no_proxy().build();
    let client = client.map_err(Error::from)?;
    let started = Instant::now();
    let mut next = Duration::ZERO;
    loop {
        let round = entries.iter().map(|entry| sample_entry(&client, *entry));
        on_round(join_all(round).await)?;
        next += interval;
        if next > duration {
            return Ok(());
        }
        compio::time::sleep(next.saturating_sub(started.elapsed())).await;
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

async fn sample_entry(client: &cyper::Client, entry: SocketAddr) -> Sample {
    let observation = match compio::time::timeout(REQUEST_TIMEOUT, fetch_reading(client, entry))
        .await
    {
        Ok(Ok(reading)) => Observation::Reading(reading),
        Ok(Err(error)) => Observation::Error(error_chain(&*error)),
        Err(_) => Observation::Error(format!("no answer within {} s", REQUEST_TIMEOUT.as_secs())),
    };
    Sample {
        time_ms: now_ms(),
        entry: entry.to_string(),
        observation,
    }
}

async fn fetch_reading(
    client: &cyper::Client,
    entry: SocketAddr,
) -> Result<Reading, Box<dyn std::error::Error>> {
    let response = client
        .get(format!("http://{entry}/metrics"))?
        .send()
        .await?;
    if !response.status().is_success() {
        return Err(format!("/metrics answers {}", response.status()).into());
    }
    Ok(metrics::parse(&response.text().await?)?)
}

/// Joins the messages of an error and its sources. The HTTP client's own message says only that a request failed.
fn error_chain(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(Some(error), |error| error.source());
    let mut texts: Vec<String> = sources.map(ToString::to_string).collect();
    // Drops a source whose message its wrapper already ends with.
    texts.dedup_by(|source, wrapper| wrapper.ends_with(&**source));
    texts.join(": ")
}

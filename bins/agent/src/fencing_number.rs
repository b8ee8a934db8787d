//! Acquires the agent's fencing number from the platform at start.
//!
//! While the platform is unavailable, orders carry a provisional number: one more than the highest number that the
//! engine has accepted. It is higher than the number of every earlier agent, and no other agent can send orders in the
//! meantime, because this process holds the order port. A number from the platform must be higher than the engine's
//! highest too; otherwise the object is written again. The number holds the era of the platform's store in its high
//! bits, so a store that comes back from an older copy gives none out again.

use std::rc::Rc;
use std::time::Duration;

use gate::{Backend, Event};
use node::event;
use platform::{Client, Condition, Error, Put};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Shared, engine};

/// Kind of the platform objects whose revisions serve as fencing numbers.
const KIND: &str = "agents";

/// First and maximum delay between attempts. The delay doubles so that many agents don't overload a recovering
/// platform.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Content of `agents/{vm}`: the process that acquired the number.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Taken {
    domain: String,
    service: String,
    /// Unique to the process, so that it recognizes its own writes.
    token: String,
}

/// Writes `agents/{vm}` until the revision is higher than all numbers that the engine has accepted, then passes it to
/// the gate as the fencing number.
pub async fn acquire(shared: Rc<Shared>, platform: Client, http: node::http::Client) {
    let taken = Taken {
        domain: shared.settings.domain.clone(),
        service: shared.settings.service.clone(),
        token: Uuid::now_v7().to_string(),
    };
    let mut delay = RETRY_DELAYS.0;
    let mut provisional = None;
    loop {
        match write_object(&shared.settings.name, &taken, &platform).await {
            Ok(number) => {
                node::event!(event::NUMBERED, number = number);
                shared.fencing_number.set(Some(number));
                shared.changed.notify();
                if number > engine_highest(&shared, &http).await {
                    shared.handle(Event::Number(number));
                    return;
                }
                // An earlier agent used a provisional number; the next write has a higher revision.
            }
            Err(error) => {
                node::event!(
                    event::UNNUMBERED,
                    error = error,
                    wait_ms = delay.as_millis()
                );
                if provisional.is_none() {
                    provisional = use_provisional(&shared, &http).await;
                }
            }
        }
        compio::time::sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAYS.1);
    }
}

/// Waits for the engine's status and returns the highest number that the engine has accepted; 0 for a plain service.
async fn engine_highest(shared: &Shared, http: &node::http::Client) -> u64 {
    if shared.settings.backend == Backend::Plain {
        return 0;
    }
    loop {
        if let Some(number) = engine::highest_fencing_number(shared, http).await {
            return number;
        }
        compio::time::sleep(RETRY_DELAYS.0).await;
    }
}

/// Passes a provisional number to the gate and returns it, or returns `None` for a plain service or if the engine's
/// status is unavailable.
async fn use_provisional(shared: &Shared, http: &node::http::Client) -> Option<u64> {
    if shared.settings.backend == Backend::Plain {
        return None;
    }
    let number = engine::highest_fencing_number(shared, http)
        .await?
        .checked_add(1)?;
    node::event!(event::PROVISIONAL_NUMBER, number = number);
    shared.handle(Event::Number(number));
    shared.changed.notify();
    Some(number)
}

/// Writes the object once and returns the ordinal of its revision. If the outcome is unknown, reads the object to
/// determine it.
async fn write_object(name: &str, taken: &Taken, platform: &Client) -> Result<u64, Error> {
    match platform.put(KIND, name, taken, Condition::Any).await {
        Ok(Put::Accepted(revision)) => Ok(revision.ordinal()),
        Ok(Put::Conflict(_)) => Err(Error::Refused {
            call: format!("PUT {KIND}/{name}"),
            reason: "conflict response to an unconditional write".into(),
        }),
        Err(error @ Error::Unknown { .. }) => {
            let object = platform.get(KIND, name).await?;
            let own = object.filter(|object| {
                let held: Option<Taken> = serde_json::from_str(object.value.get()).ok();
                held.is_some_and(|held| held.token == taken.token)
            });
            own.map(|object| object.revision.ordinal()).ok_or(error)
        }
        Err(error) => Err(error),
    }
}

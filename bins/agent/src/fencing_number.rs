//! The fencing number, taken from the platform at start.
//!
//! While the platform gives none, orders carry a provisional number: one above the highest that the engine took. It is
//! above that of every earlier agent, and no other agent can give orders meanwhile, since this one holds the order port.
//! A number of the platform must be above the engine's highest too; else the object is written again.

use std::rc::Rc;
use std::time::Duration;

use gate::{Backend, Event};
use node::event;
use platform::{Client, Condition, Error, Put};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Shared, engine};

/// Kind of the objects whose revisions are fencing numbers.
const KIND: &str = "agents";

/// First and longest wait between two attempts; the wait doubles so that a fleet doesn't flood a platform that returns.
const WAITS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Content of `agents/{vm}`: who took the number.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Taken {
    domain: String,
    service: String,
    /// Distinguishes the writes of one process from all others.
    token: String,
}

/// Writes `agents/{vm}` until the platform gives a number that the engine has not seen, and passes it to the gate.
pub async fn acquire(shared: Rc<Shared>, platform: Client, http: node::http::Client) {
    let taken = Taken {
        domain: shared.settings.domain.clone(),
        service: shared.settings.service.clone(),
        token: Uuid::now_v7().to_string(),
    };
    let mut wait = WAITS.0;
    let mut provisional = None;
    loop {
        match attempt(&shared.settings.name, &taken, &platform).await {
            Ok(number) => {
                node::event!(event::NUMBERED, number = number);
                shared.number.set(Some(number));
                shared.changed.notify();
                if number > highest(&shared, &http).await {
                    shared.handle(Event::Number(number));
                    return;
                }
                // An agent with a provisional number was here; the next write has a higher revision.
            }
            Err(error) => {
                node::event!(event::UNNUMBERED, error = error, wait_ms = wait.as_millis());
                if provisional.is_none() {
                    provisional = take_provisional(&shared, &http).await;
                }
            }
        }
        compio::time::sleep(wait).await;
        wait = (wait * 2).min(WAITS.1);
    }
}

/// Waits for the engine's status and returns the highest number that it took; 0 for a plain service.
async fn highest(shared: &Shared, http: &node::http::Client) -> u64 {
    if shared.settings.backend == Backend::Plain {
        return 0;
    }
    loop {
        if let Some(number) = engine::highest_number(shared, http).await {
            return number;
        }
        compio::time::sleep(WAITS.0).await;
    }
}

/// Takes a number above the highest that the engine took; `None` while the engine gives no status.
async fn take_provisional(shared: &Shared, http: &node::http::Client) -> Option<u64> {
    if shared.settings.backend == Backend::Plain {
        return None;
    }
    let number = engine::highest_number(shared, http).await?.checked_add(1)?;
    node::event!(event::PROVISIONAL_NUMBER, number = number);
    shared.handle(Event::Number(number));
    shared.changed.notify();
    Some(number)
}

/// Writes the object once; a lost answer is resolved by reading the object back.
async fn attempt(name: &str, taken: &Taken, platform: &Client) -> Result<u64, Error> {
    match platform.put(KIND, name, taken, Condition::Any).await {
        Ok(Put::Accepted(revision)) => Ok(revision),
        Ok(Put::Conflict(_)) => Err(Error::Refused {
            call: format!("PUT {KIND}/{name}"),
            reason: "conflict for a write without condition".into(),
        }),
        Err(error @ Error::Unknown { .. }) => {
            let object = platform.get(KIND, name).await?;
            let mine = object.filter(|object| {
                let held: Option<Taken> = serde_json::from_str(object.value.get()).ok();
                held.is_some_and(|held| held.token == taken.token)
            });
            mine.map(|object| object.revision).ok_or(error)
        }
        Err(error) => Err(error),
    }
}

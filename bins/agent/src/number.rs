//! The fencing number, taken from the platform at start.

use std::rc::Rc;
use std::time::Duration;

use gate::Event;
use node::event;
use platform::{Client, Condition, Error, Put};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Shared;

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

/// Writes `agents/{vm}` until the platform gives a number, and passes it to the gate.
pub async fn take(shared: Rc<Shared>, platform: Client) {
    let taken = Taken {
        domain: shared.settings.domain.clone(),
        service: shared.settings.service.clone(),
        token: Uuid::now_v7().to_string(),
    };
    let mut wait = WAITS.0;
    loop {
        match attempt(&shared.settings.name, &taken, &platform).await {
            Ok(number) => {
                node::event!(event::NUMBERED, number = number);
                shared.number.set(Some(number));
                shared.handle(Event::Number(number));
                shared.changed.notify();
                return;
            }
            Err(error) => {
                node::event!(event::UNNUMBERED, error = error, wait_ms = wait.as_millis())
            }
        }
        compio::time::sleep(wait).await;
        wait = (wait * 2).min(WAITS.1);
    }
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

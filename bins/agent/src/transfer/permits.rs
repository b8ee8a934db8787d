//! Permits for draws, as objects of the platform.

use burst::Grant;
use burst::permit::{Decision, PermitObject};
use node::event;
use platform::{Client, Condition, Error, Object, Put};
use serde_json::Value;

/// Kind of the permit objects.
const KIND: &str = "draws";

/// Conflicts after which the agent asks again later: each of them means that another agent got a grant or wrote first.
const ATTEMPTS: usize = 6;

/// Asks for a grant on the object `name`; `read` tells to read it before the first write.
pub(super) async fn ask(platform: &Client, name: &str, holder: &str, read: bool) -> Grant {
    match attempt(platform, name, holder, read).await {
        Ok(grant) => grant,
        Err(error) => {
            node::event!(event::PERMIT_FAILED, object = name, error = error);
            Grant::Unavailable
        }
    }
}

async fn attempt(
    platform: &Client,
    name: &str,
    holder: &str,
    mut read: bool,
) -> Result<Grant, Failure> {
    for _ in 0..ATTEMPTS {
        let object = if read {
            platform.get(KIND, name).await?
        } else {
            None
        };
        let value: Option<Value> = match &object {
            Some(object) => Some(serde_json::from_str(object.value.get())?),
            None => None,
        };
        let value = match PermitObject::decide(value.as_ref(), holder)? {
            Decision::Granted => return Ok(Grant::Granted),
            Decision::Refused => return Ok(Grant::Refused),
            Decision::Write(value) => value,
        };
        match platform
            .put(KIND, name, &value, condition(object.as_ref()))
            .await
        {
            Ok(Put::Accepted(_)) => return Ok(Grant::Granted),
            Ok(Put::Conflict(_)) => read = true,
            Err(Error::Unknown { .. }) => return Ok(Grant::Lost),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Grant::Unavailable)
}

fn condition(object: Option<&Object>) -> Condition {
    object.map_or(Condition::Absent, |object| {
        Condition::Revision(object.revision)
    })
}

/// A permit that could be neither granted nor refused.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Platform(#[from] Error),
    #[error("the value is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Permit(#[from] burst::permit::Error),
}

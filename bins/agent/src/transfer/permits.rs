//! Draw permits, stored as objects on the platform.

use burst::Grant;
use burst::permit::{Decision, PermitObject};
use node::event;
use platform::{Client, Condition, Error, Object, Put};
use serde_json::Value;

/// Kind of the permit objects.
const KIND: &str = "draws";

/// Maximum number of write attempts per request. Each conflict means that another agent wrote first, usually for a
/// grant.
const MAX_ATTEMPTS: usize = 6;

/// Requests a grant for `holder` on the object `name`; `read_first` states whether to read it before the first write.
pub(super) async fn request(
    platform: &Client,
    name: &str,
    holder: &str,
    read_first: bool,
) -> Grant {
    match try_request(platform, name, holder, read_first).await {
        Ok(grant) => grant,
        Err(error) => {
            node::event!(event::PERMIT_FAILED, object = name, error = error);
            Grant::Unavailable
        }
    }
}

async fn try_request(
    platform: &Client,
    name: &str,
    holder: &str,
    mut read: bool,
) -> Result<Grant, Failure> {
    for _ in 0..MAX_ATTEMPTS {
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

/// Error of a request for a permit that was neither granted nor refused.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Platform(#[from] Error),
    #[error("invalid permit object: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Permit(#[from] burst::permit::Error),
}

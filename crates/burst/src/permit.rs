//! Permits to draw chunks from the origin.
//!
//! The object `draws/{digest}.{stripe}` lists the holders of the grants for one stripe, at most [`MAX_GRANTS`]. It is
//! only changed by conditional updates, so a delayed write either takes effect, and later readers find its holder
//! listed, or it fails. A lost answer is therefore resolved by reading the object and deciding again.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of grants per stripe; the origin's link carries about four copies during a burst.
pub const MAX_GRANTS: usize = 4;

/// Content of a permit object: the holders of its grants, in order of their writes.
///
/// A holder name consists of the agent, its incarnation and the number of its attempt, so that a restarted agent
/// doesn't reuse a grant of its previous incarnation.
///
/// ```
/// use burst::permit::{Decision, PermitObject};
///
/// let Decision::Write(value) = PermitObject::decide(None, "vm-1/5/0").unwrap() else { panic!() };
/// assert_eq!(value.to_string(), r#"{"draws":["vm-1/5/0"]}"#);
/// assert_eq!(PermitObject::decide(Some(&value), "vm-1/5/0").unwrap(), Decision::Granted);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PermitObject {
    draws: Vec<String>,
}

/// What to do after reading a permit object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The holder is listed and may draw.
    Granted,
    /// The value to write, on the condition that the object hasn't changed since it was read.
    Write(Value),
    /// All grants belong to other holders.
    Refused,
}

/// A value that isn't a permit object.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("`{value}` is not a permit object: {source}")]
pub struct Error {
    value: Value,
    source: serde_json::Error,
}

impl PermitObject {
    /// Decides whether `holder` may draw, given the value read; `None` means that the object doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the value is not a valid permit object; no draw is allowed then.
    pub fn decide(read: Option<&Value>, holder: &str) -> Result<Decision, Error> {
        let mut draws = match read {
            Some(value) => Self::read(value)?,
            None => Self::default(),
        };
        if draws.draws.iter().any(|listed| listed == holder) {
            return Ok(Decision::Granted);
        }
        if draws.draws.len() >= MAX_GRANTS {
            return Ok(Decision::Refused);
        }
        draws.draws.push(holder.into());
        Ok(Decision::Write(serde_json::json!({ "draws": draws.draws })))
    }

    /// Parses the value of a permit object.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the value is not a valid permit object.
    pub fn read(value: &Value) -> Result<Self, Error> {
        Self::deserialize(value).map_err(|source| Error {
            value: value.clone(),
            source,
        })
    }

    /// Returns the holders of the grants.
    pub fn holders(&self) -> &[String] {
        &self.draws
    }
}

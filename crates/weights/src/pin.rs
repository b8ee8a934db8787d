//! Identifies the exact weights that must serve a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::digest::{Digest, ParseError};

/// A model, its version and the digest of that version's manifest.
///
/// The text form is `model@version#digest`, as sent in the header `carobport-pin`.
///
/// ```
/// let digest = weights::Digest::of(b"manifest");
/// let pin = weights::Pin::new("fixtures-lm", "v7", digest);
/// assert_eq!(pin.to_string().parse::<weights::Pin>().unwrap(), pin);
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Pin {
    /// Name of the model.
    pub model: String,
    /// Version of the model, as the operator names it.
    pub version: String,
    /// Digest of the version's manifest.
    pub digest: Digest,
}

impl Pin {
    /// Returns the pin of `model` at `version` with the manifest digest `digest`.
    pub fn new(model: &str, version: &str, digest: Digest) -> Self {
        Self {
            model: model.into(),
            version: version.into(),
            digest,
        }
    }
}

impl fmt::Display for Pin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}#{}", self.model, self.version, self.digest)
    }
}

impl FromStr for Pin {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (name, digest) = text.rsplit_once('#').unwrap_or((text, ""));
        let digest = digest.parse()?;
        let (model, version) = name.rsplit_once('@').unwrap_or((name, ""));
        Ok(Self::new(model, version, digest))
    }
}

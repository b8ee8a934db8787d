//! The 256-bit digest that names chunks and manifests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};

const HEX_LEN: usize = 64;

/// Hash algorithm of chunk digests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Algorithm {
    /// BLAKE3, for manifests that this project builds.
    #[default]
    Blake3,
    /// SHA-256, for manifests of origins that list such digests.
    Sha256,
}

/// A digest of 32 bytes, written as 64 lower-case hexadecimal digits; BLAKE3 unless an algorithm is given.
///
/// ```
/// let digest = weights::Digest::of(b"chunk");
/// assert_eq!(digest.to_string().parse::<weights::Digest>().unwrap(), digest);
/// ```
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; 32]);

/// The error for a string that isn't a valid digest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("`{text}` is not a digest: expected 64 hexadecimal digits")]
pub struct ParseError {
    text: String,
}

impl Digest {
    /// Returns the BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the digest of `bytes`, computed with `algorithm`.
    pub fn with_algorithm(algorithm: Algorithm, bytes: &[u8]) -> Self {
        match algorithm {
            Algorithm::Blake3 => Self::of(bytes),
            Algorithm::Sha256 => Self(Sha256::digest(bytes).into()),
        }
    }

    /// Returns a digest with the given 32 bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first 8 bytes as a big-endian number.
    ///
    /// Reports contain this number instead of the digest to stay within the control traffic limit.
    pub fn prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError { text: text.into() };
        if text.len() != HEX_LEN {
            return Err(error());
        }
        let hash = blake3::Hash::from_hex(text).map_err(|_| error())?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

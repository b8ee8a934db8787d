//! Bytes whose digest was checked.

use bytes::Bytes;

use crate::{Algorithm, Digest};

/// The content of a chunk together with its digest, which was computed from these bytes.
///
/// The constructors hash the bytes, so a value of this type never holds a digest that its bytes don't have.
///
/// ```
/// let digest = weights::Digest::of(b"0123");
/// let chunk = weights::Chunk::verify(digest, "0123".into()).unwrap();
/// assert_eq!(chunk.digest(), digest);
/// assert!(weights::Chunk::verify(digest, "0124".into()).is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    digest: Digest,
    bytes: Bytes,
}

/// Bytes that don't have the expected digest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("{len} bytes have the digest {found}, but {expected} was expected")]
pub struct Mismatch {
    /// Digest that the manifest lists.
    pub expected: Digest,
    /// Digest of the bytes.
    pub found: Digest,
    /// Number of bytes.
    pub len: usize,
}

impl Chunk {
    /// Returns `bytes` as a chunk when their digest is `expected`.
    ///
    /// # Errors
    ///
    /// Returns a [`Mismatch`] when the bytes have another digest.
    pub fn verify(expected: Digest, bytes: Bytes) -> Result<Self, Mismatch> {
        Self::verify_with(Algorithm::Blake3, expected, bytes)
    }

    /// Returns `bytes` as a chunk when their digest by `algorithm` is `expected`.
    ///
    /// # Errors
    ///
    /// Returns a [`Mismatch`] when the bytes have another digest.
    pub fn verify_with(
        algorithm: Algorithm,
        expected: Digest,
        bytes: Bytes,
    ) -> Result<Self, Mismatch> {
        let found = Digest::with_algorithm(algorithm, &bytes);
        if found != expected {
            return Err(Mismatch {
                expected,
                found,
                len: bytes.len(),
            });
        }
        Ok(Self {
            digest: found,
            bytes,
        })
    }

    /// Returns the digest of the bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the content; the clone shares its memory.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// Returns the number of bytes.
    pub fn size(&self) -> u64 {
        self.bytes.len() as u64
    }
}

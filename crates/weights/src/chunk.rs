//! Chunk content that is verified against its digest.

use bytes::Bytes;

use crate::{Algorithm, Digest};

/// The content of a chunk together with its digest, which was computed from these bytes.
///
/// The constructors hash the bytes, so the digest of a `Chunk` always matches its content.
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

/// The error for bytes whose digest differs from the expected one.
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

    /// Returns `bytes` as a chunk when their `algorithm` digest is `expected`.
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

    /// Returns the content without copying it; the returned value shares the memory.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// Returns the number of bytes.
    pub fn size(&self) -> u64 {
        self.bytes.len() as u64
    }
}

//! The list of chunk digests that defines a version of a model.

use serde::{Deserialize, Serialize};

use crate::ChunkIndex;
use crate::digest::{Algorithm, Digest};

/// Maximum number of chunks in a manifest; keeps its text near 1 MB, the platform's size limit of a value.
pub const MAX_CHUNKS: usize = 16_384;

/// Size, chunk size and chunk digests of one version of a model.
///
/// The digest of the manifest covers its canonical text: `size`, `chunk_size` and the chunk digests, one a line.
///
/// ```
/// let manifest = weights::Manifest::build(b"0123456789", 4);
/// assert_eq!(manifest.chunks.len(), 3);
/// assert!(manifest.verify(2, b"89"));
/// assert!(!manifest.verify(2, b"8x"));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Size of the weights in bytes.
    pub size: u64,
    /// Size of each chunk but the last, in bytes.
    pub chunk_size: u32,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
    /// Hash algorithm of the chunk digests.
    #[serde(default)]
    pub algorithm: Algorithm,
}

/// The error for an inconsistent manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The chunk size is zero.
    #[error("the manifest's chunk size is 0")]
    ChunkSize,
    /// The number of chunks doesn't match the sizes, or exceeds the limit.
    #[error(
        "the manifest lists {listed} chunks, but its sizes give {expected} (at most {MAX_CHUNKS} are allowed)"
    )]
    Count {
        /// Number of chunks in the manifest.
        listed: usize,
        /// Number of chunks computed from `size` and `chunk_size`.
        expected: u64,
    },
}

impl Manifest {
    /// Returns the manifest of `data` split into chunks of `chunk_size` bytes.
    ///
    /// # Panics
    ///
    /// Panics when `chunk_size` is zero.
    pub fn build(data: &[u8], chunk_size: u32) -> Self {
        Self {
            size: data.len() as u64,
            chunk_size,
            chunks: data.chunks(chunk_size as usize).map(Digest::of).collect(),
            algorithm: Algorithm::Blake3,
        }
    }

    /// Checks that the number of chunks matches the sizes.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the chunk size is zero or the number of chunks is wrong or above [`MAX_CHUNKS`].
    pub fn check(&self) -> Result<(), Error> {
        if self.chunk_size == 0 {
            return Err(Error::ChunkSize);
        }
        let expected = self.size.div_ceil(u64::from(self.chunk_size));
        if expected != self.chunks.len() as u64 || self.chunks.len() > MAX_CHUNKS {
            return Err(Error::Count {
                listed: self.chunks.len(),
                expected,
            });
        }
        Ok(())
    }

    /// Returns the digest that names this version.
    pub fn digest(&self) -> Digest {
        let mut text = format!("{}\n{}\n", self.size, self.chunk_size);
        if self.algorithm != Algorithm::Blake3 {
            text.push_str("sha256\n");
        }
        for chunk in &self.chunks {
            text.push_str(&chunk.to_string());
            text.push('\n');
        }
        Digest::of(text.as_bytes())
    }

    /// Returns the length of chunk `index` in bytes, or `None` past the last one.
    pub fn chunk_len(&self, index: ChunkIndex) -> Option<u32> {
        self.chunks.get(index as usize)?;
        let start = self.offset(index);
        Some(u64::from(self.chunk_size).min(self.size - start) as u32)
    }

    /// Returns the offset of chunk `index` within the weights, in bytes.
    pub fn offset(&self, index: ChunkIndex) -> u64 {
        u64::from(index) * u64::from(self.chunk_size)
    }

    /// Returns whether `bytes` are the content of chunk `index`.
    pub fn verify(&self, index: ChunkIndex, bytes: &[u8]) -> bool {
        self.chunks.get(index as usize) == Some(&Digest::with_algorithm(self.algorithm, bytes))
    }
}

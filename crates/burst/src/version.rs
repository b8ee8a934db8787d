//! A version of a model whose manifest has been checked.

use std::sync::Arc;

use bytes::Bytes;
use weights::{Chunk, ChunkIndex, Digest, Manifest, Mismatch};

use crate::Stripes;

/// A manifest whose digest matches the catalogue, and its stripes.
///
/// ```
/// let manifest = weights::Manifest::build(b"0123456789", 4);
/// let digest = manifest.digest();
/// assert_eq!(burst::Version::check(digest, manifest.clone()).unwrap().chunk_count(), 3);
/// assert!(burst::Version::check(weights::Digest::of(b"other"), manifest).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Version {
    digest: Digest,
    manifest: Arc<Manifest>,
    stripes: Stripes,
}

/// A manifest that failed its checks.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The digest of the manifest differs from the expected one.
    #[error("the manifest has the digest {found}, but {expected} was expected")]
    Digest {
        /// Digest in the catalogue.
        expected: Digest,
        /// Digest of the manifest.
        found: Digest,
    },
    /// The manifest is inconsistent.
    #[error("manifest {0}: {1}")]
    Content(Digest, #[source] weights::Error),
}

impl Version {
    /// Checks that `manifest` has the digest `digest` and is consistent.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the digest differs or [`Manifest::check`] fails.
    pub fn check(digest: Digest, manifest: Manifest) -> Result<Self, Error> {
        let found = manifest.digest();
        if found != digest {
            return Err(Error::Digest {
                expected: digest,
                found,
            });
        }
        manifest
            .check()
            .map_err(|source| Error::Content(digest, source))?;
        Ok(Self {
            digest,
            stripes: Stripes::for_manifest(digest, &manifest),
            manifest: Arc::new(manifest),
        })
    }

    /// Returns the digest of the manifest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the stripes of the version.
    pub fn stripes(&self) -> &Stripes {
        &self.stripes
    }

    /// Returns the number of chunks.
    pub fn chunk_count(&self) -> u32 {
        self.manifest.chunks.len() as u32
    }

    /// Verifies that `bytes` are the content of chunk `chunk`.
    ///
    /// # Errors
    ///
    /// Returns a [`Mismatch`] when the digest of the bytes differs.
    ///
    /// # Panics
    ///
    /// Panics when the version has no such chunk.
    pub fn verify_chunk(&self, chunk: ChunkIndex, bytes: Bytes) -> Result<Chunk, Mismatch> {
        Chunk::verify_with(self.manifest.algorithm, self.chunk_digest(chunk), bytes)
    }

    /// Returns the digest of chunk `chunk`.
    ///
    /// # Panics
    ///
    /// Panics when the version has no such chunk.
    pub fn chunk_digest(&self, chunk: ChunkIndex) -> Digest {
        self.manifest.chunks[chunk as usize]
    }
}

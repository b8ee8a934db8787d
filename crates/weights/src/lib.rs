//! Digests, manifests and pins of model weights.
//!
//! A [`Manifest`] lists the digest of each chunk of a version. The digest of the manifest's canonical text names the
//! version, so the manifest and chunks that match its digests determine the weights exactly. A [`Pin`]
//! names the weights that a request must be answered from. A [`ChunkStore`] holds verified [`Chunk`]s in memory.

mod chunk;
mod digest;
mod manifest;
mod pin;
mod store;

pub use chunk::{Chunk, Mismatch};
pub use digest::{Algorithm, Digest, ParseError};
pub use manifest::{Error, Manifest};
pub use pin::Pin;
pub use store::ChunkStore;

/// Zero-based index of a chunk within a manifest.
pub type ChunkIndex = u32;

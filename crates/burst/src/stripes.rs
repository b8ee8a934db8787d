//! Groups of consecutive chunks that share an owner and a permit.

use std::ops::Range;

use weights::{ChunkIndex, Digest, Manifest};

use crate::hash;

/// Maximum number of stripes of a version. It bounds the number of permit objects of a burst, and thereby the writes to
/// the platform.
pub const MAX_STRIPES: u32 = 256;

/// Index of a stripe within a version, from zero.
pub type StripeIndex = u32;

/// The division of a version's chunks into stripes.
///
/// ```
/// let stripes = burst::Stripes::new(weights::Digest::of(b"manifest"), 1000);
/// assert_eq!(stripes.count(), 250);
/// assert_eq!(stripes.stripe_of(999), 249);
/// assert_eq!(stripes.chunk_range(249), 996..1000);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stripes {
    digest: Digest,
    chunks: u32,
    stripe_len: u32,
}

impl Stripes {
    /// Returns the stripes of the version with digest `digest` and `chunks` chunks.
    pub fn new(digest: Digest, chunks: u32) -> Self {
        Self {
            digest,
            chunks,
            stripe_len: chunks.div_ceil(MAX_STRIPES).max(1),
        }
    }

    /// Returns the stripes of `manifest`, whose digest is `digest`.
    pub fn for_manifest(digest: Digest, manifest: &Manifest) -> Self {
        Self::new(digest, manifest.chunks.len() as u32)
    }

    /// Returns the number of stripes, at most [`MAX_STRIPES`].
    pub fn count(&self) -> u32 {
        self.chunks.div_ceil(self.stripe_len)
    }

    /// Returns the stripe that contains chunk `chunk`.
    pub fn stripe_of(&self, chunk: ChunkIndex) -> StripeIndex {
        chunk / self.stripe_len
    }

    /// Returns the range of chunks in stripe `stripe`.
    pub fn chunk_range(&self, stripe: StripeIndex) -> Range<ChunkIndex> {
        let start = stripe * self.stripe_len;
        start..(start + self.stripe_len).min(self.chunks)
    }

    /// Returns the key for the rendezvous orders of members and domains for stripe `stripe`.
    pub fn key(&self, stripe: StripeIndex) -> u64 {
        let mut input = [0; 36];
        input[..32].copy_from_slice(self.digest.as_bytes());
        input[32..].copy_from_slice(&stripe.to_be_bytes());
        hash::hash(&input)
    }

    /// Returns the name of the stripe's permit object, of kind `draws`: `{digest}.{stripe}`.
    pub fn object_name(&self, stripe: StripeIndex) -> String {
        format!("{}.{stripe}", self.digest)
    }
}

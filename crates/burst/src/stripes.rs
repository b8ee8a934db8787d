//! Groups of consecutive chunks that share an owner and a permit.

use std::ops::Range;

use weights::{ChunkIndex, Digest, Manifest};

use crate::hash;

/// Most stripes of a version; it bounds the permit objects, and so the platform's writes, of a burst.
pub const MAX_STRIPES: u32 = 256;

/// Position of a stripe within a version, from zero.
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
    len: u32,
}

impl Stripes {
    /// Returns the stripes of the version `digest`, which has `chunks` chunks.
    pub fn new(digest: Digest, chunks: u32) -> Self {
        Self {
            digest,
            chunks,
            len: chunks.div_ceil(MAX_STRIPES).max(1),
        }
    }

    /// Returns the stripes of `manifest`, whose digest is `digest`.
    pub fn for_manifest(digest: Digest, manifest: &Manifest) -> Self {
        Self::new(digest, manifest.chunks.len() as u32)
    }

    /// Returns the number of stripes, at most [`MAX_STRIPES`].
    pub fn count(&self) -> u32 {
        self.chunks.div_ceil(self.len)
    }

    /// Returns the stripe of chunk `chunk`.
    pub fn stripe_of(&self, chunk: ChunkIndex) -> StripeIndex {
        chunk / self.len
    }

    /// Returns the chunks of stripe `stripe`.
    pub fn chunk_range(&self, stripe: StripeIndex) -> Range<ChunkIndex> {
        let start = stripe * self.len;
        start..(start + self.len).min(self.chunks)
    }

    /// Returns the key by which members and domains are ordered for stripe `stripe`.
    pub fn key(&self, stripe: StripeIndex) -> u64 {
        let mut text = [0; 36];
        text[..32].copy_from_slice(self.digest.as_bytes());
        text[32..].copy_from_slice(&stripe.to_be_bytes());
        hash::of(&text)
    }

    /// Returns the name of the stripe's object of kind `draws`: `{digest}.{stripe}`.
    pub fn object_name(&self, stripe: StripeIndex) -> String {
        format!("{}.{stripe}", self.digest)
    }
}

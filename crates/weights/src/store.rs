//! Verified chunks in memory.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;

use crate::{Chunk, Digest};

/// A store of verified chunks, keyed by digest.
///
/// Kept chunks stay until [`ChunkStore::keep_only`] releases them. Other chunks are cached: the least recently used
/// ones are evicted when the cached chunks exceed the limit in bytes. The digest as key lets versions share equal chunks
/// and prevents that two versions mix.
///
/// ```
/// use weights::{Chunk, ChunkStore, Digest};
///
/// let mut store = ChunkStore::new(4);
/// for text in ["abc", "def"] {
///     let chunk = Chunk::verify(Digest::of(text.as_bytes()), text.into()).unwrap();
///     store.insert(chunk, false);
/// }
/// assert!(store.get(&Digest::of(b"abc")).is_none());
/// assert!(store.get(&Digest::of(b"def")).is_some());
/// ```
#[derive(Debug)]
pub struct ChunkStore {
    limit: u64,
    chunks: HashMap<Digest, Held>,
    /// Cached chunks by time of last use, oldest first.
    recent: BTreeMap<u64, Digest>,
    clock: u64,
    kept_bytes: u64,
    cached_bytes: u64,
}

#[derive(Debug)]
struct Held {
    chunk: Chunk,
    /// Time of last use of a cached chunk; `None` for a kept one.
    used: Option<u64>,
}

impl ChunkStore {
    /// Returns an empty store that caches at most `limit` bytes of chunks that it need not keep.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            chunks: HashMap::new(),
            recent: BTreeMap::new(),
            clock: 0,
            kept_bytes: 0,
            cached_bytes: 0,
        }
    }

    /// Tells whether the chunk `digest` is held.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.chunks.contains_key(digest)
    }

    /// Returns the bytes of kept chunks.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Returns the bytes of cached chunks, at most the limit.
    pub fn cached_bytes(&self) -> u64 {
        self.cached_bytes
    }

    /// Returns the content of chunk `digest` and marks it as used.
    pub fn get(&mut self, digest: &Digest) -> Option<Bytes> {
        let held = self.chunks.get_mut(digest)?;
        if let Some(used) = held.used {
            self.recent.remove(&used);
            self.clock += 1;
            held.used = Some(self.clock);
            self.recent.insert(self.clock, *digest);
        }
        Some(held.chunk.bytes())
    }

    /// Adds `chunk`; `keep` protects it from eviction.
    ///
    /// A chunk that is held already only gains the protection.
    pub fn insert(&mut self, chunk: Chunk, keep: bool) {
        let digest = chunk.digest();
        match self.chunks.get(&digest) {
            None => self.add(chunk, keep),
            Some(held) if keep && held.used.is_some() => self.set_kept(digest, true),
            Some(_) => {}
        }
        self.evict();
    }

    /// Keeps the held chunks that `owned` accepts and moves all others to the cache.
    pub fn keep_only(&mut self, owned: impl Fn(&Digest) -> bool) {
        let digests: Vec<Digest> = self.chunks.keys().copied().collect();
        for digest in digests {
            let keep = owned(&digest);
            if keep != self.chunks[&digest].used.is_none() {
                self.set_kept(digest, keep);
            }
        }
        self.evict();
    }

    fn add(&mut self, chunk: Chunk, keep: bool) {
        let digest = chunk.digest();
        let used = if keep {
            self.kept_bytes += chunk.size();
            None
        } else {
            self.cached_bytes += chunk.size();
            self.clock += 1;
            self.recent.insert(self.clock, digest);
            Some(self.clock)
        };
        self.chunks.insert(digest, Held { chunk, used });
    }

    fn set_kept(&mut self, digest: Digest, keep: bool) {
        if let Some(held) = self.remove(&digest) {
            self.add(held, keep);
        }
    }

    fn remove(&mut self, digest: &Digest) -> Option<Chunk> {
        let held = self.chunks.remove(digest)?;
        match held.used {
            None => self.kept_bytes -= held.chunk.size(),
            Some(used) => {
                self.recent.remove(&used);
                self.cached_bytes -= held.chunk.size();
            }
        }
        Some(held.chunk)
    }

    fn evict(&mut self) {
        while self.cached_bytes > self.limit {
            let Some((_, &digest)) = self.recent.first_key_value() else {
                return;
            };
            self.remove(&digest);
        }
    }
}

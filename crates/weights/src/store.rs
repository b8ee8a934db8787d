//! In-memory store of verified chunks with an LRU cache.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;

use crate::{Chunk, Digest};

/// A store of verified chunks, keyed by digest.
///
/// Kept chunks stay until [`ChunkStore::keep_only`] releases them. Other chunks are cached: the least recently used
/// ones are evicted when the cached chunks exceed the limit in bytes. The digest as key lets versions share equal
/// chunks and keeps the contents of different versions apart.
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
    /// Maximum total size of cached chunks, in bytes.
    cache_limit: u64,
    chunks: HashMap<Digest, StoredChunk>,
    /// Digests of cached chunks by logical time of last use, least recent first.
    lru: BTreeMap<u64, Digest>,
    /// Logical time, incremented when a cached chunk is added or used.
    clock: u64,
    kept_bytes: u64,
    cached_bytes: u64,
}

#[derive(Debug)]
struct StoredChunk {
    chunk: Chunk,
    /// Logical time of last use of a cached chunk; `None` for a kept one.
    last_used: Option<u64>,
}

impl ChunkStore {
    /// Returns an empty store that caches at most `cache_limit` bytes of chunks; kept chunks don't count.
    pub fn new(cache_limit: u64) -> Self {
        Self {
            cache_limit,
            chunks: HashMap::new(),
            lru: BTreeMap::new(),
            clock: 0,
            kept_bytes: 0,
            cached_bytes: 0,
        }
    }

    /// Returns whether the chunk `digest` is stored, kept or cached.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.chunks.contains_key(digest)
    }

    /// Returns the total size of kept chunks, in bytes.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Returns the total size of cached chunks, in bytes; at most the limit.
    pub fn cached_bytes(&self) -> u64 {
        self.cached_bytes
    }

    /// Returns the content of chunk `digest` and marks a cached chunk as most recently used.
    pub fn get(&mut self, digest: &Digest) -> Option<Bytes> {
        let stored = self.chunks.get_mut(digest)?;
        if let Some(last_used) = stored.last_used {
            self.lru.remove(&last_used);
            self.clock += 1;
            stored.last_used = Some(self.clock);
            self.lru.insert(self.clock, *digest);
        }
        Some(stored.chunk.bytes())
    }

    /// Adds `chunk`; `keep` protects it from eviction.
    ///
    /// If the chunk is already stored, `keep` turns a cached chunk into a kept one; otherwise nothing changes.
    pub fn insert(&mut self, chunk: Chunk, keep: bool) {
        let digest = chunk.digest();
        match self.chunks.get(&digest) {
            None => self.add(chunk, keep),
            Some(stored) if keep && stored.last_used.is_some() => self.set_kept(digest, true),
            Some(_) => {}
        }
        self.evict();
    }

    /// Keeps the stored chunks for which `should_keep` returns true and moves all others to the cache.
    pub fn keep_only(&mut self, should_keep: impl Fn(&Digest) -> bool) {
        let digests: Vec<Digest> = self.chunks.keys().copied().collect();
        for digest in digests {
            let keep = should_keep(&digest);
            if keep != self.chunks[&digest].last_used.is_none() {
                self.set_kept(digest, keep);
            }
        }
        self.evict();
    }

    fn add(&mut self, chunk: Chunk, keep: bool) {
        let digest = chunk.digest();
        let last_used = if keep {
            self.kept_bytes += chunk.size();
            None
        } else {
            self.cached_bytes += chunk.size();
            self.clock += 1;
            self.lru.insert(self.clock, digest);
            Some(self.clock)
        };
        self.chunks.insert(digest, StoredChunk { chunk, last_used });
    }

    fn set_kept(&mut self, digest: Digest, keep: bool) {
        if let Some(stored) = self.remove(&digest) {
            self.add(stored, keep);
        }
    }

    fn remove(&mut self, digest: &Digest) -> Option<Chunk> {
        let stored = self.chunks.remove(digest)?;
        match stored.last_used {
            None => self.kept_bytes -= stored.chunk.size(),
            Some(last_used) => {
                self.lru.remove(&last_used);
                self.cached_bytes -= stored.chunk.size();
            }
        }
        Some(stored.chunk)
    }

    fn evict(&mut self) {
        while self.cached_bytes > self.cache_limit {
            let Some((_, &digest)) = self.lru.first_key_value() else {
                return;
            };
            self.remove(&digest);
        }
    }
}

//! Buffer of a body whose length isn't known beforehand.

use bytes::Bytes;

/// Size of the first block, in bytes.
const MIN_BLOCK_BYTES: usize = 4 << 10;
/// Largest size of a block, in bytes, unless a single piece is larger.
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// The bytes of a body, in blocks that stay where they are while it grows.
///
/// One buffer that grows would be copied again and again, and the smaller buffers that it leaves behind are too small for the
/// other bodies that grow at the same time. Blocks are copied once, when the body is complete.
#[derive(Debug, Default)]
pub struct Blocks {
    blocks: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl Blocks {
    /// Returns an empty buffer with one block of `capacity` bytes.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            blocks: vec![Vec::with_capacity(capacity)],
            length: 0,
            capacity,
        }
    }

    /// Returns the number of bytes held.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns the memory that the body takes at most once it is `bytes` longer, in bytes: twice that of its blocks if
    /// [`Blocks::into_bytes`] has to join several.
    pub fn memory_for(&self, bytes: usize) -> usize {
        let capacity = self.capacity_for(bytes);
        let is_single =
            self.blocks.is_empty() || self.blocks.len() == 1 && capacity == self.capacity;
        if is_single { capacity } else { 2 * capacity }
    }

    fn capacity_for(&self, bytes: usize) -> usize {
        let missing = (self.length + bytes).saturating_sub(self.capacity);
        if missing == 0 {
            return self.capacity;
        }
        let block = self.capacity.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        self.capacity + block.max(missing)
    }

    /// Appends `bytes`, in a further block if they don't fit into the last one.
    pub fn extend(&mut self, bytes: &[u8]) {
        let capacity = self.capacity_for(bytes.len());
        if capacity > self.capacity {
            self.blocks
                .push(Vec::with_capacity(capacity - self.capacity));
            self.capacity = capacity;
        }
        let mut rest = bytes;
        // Only the last two blocks can have room: a block is added once a piece doesn't fit into the one before.
        let first = self.blocks.len().saturating_sub(2);
        for block in &mut self.blocks[first..] {
            let room = block.capacity() - block.len();
            let (fits, remaining) = rest.split_at(room.min(rest.len()));
            block.extend_from_slice(fits);
            rest = remaining;
        }
        self.length += bytes.len();
    }

    /// Returns the bytes in one piece. Each block is released once it has been copied.
    pub fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().into();
        }
        let mut joined = Vec::with_capacity(self.length);
        for block in self.blocks {
            joined.extend_from_slice(&block);
        }
        joined.into()
    }
}

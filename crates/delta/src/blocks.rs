//! Index of the blocks of a window by their content.

use crate::{MIN_COPY, Window};

/// Length of a block and distance of two blocks, in bytes. Every run of twice this length contains a whole block.
const BLOCK: usize = MIN_COPY;
/// Fewest bits of a slot's number.
const MIN_BITS: u32 = 8;

/// Positions of blocks by a hash of their content; a newer block replaces an older one in the same slot.
pub(crate) struct Blocks {
    /// Position of a block plus one; 0 if the slot is empty.
    slots: Vec<u32>,
    /// Number of bits by which a hash is shifted to obtain its slot.
    shift: u32,
    /// Position of the first block that has not been added.
    end: usize,
}

impl Blocks {
    /// Returns an empty index for a window of `len` bytes.
    pub(crate) fn new(len: usize) -> Self {
        let bits = (usize::BITS - (len / BLOCK).leading_zeros() + 1).max(MIN_BITS);
        Self {
            slots: vec![0; 1 << bits],
            shift: u64::BITS - bits,
            end: 0,
        }
    }

    /// Adds the blocks that end at `end` or before.
    pub(crate) fn extend(&mut self, window: &Window<'_>, end: usize) {
        while self.end + BLOCK <= end {
            if let Some(block) = window.block(self.end) {
                let slot = self.slot(block);
                self.slots[slot] = (self.end + 1) as u32;
            }
            self.end += BLOCK;
        }
    }

    /// Returns the position of a block that probably equals the one at `at` in the new version.
    pub(crate) fn find(&self, window: &Window<'_>, at: usize) -> Option<usize> {
        let block = window.new.get(at..at + BLOCK)?;
        let slot = self.slots[self.slot(block)];
        (slot as usize).checked_sub(1)
    }

    fn slot(&self, block: &[u8]) -> usize {
        const MULTIPLIERS: [u64; 2] = [0x9E37_79B9_7F4A_7C15, 0xC2B2_AE3D_27D4_EB4F];
        let words = block.chunks_exact(size_of::<u64>());
        let mix = |hash: u64, (word, multiplier): (&[u8], u64)| {
            let word = word.try_into().map_or(0, u64::from_le_bytes);
            (hash.rotate_left(29) ^ word).wrapping_mul(multiplier)
        };
        (words.zip(MULTIPLIERS).fold(0, mix) >> self.shift) as usize
    }
}

impl Window<'_> {
    /// Returns the block at `at`, unless it lies partly in the base.
    fn block(&self, at: usize) -> Option<&[u8]> {
        match at.checked_sub(self.base.len()) {
            Some(at) => self.new.get(at..at + BLOCK),
            None => self.base.get(at..at + BLOCK),
        }
    }
}

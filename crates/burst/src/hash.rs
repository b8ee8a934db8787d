//! Hashes that every node computes alike.

/// Returns the first 8 bytes of the BLAKE3 digest of `bytes` as a big-endian integer.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let mut head = [0; 8];
    head.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(head)
}

/// Returns the rendezvous score of a member for a key: the SplitMix64 finalizer over both hashes.
///
/// Both inputs are BLAKE3 output already; a full BLAKE3 hash per pair would cost about 50 times as much.
pub(crate) fn score(key: u64, member: u64) -> u64 {
    let mut x = key ^ member.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A SplitMix64 generator for shuffles.
#[derive(Clone, Debug)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `bound`, which must not be zero.
    pub(crate) fn next_below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (score(self.0, 0) % bound as u64) as usize
    }

    /// Reorders `items` at random (Fisher-Yates).
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.next_below(last + 1));
        }
    }
}

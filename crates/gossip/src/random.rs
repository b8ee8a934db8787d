//! Seeded random numbers for the selection of peers.

/// A SplitMix64 generator. Equal seeds give equal sequences, so that a run is reproducible.
///
/// It isn't cryptographically secure.
///
/// ```
/// let (mut a, mut b) = (gossip::Random::new(7), gossip::Random::new(7));
/// assert_eq!(a.next(), b.next());
/// ```
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator with the given seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    #[expect(
        clippy::should_implement_trait,
        reason = "an infinite sequence of numbers is not used as an iterator"
    )]
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        // The modulo bias is below 2^-50 for the thousands of members that are selected from.
        let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
        usize::try_from(self.next() % bound).unwrap_or(0)
    }

    /// Returns a random sample of up to `count` elements of `list`, each subset with equal probability.
    pub fn choose<T>(&mut self, mut list: Vec<T>, count: usize) -> Vec<T> {
        let mut sample = Vec::with_capacity(count.min(list.len()));
        while sample.len() < count && !list.is_empty() {
            let index = self.below(list.len());
            sample.push(list.swap_remove(index));
        }
        sample
    }
}

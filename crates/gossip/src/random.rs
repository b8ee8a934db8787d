//! Seeded random numbers for the choice of peers.

/// A SplitMix64 generator: equal seeds give equal choices, so that a run can be repeated.
///
/// It isn't suitable for secrets.
///
/// ```
/// let (mut a, mut b) = (gossip::Random::new(7), gossip::Random::new(7));
/// assert_eq!(a.next(), b.next());
/// ```
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Returns the generator that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    #[expect(
        clippy::should_implement_trait,
        reason = "an endless source is no iterator"
    )]
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        word ^ (word >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        // The bias of the remainder is below 2^-50 for the thousands of members that are chosen from.
        let bound = u64::try_from(bound).unwrap_or(u64::MAX).max(1);
        usize::try_from(self.next() % bound).unwrap_or(0)
    }

    /// Takes up to `count` elements out of `list`, each subset with equal probability.
    pub fn choose<T>(&mut self, mut list: Vec<T>, count: usize) -> Vec<T> {
        let mut chosen = Vec::with_capacity(count.min(list.len()));
        while chosen.len() < count && !list.is_empty() {
            let index = self.below(list.len());
            chosen.push(list.swap_remove(index));
        }
        chosen
    }
}

//! The order in which engines load.

/// Position of an engine among the engines that load the same version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    rank: usize,
    count: usize,
}

impl Position {
    /// Returns the position of `own` among `live`, which may include it.
    ///
    /// The order differs from version to version. Engines of one failure domain are adjacent in it no more often than
    /// by chance.
    ///
    /// ```
    /// use rollout::Position;
    ///
    /// let live = ["a", "b", "c"];
    /// let mut shares: Vec<f64> = live.iter().map(|own| Position::among(own, &live, 7).fraction()).collect();
    /// shares.sort_by(f64::total_cmp);
    /// assert_eq!(shares, [0.0, 0.5, 1.0]);
    /// ```
    pub fn among(own: &str, live: &[&str], version: u64) -> Self {
        let own_key = key(own, version);
        let others = live.iter().filter(|name| **name != own);
        Self {
            rank: others
                .clone()
                .filter(|name| key(name, version) < own_key)
                .count(),
            count: others.count() + 1,
        }
    }

    /// Returns the position as a fraction: 0 for the first engine and 1 for the last.
    pub fn fraction(self) -> f64 {
        match self.count {
            0 | 1 => 0.0,
            count => self.rank as f64 / (count - 1) as f64,
        }
    }
}

/// Returns the sort key of an engine; the name breaks ties.
fn key(name: &str, version: u64) -> ([u8; 8], &str) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&version.to_be_bytes());
    hasher.update(name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    (head, name)
}

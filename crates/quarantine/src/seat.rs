//! The place of an entry in the order in which entries may try a part again.

use std::time::Duration;

use crate::prompt::PartId;

/// Time for which it is one entry's turn.
pub(crate) const TURN: Duration = Duration::from_secs(10);

/// Place of an entry among those that may try a part again.
///
/// Entries know the names of all failure domains, but the live entries of their own one only. The turn therefore passes
/// from domain to domain, and within a domain from entry to entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Seat {
    /// Rank of the entry's failure domain.
    pub domain: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Rank of the entry in its failure domain.
    pub entry: usize,
    /// Number of live entries in the failure domain.
    pub entries: usize,
}

impl Default for Seat {
    /// Returns the seat of a single entry.
    fn default() -> Self {
        Self {
            domain: 0,
            domains: 1,
            entry: 0,
            entries: 1,
        }
    }
}

impl Seat {
    /// Returns whether it is the entry's turn to try `part`, whose quarantine ended `since` ago.
    pub(crate) fn has_turn(&self, part: PartId, since: Duration) -> bool {
        let turn = part.wrapping_add(since.as_secs() / TURN.as_secs());
        let is_turn = |rank: usize, count: usize| turn % count.max(1) as u64 == rank as u64;
        is_turn(self.domain, self.domains) && is_turn(self.entry, self.entries)
    }
}

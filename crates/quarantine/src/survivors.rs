//! Parts that targets survived recently.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::prompt::PartId;

/// Age of a generation at which a new one begins; survivals are kept for one to two generations.
const GENERATION: Duration = Duration::from_secs(10);
/// Number of parts in a generation at which a new one begins.
const MAX_PARTS: usize = 8192;

/// When each part was last survived, in two generations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Survivors {
    current: HashMap<PartId, Instant>,
    previous: HashMap<PartId, Instant>,
    begun_at: Option<Instant>,
}

impl Survivors {
    pub(crate) fn record(&mut self, now: Instant, part: PartId) {
        let begun_at = *self.begun_at.get_or_insert(now);
        let old = now.saturating_duration_since(begun_at) >= GENERATION;
        if old || self.current.len() >= MAX_PARTS {
            self.previous = std::mem::take(&mut self.current);
            self.begun_at = Some(now);
        }
        self.current.insert(part, now);
    }

    /// Returns when `part` was last survived.
    pub(crate) fn last(&self, part: PartId) -> Option<Instant> {
        let found = self.current.get(&part).or(self.previous.get(&part));
        found.copied()
    }
}

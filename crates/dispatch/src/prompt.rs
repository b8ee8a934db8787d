//! Sizes of prompts: which of the requests at an engine is read first.

use std::time::Instant;

use crate::config::Engine;
use crate::request::RequestContext;

/// Number of priorities that engines distinguish; 0 is admitted first.
const PRIORITIES: u8 = 10;
/// Share of its objective that a request may have waited and still be ordered by its size. After that it goes before
/// the others of its rank, so that a stream of short prompts holds no long one up.
const MAX_ORDERED_WAIT_SHARE: f64 = 0.25;

/// Size of a prompt in relation to the mean of its service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Size {
    /// At most half of the mean.
    Short,
    /// At most the mean and a half.
    Medium,
    /// Longer.
    Long,
}

impl Size {
    /// Number of sizes.
    const COUNT: u8 = 3;

    /// Returns the size of a prompt of `tokens` tokens at a service whose prompts have `mean` tokens on average.
    pub fn of(tokens: u32, mean: f64) -> Self {
        match f64::from(tokens) {
            tokens if tokens <= mean * 0.5 => Self::Short,
            tokens if tokens <= mean * 1.5 => Self::Medium,
            _ => Self::Long,
        }
    }
}

/// Returns the priority, from 0 to 9, that the engine is given with a request that is sent at `now`.
///
/// Within a rank, shorter prompts come first, provided that the engine's priorities suffice for all ranks up to
/// `lowest_rank`, the largest one that the configuration has.
pub(crate) fn engine_priority(
    now: Instant,
    work: &RequestContext,
    engine: &Engine,
    lowest_rank: u8,
) -> u8 {
    if u32::from(lowest_rank.max(work.priority)) + 1 > u32::from(PRIORITIES / Size::COUNT) {
        return work.priority.min(PRIORITIES - 1);
    }
    let waited = now.saturating_duration_since(work.arrived) + work.prior_wait;
    let size = match waited > work.objective.mul_f64(MAX_ORDERED_WAIT_SHARE) {
        true => Size::Short,
        false => Size::of(work.prompt_tokens, engine.mean_prompt_tokens),
    };
    work.priority * Size::COUNT + size as u8
}

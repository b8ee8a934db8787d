//! What a target says of its limit.

use serde::{Deserialize, Serialize};

/// Least limit that is kept: a target that takes no requests could never say that it takes some again.
pub(crate) const MIN_LIMIT_PER_S: f64 = 0.1;

/// Requests a second that a target takes from all entries together.
pub type Limit = f64;

/// A target's limit as one of its answers said it.
///
/// ```
/// use quota::Statement;
///
/// let mut known = None;
/// assert!(Statement::hear(&mut known, Some(2.0)));
/// assert!(!Statement::hear(&mut known, Some(2.0)), "no news");
/// let older = known;
/// assert!(Statement::hear(&mut known, None));
/// assert!(!Statement::merge(&mut known, older));
/// assert_eq!(known.unwrap().limit, None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Statement {
    /// Counts the changes that processes heard of; the highest number holds.
    pub number: u32,
    /// The limit; `None` when the target takes any number of requests again.
    pub limit: Option<Limit>,
}

impl Statement {
    /// Takes the limit that an answer named into `known`, and returns whether it is news.
    ///
    /// An answer without a limit says something only after one with it.
    pub fn hear(known: &mut Option<Self>, limit: Option<Limit>) -> bool {
        let limit = limit.map(|limit| limit.max(MIN_LIMIT_PER_S));
        if known.and_then(|known| known.limit) == limit {
            return false;
        }
        let number = known.map_or(0, |known| known.number).saturating_add(1);
        *known = Some(Self { number, limit });
        true
    }

    /// Takes what another process heard into `known`, and returns whether it is news.
    pub fn merge(known: &mut Option<Self>, other: Option<Self>) -> bool {
        let Some(other) = other else {
            return false;
        };
        let newer = known.is_none_or(|known| other.is_newer_than(known));
        if newer {
            *known = Some(other);
        }
        newer
    }

    /// Tells whether this one holds rather than `other`; of two under the same number it is the lower limit.
    fn is_newer_than(self, other: Self) -> bool {
        let limit = |statement: Self| statement.limit.unwrap_or(Limit::INFINITY);
        self.number > other.number || (self.number == other.number && limit(self) < limit(other))
    }
}

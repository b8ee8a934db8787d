//! Limits that targets advertise.

use serde::{Deserialize, Serialize};

/// Lower bound of limits. A target that gets no requests could never advertise a higher limit, because limits are sent
/// in responses.
pub(crate) const MIN_LIMIT_PER_S: f64 = 0.1;

/// Requests per second that a target accepts from all entries together.
pub type Limit = f64;

/// A versioned limit that a target advertised in one of its responses.
///
/// ```
/// use quota::AdvertisedLimit;
///
/// let mut known = None;
/// assert!(AdvertisedLimit::record(&mut known, Some(2.0)));
/// assert!(!AdvertisedLimit::record(&mut known, Some(2.0)), "the limit is unchanged");
/// let older = known;
/// assert!(AdvertisedLimit::record(&mut known, None));
/// assert!(!AdvertisedLimit::merge(&mut known, older));
/// assert_eq!(known.unwrap().limit, None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdvertisedLimit {
    /// Version, which counts the changes that processes learned of; the highest one is in force.
    pub number: u32,
    /// The limit; `None` if the target accepts any number of requests again.
    pub limit: Option<Limit>,
}

impl AdvertisedLimit {
    /// Updates `known` with the limit in a response of the target, and returns whether it changed.
    ///
    /// A response without a limit is a change only after one with a limit.
    pub fn record(known: &mut Option<Self>, limit: Option<Limit>) -> bool {
        let limit = limit.map(|limit| limit.max(MIN_LIMIT_PER_S));
        if known.and_then(|known| known.limit) == limit {
            return false;
        }
        let number = known.map_or(0, |known| known.number).saturating_add(1);
        *known = Some(Self { number, limit });
        true
    }

    /// Updates `known` with a limit received from another process if that is newer, and returns whether it changed.
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

    /// Returns whether this limit takes precedence over `other`: by its higher number, or as the lower limit of two
    /// with the same number.
    fn is_newer_than(self, other: Self) -> bool {
        let limit = |statement: Self| statement.limit.unwrap_or(Limit::INFINITY);
        self.number > other.number || (self.number == other.number && limit(self) < limit(other))
    }
}

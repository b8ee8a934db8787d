//! The parts of a prompt.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Id of a part of a prompt.
pub type PartId = u64;

/// Maximum number of parts of a prompt that are examined.
const MAX_PARTS: usize = 256;

/// Returns the id that `text`, a hexadecimal number of any length, stands for.
///
/// All processes derive the same id from the same text.
///
/// ```
/// use quarantine::part_id;
///
/// assert_eq!(part_id("5c1E07a2"), Some(0x5c1e_07a2));
/// assert!(part_id("5c1e07a25c1e07a25c1e07a2").is_some());
/// assert_eq!(part_id("many"), None);
/// ```
pub fn part_id(text: &str) -> Option<PartId> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let digits = text.trim_start_matches('0').to_ascii_lowercase();
    if digits.is_empty() {
        return Some(0);
    }
    match PartId::from_str_radix(&digits, 16) {
        Ok(id) => Some(id),
        Err(_) => {
            let mut hasher = DefaultHasher::new();
            digits.hash(&mut hasher);
            Some(hasher.finish())
        }
    }
}

/// The parts of a request's prompt in their order. The last one belongs to the request or its session alone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt(Rc<[PartId]>);

impl Prompt {
    /// Returns a prompt of `parts`, of which at most the first 255 and the last are kept.
    pub fn new(mut parts: Vec<PartId>) -> Self {
        if let Some(own) = parts.last().copied().filter(|_| parts.len() > MAX_PARTS) {
            parts.truncate(MAX_PARTS - 1);
            parts.push(own);
        }
        Self(parts.into())
    }

    /// Returns the parts in their order.
    pub fn parts(&self) -> &[PartId] {
        &self.0
    }

    /// Returns the part that belongs to the request or its session alone.
    pub fn own_part(&self) -> Option<PartId> {
        self.0.last().copied()
    }

    /// Returns whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

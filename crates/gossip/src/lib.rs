//! Versioned records of members and catalogue entries, and how they spread.
//!
//! A [`Record`] is replaced only by one of a higher [`Version`]; the merge of two stores doesn't depend on the order
//! in which records arrive, so no record ever reverts.

mod codec;
mod record;

pub use record::{Key, Node, Phase, Record, Target, Value, Version};

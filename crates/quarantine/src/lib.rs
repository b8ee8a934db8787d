//! Quarantine of prompt parts that crash engines.

mod prompt;

pub use prompt::{PartId, Prompt, part_id};

//! The operators' tool: checks, writes and shows catalogue entries.
//!
//! [`put`] writes an entry by a conditional update and reads it back when the response is lost; [`entry_status`] reads
//! which revisions are in force at the entry VMs; [`targets`] merges what these report about the targets.

pub mod catalogue;
pub mod entry_status;
pub mod files;
pub mod options;
pub mod put;
pub mod render;
pub mod targets;

/// Kind of the platform's objects that hold entries.
pub const KIND: &str = "catalog";

//! The operators' tool: checks, writes and shows catalogue entries.
//!
//! [`put`] writes an entry by a conditional update and resolves lost answers by reading back; [`force`] tells at which
//! entry VMs a revision is in force; [`targets`] shows the targets as these see them.

pub mod catalogue;
pub mod files;
pub mod force;
pub mod options;
pub mod put;
pub mod show;
pub mod targets;

/// Kind of the platform's objects that hold entries.
pub const KIND: &str = "catalog";

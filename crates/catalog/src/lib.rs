//! Catalogue entries: the operators' only way to change behaviour.
//!
//! Every [`Entry`] names an owner, a class and its limits. An entry is a [`Class`], a [`Service`] or a [`Workspace`].

mod entry;

pub use entry::{Backend, Class, Entry, Limits, Model, Objective, Plan, Service, Workspace};

/// Revision that the platform gave to a version of an entry; higher is newer.
pub type Revision = u64;

/// Name of an entry, unique within its kind.
pub type Name = String;

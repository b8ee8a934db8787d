//! Catalogue entries: the operators' only way to change behaviour.
//!
//! Every [`Entry`] names an owner, a class and its limits. An entry is a [`Class`], a [`Service`] or a [`Workspace`].
//! [`check`] reports everything that is wrong in a set of files at once, and [`difference`] shows what a new version
//! of an entry changes.

mod check;
mod difference;
mod entry;
mod finding;
mod schema;
mod source;
mod stored;

pub use check::{Check, check};
pub use difference::{Change, difference};
pub use entry::{Backend, Class, Entry, Limits, Model, Objective, Plan, Service, Workspace};
pub use finding::Finding;
pub use source::Source;
pub use stored::{Past, Stored};

/// Revision that the platform gave to a version of an entry; higher is newer.
pub type Revision = u64;

/// Name of an entry, unique within its kind.
pub type Name = String;

//! Catalogue entries, the only configuration that operators change at run time.
//!
//! Every [`Entry`] names an owner, a class and its limits. An entry is a [`Class`], a [`Service`] or a [`Workspace`].
//! [`check`] validates a set of files and reports all errors at once. [`difference`] lists the fields that a new
//! version of an entry changes. [`Stored`] is the form in which the platform keeps an entry and its history.

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

/// Revision that the platform assigns to a version of an entry; a higher revision is newer.
pub type Revision = u64;

/// Name of an entry, unique within its kind.
pub type Name = String;

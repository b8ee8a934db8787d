//! Catalogue entries, the only configuration that operators change at run time.
//!
//! Every [`Entry`] names an owner, a class and its limits. An entry is a [`Class`], a [`Service`] or a [`Workspace`].
//! [`check`] validates a set of files and reports all errors at once. [`diff`] lists the fields that a new
//! version of an entry changes. [`StoredEntry`] is the form in which the platform keeps an entry and its history.

mod check;
mod diff;
mod entry;
mod finding;
mod schema;
mod source;
mod stored;

pub use check::{CheckResult, check};
pub use diff::{FieldChange, diff};
pub use entry::{Backend, Class, Entry, Limits, Model, Objective, Plan, Service, Workspace};
pub use finding::Finding;
pub use source::SourceFile;
pub use stored::{PastVersion, StoredEntry};

/// Revision that the platform assigns to a version of an entry; a higher revision is newer.
pub type Revision = u64;

/// Name of an entry, unique within its kind.
pub type Name = String;

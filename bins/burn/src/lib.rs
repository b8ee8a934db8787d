//! The operators' report on service-level burn.
//!
//! [`fetch`] reads the objectives from the platform and the counters from the entries, [`file`](mod@file) keeps samples as JSON
//! lines, and [`Report`] computes budgets and burn rates from samples without any I/O. [`text`] and [`picture`] show a
//! report; its JSON form is that of [`Report`].

pub mod fetch;
pub mod file;
pub mod increment;
pub mod metrics;
pub mod options;
pub mod outcome;
pub mod picture;
pub mod report;
pub mod sample;
pub mod text;
pub mod thin;
pub mod window;

pub use report::Report;
pub use sample::Sample;
pub use window::Pair;

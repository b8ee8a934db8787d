//! Service-level burn report for operators.
//!
//! [`fetch`] reads the objectives from the platform and the counters from the entries, [`file`](mod@file) stores
//! samples as JSON lines, and [`Report`] computes budgets and burn rates from samples without any I/O. [`text`] and
//! [`picture`] render a report; its JSON form is the serialization of [`Report`].

pub mod downsample;
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
pub mod window;

pub use report::Report;
pub use sample::Sample;
pub use window::WindowPair;

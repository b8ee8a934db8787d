//! The process on a target VM, in front of an engine or a plain service.
//!
//! Each module runs one or more tasks of the event loop; they share one [`Shared`]. Decisions are made by the crates
//! `gate`, `burst` and `claim`; the modules here do their I/O.

pub mod call;
pub mod chunk_server;
pub mod claims;
pub mod engine;
pub mod fencing_number;
pub mod metrics;
pub mod operator;
pub mod process;
pub mod report;
pub mod rollout;
pub mod schedule;
pub mod settings;
pub mod shared;
pub mod staging;
pub mod transfer;
pub mod turn;

pub use metrics::Metrics;
pub use node::Notify;
pub use schedule::Schedule;
pub use settings::{Interface, Settings};
pub use shared::Shared;

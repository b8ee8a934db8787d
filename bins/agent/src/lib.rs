//! The agent process on a target VM, in front of an engine or a plain service.
//!
//! Most modules run one or more tasks of the event loop, which share one [`Shared`]. The crates `gate`, `burst` and
//! `claim` make the decisions; the modules here perform the I/O. [`rollout`] is the agent on the users' platform, with
//! its own tasks and state.

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
pub use schedule::ReportSchedule;
pub use settings::{Interface, Settings};
pub use shared::Shared;

//! Request scheduling: decides which target serves a request, which requests wait and which are rejected.
//!
//! A [`Scheduler`] holds the current [`Config`], the [`Target`]s of each service and the requests of one entry. It does
//! no I/O: callers pass in events with the current time and carry out the [`Decision`]s that it returns. For engines
//! that generate tokens, [`Engine`] estimates the time to the first token. A [`Health`] record per target ejects
//! targets that fail, and a [`Budget`] limits retries.

mod admission;
mod budget;
mod config;
mod engine;
mod health;
mod path;
mod queue;
mod scheduler;
mod target;
mod versions;
mod work;

pub use budget::{Budget, Repeats};
pub use config::{Config, Engine, Kind, Limits, Model, Origin, Route, Service, Source, Tenant};
pub use health::{Failure, Health};
pub use scheduler::{Decision, Outcome, Place, Question, Scheduler};
pub use target::{Load, Target, TargetId};
pub use versions::Versions;
pub use work::{Reason, RequestId, Work};

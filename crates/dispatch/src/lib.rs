//! Decides which target serves a request, which requests wait and which are refused.
//!
//! A [`Scheduler`] holds the [`Config`] in force, the [`Target`]s of each service and the requests of one entry. It is
//! told events together with the present time and returns [`Decision`]s; it does no I/O. Where an engine generates
//! tokens, [`Engine`] forecasts when a request would get its first one; a [`Health`] record per target keeps requests
//! away from targets that fail, and a [`Budget`] limits repeated requests.

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

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
mod pressure;
mod prompt;
mod queue;
mod region;
mod request;
mod scheduler;
mod target;
mod usage;
mod versions;

pub use budget::{Budget, RetryLimit};
pub use config::{
    Config, Engine, Limits, Model, Origin, RequestKind, Route, Service, Tenant, WeightSource,
};
pub use health::{Failure, Health};
pub use region::{AllowedRegions, Region, RegionMap};
pub use request::{Reason, RequestContext, RequestId};
pub use scheduler::{Decision, Outcome, PermitQuery, Placement, Scheduler};
pub use target::{Load, Target, TargetId};
pub use versions::RequiredVersions;

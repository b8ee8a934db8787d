//! Load and experiments with real processes on loopback.
//!
//! A [`Deployment`] starts a whole system from a [`Plan`]. A [`Process`] is a child that is killed when its guard is dropped. A [`Network`] gives each VM of an experiment a
//! loopback address. [`burst::run`] measures how a new version spreads, [`slopes::run`] what control
//! costs an entry, [`view::run`] what it costs an agent, [`requests::run`] what live requests cost. A [`Load`] sends live requests at a steady rate and returns a [`Tally`] of their outcomes.

mod address;
pub mod burst;
mod catalogue;
mod deployment;
mod fault;
mod plan;
mod process;
mod replicas;
pub mod requests;
mod revisions;
mod sample;
pub mod slopes;
mod standins;
mod traffic;
pub mod view;

pub use address::{
    BACKEND_CONTROL_PORT, BACKEND_PORT, CALL_PORT, Network, OPERATOR_PORT, ORDER_PORT, PEER_PORT,
};
pub use deployment::{Deployment, Error, MODEL, MODEL_SERVICE, Member, PLAIN_SERVICE, WORKSPACE};
pub use plan::{Fault, Plan};
pub use process::{Process, Usage};
pub use replicas::Replicas;
pub use revisions::Revisions;
pub use sample::Percentiles;
pub use traffic::{Load, Record, Tally};

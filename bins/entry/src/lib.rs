//! The entry: takes callers' requests and routes them to targets.
//!
//! A [`Gateway`] joins the decisions of the crate `route` with HTTP: it submits each caller's request, sends it to the
//! target that the router names, and passes the answer on. [`Shared`](shared::Shared) holds what the peer port learns
//! about targets and the catalogue; [`peer`] is that port. [`serve`] opens the ports and stops gracefully.

mod answer;
mod attempt;
mod call;
mod gateway;
mod in_progress;
pub mod ingress;
mod metrics;
mod passing;
pub mod peer;
mod serve;
mod settings;
pub mod shared;
mod status;

pub use gateway::Gateway;
pub use serve::{serve, serve_on};
pub use settings::{Interface, Settings};

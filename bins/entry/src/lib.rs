//! The entry: accepts callers' requests and routes them to targets.
//!
//! A [`Gateway`] connects the router of the crate `route` to HTTP: it submits each caller's request to the router,
//! sends it to the target that the router selects, and relays the response. The module [`peer`] implements the peer
//! port and writes the targets and catalogue entries that it receives to [`SharedState`](shared::SharedState).
//! [`serve()`] opens the ports and shuts down gracefully.

mod attempt;
mod call;
mod gateway;
mod in_progress;
pub mod ingress;
mod metrics;
pub mod peer;
mod relayed_body;
mod response;
mod serve;
mod settings;
pub mod shared;
mod status;

pub use gateway::Gateway;
pub use serve::{serve, serve_on};
pub use settings::{Interface, Settings};

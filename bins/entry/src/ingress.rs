//! The entry on the users' platform: takes callers' requests and passes them to targets.
//!
//! A [`Gateway`] joins the decisions of the crate `dispatch` with HTTP. What the operators and the targets write into
//! the platform's store reaches it through [`store`], the load of engines through [`loads`]. [`serve`] opens the ports
//! and stops gracefully.

mod attempt;
pub mod buffering;
mod call;
mod end;
pub mod events;
mod gateway;
mod hedge;
mod loads;
mod metrics;
mod placed;
mod plain;
mod reader;
mod relay;
mod relays;
mod run;
mod serve;
mod settings;
mod store;
mod stream;
mod subscriptions;
mod targets;
mod unfinished;

pub use gateway::Gateway;
pub use relays::{Relays, Source};
pub use serve::serve;
pub use settings::{Bounds, Settings};
pub use subscriptions::Subscriptions;
pub use targets::{Change, Registry};

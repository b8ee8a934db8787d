//! The entry on the users' platform: accepts callers' requests and forwards them to targets.
//!
//! A [`Gateway`] carries out the scheduling decisions of the crate `dispatch` over HTTP. The module `store` follows the
//! objects that operators and targets write to the platform's store, and `loads` receives the load of engines.
//! [`serve`] opens the ports and shuts down gracefully.

mod attempt;
pub mod buffering;
mod call;
mod crashes;
mod disconnect;
mod error;
mod evacuations;
pub mod events;
mod exchange;
mod gateway;
mod hedge;
mod loads;
mod metrics;
mod neighbours;
mod objects;
mod overload;
mod placed;
mod readiness;
mod serve;
mod session;
mod settings;
mod stop;
mod store;
mod stream;
mod stream_attempt;
mod subscriptions;
mod targets;
mod unary;
pub mod verdict;
mod watches;

pub use gateway::Gateway;
pub use serve::serve;
pub use settings::{Bounds, CallerLimits, Settings};
pub use subscriptions::Subscriptions;
pub use targets::{Insertion, Registrations, Removal};

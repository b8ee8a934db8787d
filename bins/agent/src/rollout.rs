//! The agent on the users' platform: loads required versions of weights into the engine on its VM and reports the
//! engine's load to entries.
//!
//! [`watch`] reads the required versions and the registered targets. [`weights`] fetches the chunks of a version from
//! other agents or the origin. [`switch`] stages them in the engine and orders it to load them when its turn comes.
//! [`loads`] polls the engine's state and sends it to subscribed entries.

mod engine;
mod loads;
mod serve;
mod settings;
mod state;
mod switch;
mod watch;
mod weights;

pub use serve::serve;
pub use settings::Settings;

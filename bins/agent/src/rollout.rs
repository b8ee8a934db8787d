//! The agent on the users' platform: loads required versions of weights into the engine on its VM and reports the
//! engine's load to entries.
//!
//! [`watch`] reads the required versions and the registered targets. [`weights`] fetches the chunks of a version from
//! other agents or the origin. [`switch`] loads them when the engine's turn comes, with a session of [`staging`] that
//! stages them in the engine, verifies them and orders the engine to load them. [`loads`] polls the engine's state and
//! sends it to subscribed entries.

mod engine;
mod evidence;
mod loads;
mod serve;
mod settings;
mod staging;
mod state;
mod switch;
mod watch;
mod weights;

pub use serve::serve;
pub use settings::Settings;

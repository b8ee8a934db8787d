//! The agent on the users' platform: brings named versions of weights into the engine beside it, and tells entries the
//! engine's load.
//!
//! [`watch`] follows what operators name and which targets live. [`weights`] gets the parts of a version, from other
//! agents or the origin. [`switch`] stages them in the engine and orders it to load them when its turn comes. [`loads`]
//! asks the engine for its state and sends it to the entries that subscribed.

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

//! Explains what happened from the logs of several processes.
//!
//! [`Line`] is a parsed log line. A [`Timeline`] holds the lines with the id of a request and, from around the same
//! time, lines about its targets and events that affected the same processes as a whole, such as a change of the
//! configuration. A [`Spread`] shows when a version of the configuration came into force at each entry, and from where.

mod line;
mod spread;
mod timeline;

pub use line::Line;
pub use spread::{Arrival, Spread};
pub use timeline::Timeline;

//! Reconstructs the timeline of a request from the logs of several processes.
//!
//! [`Line`] is a parsed log line. A [`Timeline`] holds the lines with the id of a request and, from around the same
//! time, lines about its targets and events that affected the same processes as a whole, such as a change of the
//! configuration.

mod line;
mod timeline;

pub use line::Line;
pub use timeline::Timeline;

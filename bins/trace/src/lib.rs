//! Tells the story of a request from the logs of several processes.
//!
//! [`Line`] is one line of a log. A [`Story`] holds the lines that name a request, and those that tell what happened at
//! the same time to the targets that it was sent to, to the configuration and to the store.

mod line;
mod story;

pub use line::Line;
pub use story::Story;

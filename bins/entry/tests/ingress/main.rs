//! Tests of the entry on the users' platform.

mod events;
mod places;
mod targets;

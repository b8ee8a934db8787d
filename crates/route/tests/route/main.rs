//! Tests of the router.

mod common;
mod events;
mod queue;
mod targets;

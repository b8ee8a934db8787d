//! Tests of the entry on the users' platform.

mod events;
mod subscriptions;
mod targets;

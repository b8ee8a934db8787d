//! Tests of the entry on the users' platform.

mod events;
mod holding;
mod relays;
mod subscriptions;
mod targets;

//! Tests of the entry on the users' platform.

mod events;
mod relays;
mod subscriptions;
mod targets;

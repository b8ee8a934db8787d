//! Tests of the entry on the users' platform.

mod buffering;
mod events;
mod relays;
mod subscriptions;
mod targets;

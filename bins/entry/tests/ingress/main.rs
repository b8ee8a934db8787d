//! Tests of the ingress.

mod buffering;
mod events;
mod relays;
mod subscriptions;
mod targets;
mod verdict;

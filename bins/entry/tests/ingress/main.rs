//! Tests of the ingress.

mod buffering;
mod events;
mod subscriptions;
mod targets;
mod verdict;

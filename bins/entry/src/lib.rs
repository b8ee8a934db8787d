//! The entry: takes callers' requests and routes them to targets.

pub mod shared;

//! The entry against agents that are scripted byte by byte.

mod common;
mod requests;
mod shutdown;

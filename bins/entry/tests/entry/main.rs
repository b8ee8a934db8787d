//! Tests of the entry with agents whose responses are scripted byte by byte.

mod common;
mod requests;
mod shutdown;

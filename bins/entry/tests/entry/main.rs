//! Tests of the entry with agents whose responses are scripted byte by byte.

mod common;
mod cuts;
mod requests;
mod shutdown;

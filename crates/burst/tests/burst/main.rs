//! Tests of the decisions of a transfer.

mod downloader;
mod fleet;
mod intake;
mod order;
mod outage;
mod permit;
mod sharing;
mod support;

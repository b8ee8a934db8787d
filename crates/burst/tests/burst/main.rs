//! Integration tests of the transfer decisions.

mod downloader;
mod fleet;
mod intake;
mod order;
mod outage;
mod permit;
mod sharing;
mod support;

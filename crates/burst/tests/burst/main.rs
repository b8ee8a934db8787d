//! Integration tests of the transfer decisions.

mod downloader;
mod fleet;
mod order;
mod outage;
mod permit;
mod receive_limiter;
mod sharing;
mod support;

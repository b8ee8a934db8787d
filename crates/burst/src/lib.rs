//! Decisions of a weights transfer.
//!
//! A version's chunks are grouped into [`Stripes`]. For each stripe, [`Members`] orders the agents of a failure domain
//! and the domains. A [`Downloader`] decides which chunk to request where, an [`Uploader`] answers such requests,
//! [`permit::PermitObject`] counts the draws from the origin, a [`TokenBucket`] limits the rate that is sent and an [`ReceiveLimiter`] what is
//! received. All of them take events and
//! the current time and do no I/O.

mod action;
mod bucket;
mod downloader;
mod draw;
mod hash;
mod members;
mod peers;
pub mod permit;
mod receive_limiter;
mod scheduler;
mod stripes;
mod uploader;
mod version;

pub use action::{Action, Answer, Complete, RequestId, Source};
pub use bucket::{Ticket, TokenBucket};
pub use downloader::{Downloader, Setup, Stats};
pub use draw::{Grant, MAX_RETRY_DELAY};
pub use members::{Members, Peer};
pub use receive_limiter::ReceiveLimiter;
pub use scheduler::MAX_UPSTREAM_REQUESTS;
pub use stripes::{MAX_STRIPES, StripeIndex, Stripes};
pub use uploader::{MAX_HOLDERS, Requester, Response, UploadSlot, Uploader};
pub use version::{Error, Version};

//! Decision logic for transferring the weights of a model version between agents.
//!
//! A version's chunks are grouped into [`Stripes`]. For each stripe, [`Members`] defines a rendezvous order of the
//! agents of a failure domain and of the domains. A [`Downloader`] decides which chunk to request from which source, an
//! [`Uploader`] answers such requests, a [`permit::PermitObject`] limits how often a stripe is fetched from the origin,
//! a [`TokenBucket`] limits the rate of transfers and a [`ReceiveLimiter`] the number of concurrent receives. They take
//! events and the current time and perform no I/O.
//!
//! A *burst* is the transfer of one version to all agents that want it. A *draw* is the fetch of a chunk from the
//! origin.

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

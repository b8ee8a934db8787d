//! Decisions of a weights transfer.
//!
//! A version's chunks are grouped into [`Stripes`]. For each stripe, [`Members`] orders the agents of a failure domain
//! and the domains. A [`Downloader`] decides which chunk to request where, an [`Uploader`] answers such requests,
//! [`permit::Draws`] counts the draws from the origin, a [`Bucket`] limits the rate that is sent and an [`Intake`] what is
//! received. All of them take events and
//! the current time and do no I/O.

mod action;
mod bucket;
mod downloader;
mod draw;
mod hash;
mod intake;
mod members;
mod peers;
pub mod permit;
mod scheduler;
mod stripes;
mod uploader;
mod version;

pub use action::{Action, Answer, Complete, RequestId, Source};
pub use bucket::{Bucket, Ticket};
pub use downloader::{Downloader, Setup, Stats};
pub use draw::{Grant, LONGEST_PAUSE};
pub use intake::Intake;
pub use members::{Members, Peer};
pub use scheduler::UPSTREAM;
pub use stripes::{MAX_STRIPES, StripeIndex, Stripes};
pub use uploader::{Asker, MAX_HOLDERS, Response, Slot, Uploader};
pub use version::{Error, Version};

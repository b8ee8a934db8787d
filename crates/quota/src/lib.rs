//! Shares the requests a second that a target takes among all entries.
//!
//! A target in need, or one that has just started, takes fewer requests a second than callers would send it. That holds
//! for all entries together. An entry's own share of the limit would not do: with 600 entries and a limit of one request
//! a second, one request from each is far too many, and how many entries have work for the target changes all the time.
//!
//! So one process hands out the target's requests: an [`Issuer`] grants permits at the rate of the limit, and an entry
//! sends nothing without one of its [`Permits`]. A permit is for one request and runs out a fixed time after the entry
//! asked for it, by the entry's own clock, so that a process that stood still, or a grant that was held up, can't use
//! what the issuer has long granted again. An issuer that starts has nothing to grant yet: whatever the one before it
//! granted was within the limit, and the two together are as well.
//!
//! What targets say of their limit is a [`Statement`]. The one with the highest number holds, so entries and issuers that
//! hear of several, late or in another order, agree.

mod issuer;
mod permits;
mod statement;

pub use issuer::{Grant, Issuer, Role, Start};
pub use permits::{Ask, Permits};
pub use statement::{Limit, Statement};

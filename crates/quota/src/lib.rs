//! Distributed rate limiting: all entries together keep to a target's limit of requests per second.
//!
//! An overloaded target, or one that has just started, accepts fewer requests per second than callers would send it.
//! The limit applies to all entries together. A fixed share per entry doesn't work: with 600 entries and a limit of one
//! request per second, one request from each is far too many, and the number of entries with requests for the target
//! changes all the time.
//!
//! Instead, one process issues the target's permits: an [`Issuer`] grants them at the rate of the limit, and an entry
//! sends no request without one of its [`Permits`]. A permit is for one request and expires a fixed time after the
//! entry requested it, by the entry's own clock, so that neither a process that was suspended nor a delayed grant can
//! use permits which the issuer has since granted again. An issuer starts without permits: those granted by its
//! predecessor were within the limit, and so are the grants of both together.
//!
//! Only entries whose requests lack a permit request any. The pause between their requests grows with their number, so
//! an entry whose demand ends tells the issuer, and one that becomes silent is soon no longer counted.
//!
//! The limits that targets advertise are [`AdvertisedLimit`]s. The one with the highest number is in force, so entries
//! and issuers agree even if they receive several, late or out of order.

mod advertised_limit;
mod issuer;
mod permits;

pub use advertised_limit::{AdvertisedLimit, Limit};
pub use issuer::{Grant, Issuer, Role, TargetStart};
pub use permits::{PermitRequest, Permits};

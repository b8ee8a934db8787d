//! Client of the platform's object API.
//!
//! Objects have a kind, a name, a JSON value and a revision; revisions are global and rise with every write. A
//! [`Client`] tells apart what happened to a write: [`Put::Accepted`], [`Put::Conflict`], or an [`Error`] that says
//! whether the write may have taken effect.

mod client;
mod object;

pub use client::{Client, Error};
pub use object::{Condition, Listing, Object, Put, State, Vm};

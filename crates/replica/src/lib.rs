//! Copies of the store's objects that entries pass on to each other.
//!
//! Every entry holds a [`Replica`] of the objects of all [`Kind`]s. A few entries of a failure domain read them from the
//! store; all others ask two entries for changes ([`Query`], [`Answer`]), and pass them on in the same form. Objects are
//! sent as differences to the version that the receiver has.
//!
//! Each entry knows when the store was last heard for a kind, by itself or by the entry from which the news came
//! ([`Heard`]). That age alone decides who reads the store: [`Peers`] lets entries take over one after the other as it
//! grows. The crate does no I/O.

mod held;
mod kind;
mod message;
mod mirror;
mod peers;
mod replica;

pub use kind::Kind;
pub use message::{Answer, Query};
pub use mirror::Mirror;
pub use peers::Peers;
pub use replica::{Error, Heard, Merge, Replica};

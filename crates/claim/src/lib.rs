//! Interval claims of calls that must not be repeated.
//!
//! The keys of a service fall into 16 slots; see [`slot`].

mod slot;

pub use slot::{SLOTS, issued, slot};

//! Decisions of the gate in front of an engine or a plain service.
//!
//! A [`Controller`] takes events and the time and returns the actions that the agent must carry out; it does no I/O.
//! Its [`Gate`] admits a request only while the engine serves exactly the request's pin. Each admitted request holds a
//! [`Call`], which counts as in progress until it is dropped.
//!
//! # Switching versions
//!
//! The controller asks for the wanted weights to be staged, waits for its [`turn`], drains, gives the activate order
//! and opens once the engine confirms the digest. The order is given only while no request is in progress. After an
//! order whose answer was lost, the gate stays closed until a status names the wanted weights or the order was repeated.
//!
//! # Loss of contact
//!
//! Knowledge of the engine expires [`STATUS_LIMIT`] after the poll that gave it was sent, so an agent that was paused
//! refuses requests until a new poll is answered. A plain service has no status: a poll connects to it, and the gate is
//! closed while it accepts no connections.

mod controller;
mod event;
mod gate;
pub mod turn;

pub use controller::{Controller, DRAIN_LIMIT, POLL_INTERVAL, RETRY_INTERVAL, STATUS_LIMIT};
pub use event::{Action, Backend, Event, Mismatch, OrderAnswer, Status};
pub use gate::{Call, Calls, Closed, Draining, Gate, Open, Refusal};

/// Identity of one run of an engine; it changes with each restart.
pub type Incarnation = u64;

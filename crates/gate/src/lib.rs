//! Admission control in front of an engine or a plain service.
//!
//! A [`Controller`] handles events and returns the actions that the agent must carry out; it does no I/O. Its [`Gate`]
//! admits a request only while the engine serves exactly the pin of the request. Each admitted request holds a
//! [`InFlightGuard`], which counts as in progress until it is dropped.
//!
//! # Switching versions
//!
//! The controller requests the staging of the wanted weights, waits for its [`turn`], drains, sends the activate order
//! and opens once the engine confirms the digest. The order is sent only while no request is in progress. After an
//! order whose answer was lost, the gate stays closed until a status names the wanted weights or the order is repeated.
//!
//! # Loss of contact
//!
//! A status of the engine expires [`STATUS_MAX_AGE`] after its poll was sent, so an agent that was paused rejects
//! requests until a new poll is answered. A plain service has no status. A poll connects to it, and the gate is closed
//! while it accepts no connections.

mod controller;
mod event;
mod gate;
pub mod turn;

pub use controller::{Controller, DRAIN_TIMEOUT, POLL_INTERVAL, RETRY_INTERVAL, STATUS_MAX_AGE};
pub use event::{Action, Backend, Event, Mismatch, OrderAnswer, Status};
pub use gate::{Closed, Draining, Gate, InFlightCount, InFlightGuard, Open, Refusal};

/// Identifies one run of an engine; changes with each restart.
pub type Incarnation = u64;

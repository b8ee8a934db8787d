//! Events and actions of the controller.

use weights::{Digest, Pin};

use crate::Incarnation;

/// Kind of the backend behind the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backend {
    /// An engine that serves the weights of a pin.
    Engine,
    /// A service without weights; its requests carry no pin.
    Plain,
}

/// Status of an engine, or [`Status::REACHABLE`] for a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Identifies the run of the engine.
    pub incarnation: Incarnation,
    /// Digest of the weights in service.
    pub active: Option<Digest>,
}

impl Status {
    /// Status of a plain service that accepts connections.
    pub const REACHABLE: Self = Self {
        incarnation: 0,
        active: None,
    };
}

/// Result of an activate order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine serves the ordered weights.
    Confirmed(Status),
    /// The engine has accepted an order with a higher fencing number.
    Stale,
    /// The engine rejected the order for another reason, such as incomplete weights.
    Refused,
    /// No answer was received; the order may have taken effect or may still do so.
    Lost,
}

/// Input of the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed or a request ended.
    Tick,
    /// The catalogue names the weights to serve; `None` once the service is retired.
    Wanted(Option<Pin>),
    /// The catalogue entry lists the pins that the wanted one replaced, newest first.
    Replaced(Vec<Pin>),
    /// The platform assigned the fencing number of this agent.
    Number(u64),
    /// All chunks of the weights are in the engine of this incarnation.
    Staged(Digest, Incarnation),
    /// Whether it is this target's turn to switch, by [`turn::predecessor`](crate::turn::predecessor).
    Turn(bool),
    /// The poll with this number ended; `None` if the backend could not be reached.
    Polled(u64, Option<Status>),
    /// A connection to the backend failed.
    ConnectionFailed,
    /// The order with this number ended.
    Ordered(u64, OrderAnswer),
    /// A stop of the agent was requested.
    Leave,
}

/// Output of the controller, to be carried out by the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Query the status of an engine, or connect to a plain service, and reply with [`Event::Polled`].
    Poll(u64),
    /// Stage the weights in the engine of this incarnation, and reply with [`Event::Staged`].
    Stage(Pin, Incarnation),
    /// Send the activate order, and reply with [`Event::Ordered`].
    Activate {
        /// Number of the order, to be included in the reply.
        order: u64,
        /// Weights to activate.
        pin: Pin,
        /// Fencing number of the order.
        number: u64,
    },
    /// Report the new state to the entries without delay.
    Report,
    /// Orders with a higher fencing number exist; this agent sends no more orders and admits no more requests.
    Superseded,
    /// A stop was requested and no request is in progress.
    Finished,
}

/// Error of an answer that was computed from other weights than requested.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("engine answered from weights {found:?}, but the request is for {expected}")]
pub struct Mismatch {
    /// Pin of the request.
    pub expected: Pin,
    /// Digest in the answer.
    pub found: Option<Digest>,
}

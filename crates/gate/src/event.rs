//! What the controller is told and what it asks for.

use weights::{Digest, Pin};

use crate::Incarnation;

/// What stands behind the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backend {
    /// An engine that serves the weights of a pin.
    Engine,
    /// A service without weights; its requests carry no pin.
    Plain,
}

/// What an engine says of itself; [`Status::REACHED`] for a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Identity of the engine's run.
    pub incarnation: Incarnation,
    /// Digest of the weights in service.
    pub active: Option<Digest>,
}

impl Status {
    /// Status of a plain service that accepts connections, which is all that is known of one.
    pub const REACHED: Self = Self {
        incarnation: 0,
        active: None,
    };
}

/// How an activate order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine serves the ordered weights.
    Confirmed(Status),
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine refused the order for another reason, such as incomplete weights.
    Refused,
    /// No answer came; the order may take effect, now or later.
    Lost,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed or a request ended.
    Tick,
    /// The catalogue names the weights to serve; `None` once the service is retired.
    Wanted(Option<Pin>),
    /// The catalogue's entry lists the pins that the wanted one replaced, newest first.
    Replaced(Vec<Pin>),
    /// The platform gave the fencing number of this agent.
    Number(u64),
    /// All chunks of the weights are in the engine of this incarnation.
    Staged(Digest, Incarnation),
    /// Whether it is this target's turn to switch, by [`turn::predecessor`](crate::turn::is_due).
    Turn(bool),
    /// The poll of this number was answered; `None` when the backend could not be reached.
    Polled(u64, Option<Status>),
    /// A connection to the backend failed.
    ConnectionFailed,
    /// The order of this number ended.
    Ordered(u64, OrderAnswer),
    /// The agent was asked to stop.
    Leave,
}

/// What the agent must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask an engine for its status, or connect to a plain service, and answer with [`Event::Polled`].
    Poll(u64),
    /// Bring the weights into the engine of this incarnation and answer with [`Event::Staged`].
    Stage(Pin, Incarnation),
    /// Give the activate order and answer with [`Event::Ordered`].
    Activate {
        /// Number of the order, for the answer.
        order: u64,
        /// Weights to activate.
        pin: Pin,
        /// Fencing number to send.
        number: u64,
    },
    /// Report the new state to the entries at once.
    Report,
    /// A newer giver of orders exists; this agent gives no more orders and admits no more requests.
    Superseded,
    /// The agent was asked to stop and no request is in progress.
    Finished,
}

/// An answer that was made from other weights than its request asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("the engine answered from weights {found:?}, the request asked for {expected}")]
pub struct Mismatch {
    /// Pin of the request.
    pub expected: Pin,
    /// Digest that the answer named.
    pub found: Option<Digest>,
}

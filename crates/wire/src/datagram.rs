//! What agents tell entries of their engines' load, and entries tell agents of what operators wrote.
//!
//! An entry sends [`Datagram::Subscribe`] to an agent every second, or every three seconds in another failure domain; for
//! a few seconds after each, the agent sends [`Datagram::Load`] when its engine's load has changed. A lost datagram is
//! made up for by the next one.
//!
//! A subscription carries what the agent needs of the configuration. If all agents read the configuration from the store
//! themselves, a large one would fill the links between regions just when a new version of the weights needs them.

use std::net::SocketAddr;

use dispatch::WeightSource;
use quota::{AdvertisedLimit, Grant, PermitRequest, Role, TargetStart};
use serde::{Deserialize, Serialize};

/// Largest encoded datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1200;

/// A message between an entry and an agent over UDP.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// The sender wants to be told the load.
    Subscribe(Subscription),
    /// The load of the sender's engine.
    Load(Load),
    /// The entries of the sender's failure domain that subscribed there, sent to each of them.
    Entries(Vec<SocketAddr>),
    /// An entry asks for permits of a target that takes a limited number of requests.
    Ask(Question),
    /// The answer to such a question.
    Grant {
        /// The target.
        target: TargetStart,
        /// The answer.
        grant: Grant,
    },
}

/// A question for permits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Question {
    /// The target.
    pub target: TargetStart,
    /// Whether the receiver is the only issuer that the target can have.
    pub role: Role,
    /// What is asked.
    pub ask: PermitRequest,
}

/// What an entry tells an agent with each subscription.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Subscription {
    /// Failure domain of the entry: an agent tells those of its own domain each change, and others less often.
    pub domain: String,
    /// Versions that operators named.
    pub named: Vec<Named>,
    /// Where the agent's engine gets its weights, by the configuration that the entry has in force.
    pub source: Option<WeightSource>,
    /// Whether the entry passes on what it reads from the store, on the TCP port of the same number.
    pub passes_on: bool,
    /// Whether the entry reaches the store, so that the agent need not ask it for the versions and the configuration.
    pub in_touch: bool,
}

/// A version of weights that operators named.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Named {
    /// The model.
    pub model: String,
    /// Number of the version.
    pub version: u64,
    /// Milliseconds since it was named; absent when the sender does not know.
    pub age_ms: Option<u32>,
}

/// Load of an engine at a moment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Address at which the engine takes requests.
    pub engine: SocketAddr,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the engine's queue.
    pub waiting: u32,
    /// Factor by which the engine is slower than usual.
    pub pace: f32,
    /// Whether the engine takes new work.
    pub accepting: bool,
    /// Milliseconds until it takes none for a while, where that is known.
    pub closes_ms: Option<u32>,
    /// Models that the engine holds and their versions.
    pub weights: Vec<(String, u64)>,
    /// Versions that the agent saw operators name.
    pub named: Vec<Named>,
    /// Entries that the agent tells its load.
    pub entries: u16,
    /// What targets said of their limits to entries that asked the agent for permits.
    pub limits: Vec<(TargetStart, AdvertisedLimit)>,
}

impl Datagram {
    /// Returns the encoded form.
    ///
    /// # Errors
    ///
    /// Fails when it is longer than [`MAX_DATAGRAM`].
    ///
    /// ```
    /// use wire::{Datagram, Subscription};
    ///
    /// let subscribe = Datagram::Subscribe(Subscription::default());
    /// let bytes = subscribe.encode().unwrap();
    /// assert_eq!(Datagram::decode(&bytes).unwrap(), subscribe);
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        match bytes.len() > MAX_DATAGRAM {
            true => Err(postcard::Error::SerializeBufferFull),
            false => Ok(bytes),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when `bytes` are no datagram of this form.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

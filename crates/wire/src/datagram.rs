//! UDP messages: agents report their engines' load to entries, and entries forward operators' settings to agents.
//!
//! An entry sends [`Datagram::Subscribe`] to an agent every second, or every three seconds in another failure domain.
//! For a few seconds after each subscription, the agent sends [`Datagram::Load`] whenever its engine's load changes. A
//! lost datagram needs no retransmission, because the next one replaces it.
//!
//! An entry that sees a target crash tells some agents of each failure domain which prompts it was serving, and these tell
//! the entries that want to know. Agents keep this [`Datagram::Evidence`] for entries that missed it or start later.
//!
//! A subscription carries the part of the configuration that the agent needs. If every agent read the configuration
//! from the store, a large one would saturate the links between regions just when these transfer a new version of the
//! weights.

use std::net::SocketAddr;

use dispatch::WeightSource;
use quarantine::Evidence;
use quota::{AdvertisedLimit, Grant, PermitRequest, Role, TargetStart};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1200;
/// Maximum number of parts whose evidence fits into a datagram.
const PARTS_PER_DATAGRAM: usize = 4;

/// A message between an entry and an agent over UDP.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// Subscribes the sender to load reports.
    Subscribe(Subscription),
    /// Load of the sender's engine.
    Load(Load),
    /// Subscribed entries in the agent's own failure domain, sent to each of them.
    Entries(Vec<SocketAddr>),
    /// Request of an entry for permits to use a target that accepts a limited number of requests.
    Ask(PermitQuery),
    /// Response to [`Datagram::Ask`].
    Grant {
        /// Target that the permits are for.
        target: TargetStart,
        /// Permits granted.
        grant: Grant,
    },
    /// Parts of prompts that are blamed for crashes, as far as the sender knows them.
    Evidence {
        /// What the sender knows; several datagrams carry what doesn't fit into one.
        evidence: Vec<Evidence>,
        /// Whether the sender, an entry, wants what the agent knows and learns.
        subscribe: bool,
    },
    /// The sender, an entry, has begun to hear the store, and sends this to the other entries of its failure domain.
    Reader,
    /// Asks an agent of the sender's failure domain for the entries there. An entry that restarts may be no new subscriber to
    /// the agent, which then sends no [`Datagram::Entries`] for a while.
    Discover,
}

/// Request for permits to use a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PermitQuery {
    /// Target that the permits are for.
    pub target: TargetStart,
    /// Role of the receiver: whether it is the only possible issuer of the target's permits.
    pub role: Role,
    /// Number of permits wanted, and what the sender knows of the target's limit.
    pub ask: PermitRequest,
}

/// Contents of a subscription of an entry to an agent's load reports.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Subscription {
    /// Failure domain of the entry; an agent reports every change to entries of its own domain, fewer to others.
    pub domain: String,
    /// Versions of weights that operators set.
    pub named: Vec<NamedVersion>,
    /// Source of the weights of the agent's engine, according to the entry's current configuration.
    pub source: Option<WeightSource>,
    /// Whether the entry serves what it reads from the store to agents, on the TCP port with the same number.
    pub passes_on: bool,
    /// Whether the entry reaches the store; if so, the agent need not read versions and configuration from it itself.
    pub in_touch: bool,
}

/// A version of weights that operators set.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NamedVersion {
    /// The model.
    pub model: String,
    /// Version number.
    pub version: u64,
    /// Milliseconds since the version was set; `None` if the sender doesn't know.
    pub age_ms: Option<u32>,
}

/// Load of an engine at one point in time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Address on which the engine accepts requests.
    pub engine: SocketAddr,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
    /// Slowdown factor of the engine; 1 is its usual speed.
    pub pace: f32,
    /// Whether the engine accepts new requests.
    pub accepting: bool,
    /// Milliseconds until the engine temporarily stops accepting requests, if known.
    pub closes_ms: Option<u32>,
    /// Models that the engine has loaded, with their versions.
    pub weights: Vec<(String, u64)>,
    /// Versions set by operators, as far as the agent knows them.
    pub named: Vec<NamedVersion>,
    /// Number of entries that the agent reports its load to.
    pub entries: u16,
    /// Limits that targets stated to the entries that requested permits from the agent.
    pub limits: Vec<(TargetStart, AdvertisedLimit)>,
}

impl Datagram {
    /// Returns the encoded form.
    ///
    /// # Errors
    ///
    /// Fails when the encoded datagram is longer than [`MAX_DATAGRAM`].
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

    /// Returns the datagrams that carry `evidence`.
    pub fn evidence(evidence: &[Evidence]) -> impl Iterator<Item = Self> {
        let chunks = evidence.chunks(PARTS_PER_DATAGRAM);
        chunks.map(|chunk| Self::Evidence {
            evidence: chunk.to_vec(),
            subscribe: false,
        })
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when `bytes` isn't a valid datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

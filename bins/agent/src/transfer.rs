//! Transfer of weights from other agents and the weight store into the engine.
//!
//! The rest of the agent uses the handle [`Transfer`] to set the wanted weights and the members. [`Worker::run`] passes
//! events to [`burst::Downloader`] and performs the resulting actions. Verified chunks are sent to the engine and
//! stored in [`Holdings`], from which [`crate::chunk_server`] serves other agents.
//!
//! As in the crate [`burst`], a *draw* is the fetch of a chunk from the origin, and a *stripe* is a group of
//! consecutive chunks that share an owner and a permit. The *owner order* ranks the agents of a failure domain for a
//! stripe.

mod fetch;
mod holdings;
mod manifest;
mod permits;
mod receive_slots;
mod run;
mod stage;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Answer, Grant, Members, Peer, RequestId, Stats, StripeIndex, Version};
use catalog::Plan;
use futures::channel::mpsc::{UnboundedSender, unbounded};
use weights::Pin;

pub use holdings::{Holdings, Rates, Traffic};
pub use receive_slots::ReceiveSlots;
pub use run::Worker;

/// Timeout of a call to the engine or to a source of manifests.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of the transfers of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The local agent.
    pub local: Peer,
    /// Number that is unique among all processes with this agent's name, such as the start time in milliseconds. The
    /// holder of a permit is identified by name and incarnation, and two processes must not use the same permit.
    pub incarnation: u64,
    /// Source of the chunks that no agent holds.
    pub origin: Origin,
    /// Address of the engine that each chunk is sent to once it is verified. If `None`, chunks are only stored.
    pub engine: Option<SocketAddr>,
    /// Maximum number of concurrent chunk requests.
    pub max_requests: usize,
    /// Maximum number of concurrent requests that fetch chunks from outside the failure domain.
    pub max_upstream_requests: usize,
    /// Maximum delay before a failed call to the origin is retried.
    pub max_retry_delay: Duration,
}

/// Source of the chunks that no agent holds.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A weight store, which serves byte ranges of a version.
    Store(SocketAddr),
    /// The users' origin, which serves whole chunks only.
    Parts(Rc<PartOrigin>),
}

/// An origin that serves whole chunks.
#[derive(Debug)]
pub struct PartOrigin {
    /// Address of the origin, which may change with the configuration.
    pub address: Cell<SocketAddr>,
}

/// Weights to transfer into the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The weights.
    pub pin: Pin,
    /// What the transfer optimizes for.
    pub plan: Plan,
    /// Time that the origin's link takes to carry one chunk, or zero if unknown.
    pub origin_chunk_time: Duration,
    /// Time at which other agents are expected to have started to draw the version, if known.
    pub draws_since: Option<Instant>,
}

/// State of the current transfer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Number of chunks in the version; 0 until the manifest is known.
    pub chunks: u32,
    /// Number of chunks that aren't verified yet.
    pub missing: u32,
    /// Counters of the transfer.
    pub stats: Stats,
}

impl Progress {
    /// Returns the fraction of the chunks that are missing; 1 until the manifest is known.
    pub fn missing_fraction(&self) -> f64 {
        match self.chunks {
            0 => 1.0,
            chunks => f64::from(self.missing) / f64::from(chunks),
        }
    }
}

/// Handle to the transfer task; clones refer to the same task.
///
/// ```no_run
/// use std::rc::Rc;
/// use agent::transfer::{Holdings, Rates, Settings, Transfer};
///
/// # fn example(settings: Settings, platform: platform::Client, order: agent::transfer::Order) {
/// let rates = Rates {
///     uplink: 100_000_000,
///     downlink: 100_000_000,
///     inter_region: 2_500_000,
///     burst_time: Rates::BULK_BURST_TIME,
///     piece_bytes: Rates::BULK_PIECE_BYTES,
/// };
/// let holdings = Rc::new(Holdings::new(&settings.local.domain, &settings.local.region, &rates, 64 << 20, 4));
/// let on_complete = |pin: &weights::Pin| println!("{pin} is staged");
/// let (transfer, worker) = Transfer::new(settings, holdings, Some(platform), on_complete);
/// compio::runtime::spawn(worker.run()).detach();
/// transfer.set_members(burst::Members::default());
/// transfer.set_wanted(Some(order));
/// # }
/// ```
#[derive(Clone)]
pub struct Transfer {
    inputs: UnboundedSender<Input>,
    progress: Rc<Cell<Progress>>,
}

/// Input of the transfer task. Inputs with the id of an earlier transfer are ignored.
enum Input {
    SetWanted(Option<Order>),
    Restage,
    SetMembers(Members),
    Manifest {
        transfer: u64,
        version: Version,
    },
    Progress {
        transfer: u64,
        request: RequestId,
    },
    Answer {
        transfer: u64,
        request: RequestId,
        answer: Answer,
    },
    Permit {
        transfer: u64,
        stripe: StripeIndex,
        grant: Grant,
    },
    Staged {
        transfer: u64,
    },
}

impl Transfer {
    /// Creates a handle and its worker, whose [`Worker::run`] must be spawned.
    ///
    /// With a `platform`, each draw requires a permit; without one, draws are limited by the owner order alone.
    /// `on_complete` is called whenever all chunks of the wanted weights are verified and staged in the engine.
    pub fn new(
        settings: Settings,
        holdings: Rc<Holdings>,
        platform: Option<platform::Client>,
        on_complete: impl Fn(&Pin) + 'static,
    ) -> (Self, Worker) {
        let (inputs, receiver) = unbounded();
        let transfer = Self {
            inputs,
            progress: Rc::default(),
        };
        let worker = Worker::new(
            settings,
            holdings,
            platform,
            Box::new(on_complete),
            &transfer,
            receiver,
        );
        (transfer, worker)
    }

    /// Sets the wanted weights. A transfer of other weights is stopped; setting the same order again has no effect.
    ///
    /// Nothing is fetched until the members have been set once: an agent that knows no other members would consider
    /// itself the owner of all stripes and use up their permits.
    pub fn set_wanted(&self, order: Option<Order>) {
        self.send(Input::SetWanted(order));
    }

    /// Stages the wanted weights again, after an engine restart discarded the staged chunks.
    pub fn restage(&self) {
        self.send(Input::Restage);
    }

    /// Sets the live agents that want the same weights; the local agent may be included or not.
    pub fn set_members(&self, members: Members) {
        self.send(Input::SetMembers(members));
    }

    /// Returns the state of the current transfer.
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    fn send(&self, input: Input) {
        // Fails only if the worker was dropped, and then no transfer is running.
        let _ = self.inputs.unbounded_send(input);
    }
}

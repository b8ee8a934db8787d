//! Transfer of weights from other agents and the weight store into the engine.
//!
//! [`Transfer`] is the handle that the rest of the agent uses: it says which weights are wanted and who the members
//! are. [`Worker::run`] does the work: it passes events to [`burst::Downloader`] and performs its actions. Verified
//! chunks go to the engine and into [`Holdings`], from which [`crate::chunk_server`] serves other agents.

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

/// Time in which a call to the platform, the engine or a manifest's source must be answered.
const CALL: Duration = Duration::from_secs(5);

/// What a transfer must know of its VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This agent.
    pub local: Peer,
    /// Number that differs from that of all earlier processes of this name, for example the start time in
    /// milliseconds. Permits are taken under name and number, and a permit must not be used by two processes.
    pub incarnation: u64,
    /// Where chunks come from that no agent has.
    pub origin: Origin,
    /// Address of an engine that takes each chunk as it is verified; without one, chunks are only held.
    pub engine: Option<SocketAddr>,
    /// Most chunks requested at once.
    pub max_requests: usize,
    /// Most of them that bring chunks into the failure domain.
    pub max_upstream_requests: usize,
    /// Longest time before a failed call to the origin is repeated.
    pub max_retry_delay: Duration,
}

/// Where chunks come from that no agent has.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A weight store, which gives ranges of a version's bytes.
    Store(SocketAddr),
    /// The users' origin, which gives whole parts.
    Parts(Rc<PartOrigin>),
}

/// An origin of whole parts.
#[derive(Debug)]
pub struct PartOrigin {
    /// Its address, which may change with the configuration.
    pub address: Cell<SocketAddr>,
    /// Time from which this agent draws: agents that begin one after the other don't divide the origin's link among all
    /// first parts, and the first ones spread earlier.
    pub not_before: Cell<Instant>,
}

/// Weights that the engine should have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The weights.
    pub pin: Pin,
    /// What the transfer saves first.
    pub plan: Plan,
    /// Time in which the origin's link carries one chunk; zero where it is not known.
    pub origin_chunk_time: Duration,
}

/// State of the current transfer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Chunks of the version; 0 until the manifest is known.
    pub chunks: u32,
    /// Chunks that aren't verified yet.
    pub missing: u32,
    /// Counters of the transfer.
    pub stats: Stats,
}

impl Progress {
    /// Returns the share of the chunks that are missing; 1 while nothing is known of them.
    pub fn missing_fraction(&self) -> f64 {
        match self.chunks {
            0 => 1.0,
            chunks => f64::from(self.missing) / f64::from(chunks),
        }
    }
}

/// Handle of the transfer task; clones address the same task.
///
/// ```no_run
/// use std::rc::Rc;
/// use agent::transfer::{Holdings, Rates, Settings, Transfer};
///
/// # fn example(settings: Settings, platform: platform::Client, order: agent::transfer::Order) {
/// let rates = Rates { uplink: 100_000_000, downlink: 100_000_000, inter_region: 2_500_000, burst_time: Rates::BULK_BURST_TIME, piece_bytes: Rates::BULK_PIECE_BYTES };
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

/// What the transfer task reacts to. Inputs of an earlier transfer than the current one are ignored.
enum Input {
    Want(Option<Order>),
    Restage,
    Members(Members),
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
    /// Returns the handle and the worker, whose [`Worker::run`] must be spawned.
    ///
    /// Draws need a permit of the platform; without a `platform` the order of the owners alone limits them.
    /// `on_complete` is called each time that every chunk of the wanted weights is verified and staged in the engine.
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

    /// Sets the wanted weights; a running transfer of others stops, and the same order again changes nothing.
    ///
    /// Nothing is fetched before the members were set once: an agent that knows of no others would take itself for the
    /// owner of all stripes and spend their permits.
    pub fn set_wanted(&self, order: Option<Order>) {
        self.send(Input::Want(order));
    }

    /// Stages the wanted weights anew, after the engine restarted and lost what it had.
    pub fn restage(&self) {
        self.send(Input::Restage);
    }

    /// Sets the live agents that want the same weights, with or without this one.
    pub fn set_members(&self, members: Members) {
        self.send(Input::Members(members));
    }

    /// Returns the state of the current transfer.
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    fn send(&self, input: Input) {
        // Without a worker there is no transfer that could react.
        let _ = self.inputs.unbounded_send(input);
    }
}

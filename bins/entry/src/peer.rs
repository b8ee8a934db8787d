//! The peer port: gossip with other entries, and load reports from targets.
//!
//! [`Peering`] runs the tasks around the crate `gossip`: the RPC server of the peer port, pushes of changed records, a
//! store comparison with one peer per second, failure detection, and the watch of the platform while this entry is one
//! of its failure domain's watchers. Results are written to [`SharedState`].

mod state;
mod watch;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use gossip::{Delta, Digest, Record};
use node::event;
use tarpc::context::Context;
use wire::{Peer, Reply, Report};

use crate::Settings;
use crate::shared::SharedState;
use state::GossipState;

/// Timeout of connections and calls to other entries and to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between pushes; changed records are batched in between.
const PUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for silent members.
const DETECT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between exchanges until the first peer has answered.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which a starting entry waits for a peer before it reads the catalogue from the platform.
///
/// A read from the platform may be stale. A restarted entry has lost the revisions that would reveal this, but its
/// peers still have them.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of failing entries that are retried at once.
const MAX_PROBES: usize = 32;

/// Maximum number of consecutive exchange rounds with one peer; a store of 7,100 records takes about 12 rounds.
const MAX_EXCHANGE_ROUNDS: usize = 64;

/// Maximum number of records in one push; the rest are sent with the next one.
const MAX_PUSH_RECORDS: usize = 512;

/// The gossip protocol of one entry: its state and the tasks that exchange it with other entries.
pub struct Peering {
    shared: SharedState,
    state: RefCell<GossipState>,
    /// Whether a peer has answered an exchange, or no peer is known.
    joined: Cell<bool>,
    platform: platform::Client,
}

/// The RPC server of the peer port.
#[derive(Clone)]
struct PeerServer(Rc<Peering>);

impl Peering {
    /// Creates the state of an entry that other entries reach at the address `peer`.
    pub fn new(settings: &Settings, shared: SharedState, peer: SocketAddr) -> Rc<Self> {
        let state = GossipState::new(settings, peer, Instant::now());
        shared.set_live_entries(1);
        Rc::new(Self {
            shared,
            state: RefCell::new(state),
            joined: Cell::new(false),
            platform: platform::Client::new(settings.platform, CALL_TIMEOUT),
        })
    }

    /// Starts the tasks, with `listener` as the peer port; dropping the handles cancels them.
    pub fn start(self: &Rc<Self>, listener: TcpListener) -> Vec<JoinHandle<()>> {
        let server = PeerServer(Rc::clone(self));
        let serve = async move { wire::serve(&listener, server).await };
        vec![
            spawn(serve),
            spawn(Rc::clone(self).push_changes()),
            spawn(Rc::clone(self).exchange_periodically()),
            spawn(Rc::clone(self).probe_failing_entries()),
            spawn(Rc::clone(self).detect_failures()),
            spawn(watch::run(Rc::clone(self))),
        ]
    }

    /// Announces to the other entries that this one accepts no new work.
    pub fn leave(&self) {
        self.state.borrow_mut().leave(&self.shared);
    }

    /// Returns the root hash and the number of records of the store.
    pub fn summary(&self) -> (u64, usize) {
        let state = self.state.borrow();
        (state.store().root(), state.store().len())
    }

    fn merge(&self, records: Vec<Record>) {
        let mut state = self.state.borrow_mut();
        for record in records {
            state.merge(record, &self.shared);
        }
    }

    /// Periodically pushes changed records to random peers.
    async fn push_changes(self: Rc<Self>) {
        loop {
            compio::time::sleep(PUSH_INTERVAL).await;
            let (records, peers) = self.state.borrow_mut().take_push(MAX_PUSH_RECORDS);
            for (name, address) in peers {
                // Runs in a task of its own, so that a stalled peer doesn't delay the others or the next push.
                spawn(Rc::clone(&self).push_to(name, address, records.clone())).detach();
            }
        }
    }

    async fn push_to(self: Rc<Self>, name: String, peer: SocketAddr, records: Vec<Record>) {
        let result = match wire::connect(peer, CALL_TIMEOUT).await {
            Ok(client) => client.push(records).await.map(|newer| self.merge(newer)),
            Err(error) => Err(error),
        };
        self.record_result(&name, result.err());
    }

    /// Exchanges store differences with one peer per second, more often until the first peer has answered.
    async fn exchange_periodically(self: Rc<Self>) {
        let started = Instant::now();
        loop {
            let selected = self.state.borrow_mut().exchange_peer();
            match selected {
                Some((name, peer)) => {
                    let result = self.exchange_with(peer).await;
                    self.joined.set(self.joined.get() || result.is_ok());
                    self.record_result(&name, result.err());
                }
                None => self.joined.set(true),
            }
            let joining = !self.joined.get() && started.elapsed() < JOIN_TIMEOUT;
            let interval = if joining {
                JOIN_INTERVAL
            } else {
                EXCHANGE_INTERVAL
            };
            compio::time::sleep(interval).await;
        }
    }

    /// Waits until a peer has answered an exchange or no peer is known, but at most 2 s.
    async fn wait_until_joined(&self) {
        let joined = async {
            while !self.joined.get() {
                compio::time::sleep(PUSH_INTERVAL).await;
            }
        };
        let _ = compio::time::timeout(JOIN_TIMEOUT, joined).await;
    }

    /// Periodically retries entries that failed to answer, so that a single lost call doesn't mark an entry as down.
    async fn probe_failing_entries(self: Rc<Self>) {
        loop {
            compio::time::sleep(EXCHANGE_INTERVAL).await;
            let failing = self.state.borrow().failing_entries(MAX_PROBES);
            let probes = failing.into_iter().map(|(name, peer)| {
                let peering = &self;
                async move {
                    let result = peering.exchange_with(peer).await;
                    peering.record_result(&name, result.err());
                }
            });
            futures::future::join_all(probes).await;
        }
    }

    /// Synchronizes the store with one peer: receives the records that this store lacks and sends those that the peer
    /// lacks.
    async fn exchange_with(&self, peer: SocketAddr) -> Result<(), wire::transport::Error> {
        let client = wire::connect(peer, CALL_TIMEOUT).await?;
        for _ in 0..MAX_EXCHANGE_ROUNDS {
            let digest = self.state.borrow().store().digest();
            let answer = client.exchange(digest).await?;
            let Some(details) = self.state.borrow().store().bucket_digest(&answer) else {
                return Ok(());
            };
            let answer = client.exchange(details).await?;
            let more = !answer.records.is_empty();
            self.merge(answer.records.clone());
            let wanted = self.state.borrow().store().wanted_records(&answer);
            if wanted.is_empty() && !more {
                return Ok(());
            }
            if !wanted.is_empty() {
                self.merge(client.push(wanted).await?);
            }
        }
        Ok(())
    }

    /// Periodically marks members as down after 5 s of silence and removes those that have been down for 10 minutes.
    async fn detect_failures(self: Rc<Self>) {
        loop {
            compio::time::sleep(DETECT_INTERVAL).await;
            let (mut state, now) = (self.state.borrow_mut(), Instant::now());
            state.detect(now, &self.shared);
            state.expire(now, &self.shared);
        }
    }

    /// Records whether a call to an entry succeeded.
    fn record_result(&self, name: &str, error: Option<wire::transport::Error>) {
        let now = Instant::now();
        match error {
            None => self.state.borrow_mut().entry_answered(name),
            Some(error) => {
                node::event!(event::PEER_FAILED, entry = name, error = error);
                self.state.borrow_mut().entry_failed(name, now);
            }
        }
    }
}

impl Peer for PeerServer {
    async fn report(self, _: Context, report: Report) -> Reply {
        let mut state = self.0.state.borrow_mut();
        state.apply_report(report, Instant::now(), &self.0.shared)
    }

    async fn push(self, _: Context, records: Vec<Record>) -> Vec<Record> {
        let newer = self.0.state.borrow().store().corrections(&records);
        self.0.merge(records);
        newer
    }

    async fn exchange(self, _: Context, digest: Digest) -> Delta {
        self.0.state.borrow().store().answer(&digest)
    }
}

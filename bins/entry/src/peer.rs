//! The peer port: gossip with other entries, and the reports of targets.
//!
//! [`Peering`] joins the decisions of the crate `gossip` with its tasks: the server of the peer port, pushes of changed
//! records, an exchange once a second, detection, and the watch of the platform while this entry is one of its
//! domain's watchers. What it learns it writes to [`SharedState`].

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
use state::State;

/// Time allowed for a connection or call to another entry.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which changed records are collected before they are pushed.
const PUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks for silent members.
const DETECT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two exchanges before the first peer has answered.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which a starting entry waits for a peer before it reads the catalogue from the platform.
///
/// A read may be stale, and after a restart the entry no longer knows the revisions that it held. The peers do.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Most entries that are tried again at once.
const PROBES: usize = 32;

/// Most exchanges in a row with one peer; a store of 7,100 records arrives in about 12 parts.
const EXCHANGES_IN_A_ROW: usize = 64;

/// Most records in one push; the rest follow with the next.
const PUSH_RECORDS: usize = 512;

/// The entry's part in gossip.
pub struct Peering {
    shared: SharedState,
    state: RefCell<State>,
    /// Whether a peer has answered an exchange, or none is known.
    joined: Cell<bool>,
    platform: platform::Client,
}

/// The server of the peer port.
#[derive(Clone)]
struct Handler(Rc<Peering>);

impl Peering {
    /// Returns the part of an entry that other entries reach at `peer`.
    pub fn new(settings: &Settings, shared: SharedState, peer: SocketAddr) -> Rc<Self> {
        let state = State::new(settings, peer, Instant::now());
        shared.set_live_entries(1);
        Rc::new(Self {
            shared,
            state: RefCell::new(state),
            joined: Cell::new(false),
            platform: platform::Client::new(settings.platform, TIMEOUT),
        })
    }

    /// Starts the tasks, which end when their handles are dropped; `listener` is the peer port.
    pub fn start(self: &Rc<Self>, listener: TcpListener) -> Vec<JoinHandle<()>> {
        let handler = Handler(Rc::clone(self));
        let serve = async move { wire::serve(&listener, handler).await };
        vec![
            spawn(serve),
            spawn(Rc::clone(self).push()),
            spawn(Rc::clone(self).exchange()),
            spawn(Rc::clone(self).probe()),
            spawn(Rc::clone(self).detect()),
            spawn(watch::run(Rc::clone(self))),
        ]
    }

    /// Tells the others that this entry takes no new work.
    pub fn leave(&self) {
        self.state.borrow_mut().leave(&self.shared);
    }

    /// Returns the hash and the number of the records held, for `/status`.
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

    /// Pushes changed records to random peers.
    async fn push(self: Rc<Self>) {
        loop {
            compio::time::sleep(PUSH_INTERVAL).await;
            let (records, peers) = self.state.borrow_mut().push(PUSH_RECORDS);
            for (name, address) in peers {
                // A peer that stalls must not hold up the others or the next push.
                spawn(Rc::clone(&self).push_to(name, address, records.clone())).detach();
            }
        }
    }

    async fn push_to(self: Rc<Self>, name: String, peer: SocketAddr, records: Vec<Record>) {
        let result = match wire::connect(peer, TIMEOUT).await {
            Ok(client) => client.push(records).await.map(|newer| self.merge(newer)),
            Err(error) => Err(error),
        };
        self.heard(&name, result.err());
    }

    /// Compares stores with one peer a second, more often until the first one has answered.
    async fn exchange(self: Rc<Self>) {
        let started = Instant::now();
        loop {
            let chosen = self.state.borrow_mut().exchange_peer();
            match chosen {
                Some((name, peer)) => {
                    let result = self.exchange_with(peer).await;
                    self.joined.set(self.joined.get() || result.is_ok());
                    self.heard(&name, result.err());
                }
                None => self.joined.set(true),
            }
            let joins = !self.joined.get() && started.elapsed() < JOIN_TIMEOUT;
            let pause = if joins {
                JOIN_INTERVAL
            } else {
                EXCHANGE_INTERVAL
            };
            compio::time::sleep(pause).await;
        }
    }

    /// Waits until a peer has answered an exchange, or 2 s.
    async fn join(&self) {
        let joined = async {
            while !self.joined.get() {
                compio::time::sleep(PUSH_INTERVAL).await;
            }
        };
        let _ = compio::time::timeout(JOIN_TIMEOUT, joined).await;
    }

    /// Tries entries again that didn't answer, so that one lost call doesn't bring an entry down.
    async fn probe(self: Rc<Self>) {
        loop {
            compio::time::sleep(EXCHANGE_INTERVAL).await;
            let failing = self.state.borrow().failing(PROBES);
            let probes = failing.into_iter().map(|(name, peer)| {
                let peering = &self;
                async move {
                    let result = peering.exchange_with(peer).await;
                    peering.heard(&name, result.err());
                }
            });
            futures::future::join_all(probes).await;
        }
    }

    async fn exchange_with(&self, peer: SocketAddr) -> Result<(), wire::transport::Error> {
        let client = wire::connect(peer, TIMEOUT).await?;
        for _ in 0..EXCHANGES_IN_A_ROW {
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

    /// Declares members down that have been silent for 5 s, and drops those that have been down for long.
    async fn detect(self: Rc<Self>) {
        loop {
            compio::time::sleep(DETECT_INTERVAL).await;
            let (mut state, now) = (self.state.borrow_mut(), Instant::now());
            state.detect(now, &self.shared);
            state.expire(now, &self.shared);
        }
    }

    fn heard(&self, name: &str, error: Option<wire::transport::Error>) {
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

impl Peer for Handler {
    async fn report(self, _: Context, report: Report) -> Reply {
        let mut state = self.0.state.borrow_mut();
        state.report(report, Instant::now(), &self.0.shared)
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

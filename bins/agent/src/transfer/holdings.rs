//! Verified chunks and what the chunk port needs to serve them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burst::{Members, Peer, TokenBucket, Uploader, Version};
use bytes::Bytes;
use weights::{Chunk, ChunkIndex, ChunkStore, Digest};

use super::ReceiveSlots;
use crate::Notify;
use crate::metrics::{Remote, TransferMetrics};

/// Versions whose manifests are served: the current one and the one before, which other agents may still transfer.
const VERSIONS: usize = 2;

/// Limits of the chunk traffic of an agent.
#[derive(Clone, Debug)]
pub struct Rates {
    /// Bytes a second sent to other agents; halved while live requests are in progress.
    pub uplink: u64,
    /// Bytes a second received.
    pub downlink: u64,
    /// Bytes a second received from other regions.
    pub inter_region: u64,
    /// Time for which a link may be full of parts without a pause; requests that share it wait as long.
    pub burst_time: Duration,
    /// Bytes that are sent before the bucket of the uplink is asked again.
    pub piece_bytes: usize,
}

impl Rates {
    /// Longest time for which a link may be full where requests need not be quick: it is long enough to use the whole
    /// rate.
    pub const BULK_BURST_TIME: Duration = Duration::from_millis(100);
    /// Bytes of a piece on such a link. With whole chunks, a slow link would let one transfer hold up all others for
    /// longer than the stall time.
    pub const BULK_PIECE_BYTES: usize = 64 << 10;
}

/// Bytes moved since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of chunks from other agents.
    pub from_peers: u64,
    /// Bytes of chunks from the weight store.
    pub from_origin: u64,
    /// Bytes of chunks to other agents.
    pub to_peers: u64,
}

/// Chunks, manifests and token buckets, shared by the transfer and the chunk port.
pub struct Holdings {
    /// Rates of the three buckets.
    pub uplink: TokenBucket,
    /// Bucket of all chunks received.
    pub downlink: TokenBucket,
    /// Bucket of chunks received from other regions.
    pub inter_region: TokenBucket,
    /// Upload slots.
    pub uploader: Uploader,
    /// Bytes that are sent before the bucket is asked again.
    pub piece_bytes: usize,
    store: RefCell<ChunkStore>,
    versions: RefCell<Vec<Version>>,
    /// Digests of manifests by model and version, where operators name versions by number.
    names: RefCell<BTreeMap<(String, String), Digest>>,
    /// Metrics of what the transfer and the chunk port do.
    pub metrics: TransferMetrics,
    region: String,
    domain: String,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    traffic: Cell<Traffic>,
    /// Raised by each chunk that arrives.
    arrived: Notify,
    /// Time for which a request waits for a chunk.
    hold: Duration,
    /// Limit of the chunks received at once, where there is one.
    pub(crate) receiving: Option<ReceiveSlots>,
    /// The same for chunks from the origin.
    pub(crate) drawing: Option<ReceiveSlots>,
    /// When each stripe of the version in transfer was last known to be drawn.
    drawn: RefCell<Option<Drawn>>,
}

/// The digest of a version, and when each of its stripes was last known to be drawn.
type Drawn = (Digest, Vec<Option<Instant>>);

impl Holdings {
    /// Returns empty holdings of an agent in `domain` and `region` that cache at most `cache` bytes besides the chunks
    /// kept for others.
    pub fn new(domain: &str, region: &str, rates: &Rates, cache: u64, slots: usize) -> Self {
        let now = Instant::now();
        let burst = rates.burst_time.as_secs_f64();
        let bucket = |rate: u64| TokenBucket::new(rate as f64, rate as f64 * burst, now);
        Self {
            uplink: bucket(rates.uplink),
            downlink: bucket(rates.downlink),
            inter_region: bucket(rates.inter_region),
            uploader: Uploader::new(slots),
            piece_bytes: rates.piece_bytes,
            store: RefCell::new(ChunkStore::new(cache)),
            versions: RefCell::default(),
            names: RefCell::default(),
            metrics: TransferMetrics::default(),
            region: region.into(),
            domain: domain.into(),
            peers: RefCell::default(),
            traffic: Cell::default(),
            arrived: Notify::default(),
            hold: Duration::ZERO,
            receiving: None,
            drawing: None,
            drawn: RefCell::default(),
        }
    }

    /// Returns a version whose manifest is held.
    pub fn version(&self, digest: &Digest) -> Option<Version> {
        let versions = self.versions.borrow();
        versions
            .iter()
            .find(|version| version.digest() == *digest)
            .cloned()
    }

    /// Returns the version of `model` that is called `name`, if its manifest is held.
    pub fn named_version(&self, model: &str, name: &str) -> Option<Version> {
        let names = self.names.borrow();
        self.version(names.get(&(model.into(), name.into()))?)
    }

    /// Tells whether the chunk `digest` is held.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.store.borrow().contains(digest)
    }

    /// Returns the content of chunk `digest`.
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.store.borrow_mut().get(digest)
    }

    /// Returns the bytes moved since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Returns the bytes of all chunks held.
    pub fn bytes(&self) -> u64 {
        let store = self.store.borrow();
        store.kept_bytes() + store.cached_bytes()
    }

    /// Tells whether `peer` is known to be in this agent's region; strangers count as being elsewhere.
    pub fn is_near(&self, peer: &SocketAddr) -> bool {
        let peers = self.peers.borrow();
        peers
            .get(peer)
            .is_some_and(|peer| peer.region == self.region)
    }

    /// Returns where `peer` is, for the metrics; strangers count as being elsewhere.
    pub fn remote(&self, peer: &SocketAddr) -> Remote {
        match self.peers.borrow().get(peer) {
            Some(peer) if peer.domain == self.domain => Remote::OwnDomain,
            _ => Remote::OtherDomain,
        }
    }

    /// Keeps requests for a chunk that is on its way for up to `time`, so that askers need not ask again and again.
    pub fn with_long_poll(mut self, time: Duration) -> Self {
        self.hold = time;
        self
    }

    /// Lets chunks of other agents come only as `receiving` allows, and those of the origin as `drawing` does.
    pub fn with_receive_slots(mut self, receiving: ReceiveSlots, drawing: ReceiveSlots) -> Self {
        self.receiving = Some(receiving);
        self.drawing = Some(drawing);
        self
    }

    /// Waits until the chunk `digest` is held, as long as requests are kept, and returns whether it is.
    pub(crate) async fn wait_for(&self, digest: &Digest) -> bool {
        let end = Instant::now() + self.hold;
        while !self.contains(digest) {
            let seen = self.arrived.count();
            let arrived = self.arrived.changed(seen);
            if compio::time::timeout_at(end, arrived).await.is_err() {
                return self.contains(digest);
            }
        }
        true
    }

    /// Sets when the stripes of the version in transfer were last known to be drawn.
    pub(crate) fn set_drawn(&self, drawn: Option<Drawn>) {
        *self.drawn.borrow_mut() = drawn;
    }

    /// Returns when chunk `index` of `version` was last known to be drawn.
    pub(crate) fn drawn(&self, version: &Version, index: ChunkIndex) -> Option<Instant> {
        let drawn = self.drawn.borrow();
        let (digest, stripes) = drawn.as_ref()?;
        let stripe = version.stripes().stripe_of(index) as usize;
        match *digest == version.digest() {
            true => *stripes.get(stripe)?,
            false => None,
        }
    }

    /// Counts into `metrics` from now on.
    pub fn with_metrics(mut self, metrics: TransferMetrics) -> Self {
        self.metrics = metrics;
        self
    }

    pub(crate) fn add_version(&self, version: &Version) {
        let mut versions = self.versions.borrow_mut();
        versions.retain(|held| held.digest() != version.digest());
        versions.insert(0, version.clone());
        versions.truncate(VERSIONS);
        let wanted: std::collections::HashSet<&Digest> = versions
            .iter()
            .flat_map(|version| &version.manifest().chunks)
            .collect();
        self.uploader.retain_chunks(|chunk| wanted.contains(chunk));
    }

    /// Adds a version that operators call `name`.
    pub(crate) fn add_named_version(&self, model: &str, name: &str, version: &Version) {
        self.add_version(version);
        let mut names = self.names.borrow_mut();
        names.insert((model.into(), name.into()), version.digest());
        names.retain(|_, digest| self.version(digest).is_some());
    }

    pub(crate) fn insert(&self, chunk: Chunk, keep: bool) {
        self.store.borrow_mut().insert(chunk, keep);
        self.arrived.notify();
    }

    pub(crate) fn keep_only(&self, owned: impl Fn(&Digest) -> bool) {
        self.store.borrow_mut().keep_only(owned);
    }

    pub(crate) fn set_members(&self, members: &Members) {
        let peers: HashMap<SocketAddr, Peer> = members
            .iter()
            .map(|peer| (peer.address, peer.clone()))
            .collect();
        self.uploader
            .retain_receivers(|address| peers.contains_key(address));
        *self.peers.borrow_mut() = peers;
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }
}

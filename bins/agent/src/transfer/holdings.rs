//! Verified chunks and the state that the chunk port needs to serve them.

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

/// Number of versions whose manifests are held: the current one and the previous one, which other agents may still be
/// transferring.
const MAX_VERSIONS: usize = 2;

/// Rate limits of an agent's chunk traffic.
#[derive(Clone, Debug)]
pub struct Rates {
    /// Bytes per second sent to other agents; halved while live requests are in progress.
    pub uplink: u64,
    /// Bytes per second received.
    pub downlink: u64,
    /// Bytes per second received from other regions.
    pub inter_region: u64,
    /// Maximum time for which chunks may saturate a link without a pause. Requests that share the link are delayed by
    /// up to this time. It determines the capacity of the token buckets.
    pub burst_time: Duration,
    /// Number of bytes sent for each ticket of the uplink's bucket.
    pub piece_bytes: usize,
}

impl Rates {
    /// Burst time for links without latency-sensitive requests, long enough to use the whole rate.
    pub const BULK_BURST_TIME: Duration = Duration::from_millis(100);
    /// Piece size for links without latency-sensitive requests. If whole chunks were sent at once, one transfer on a
    /// slow link would block all others for longer than the stall timeout.
    pub const BULK_PIECE_BYTES: usize = 64 << 10;
}

/// Bytes transferred since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of chunks received from other agents.
    pub from_peers: u64,
    /// Bytes of chunks received from the origin.
    pub from_origin: u64,
    /// Bytes of chunks sent to other agents.
    pub to_peers: u64,
}

/// Chunks, manifests and token buckets that the transfer and the chunk port share.
pub struct Holdings {
    /// Bucket of all chunks sent to other agents.
    pub uplink: TokenBucket,
    /// Bucket of all chunks received.
    pub downlink: TokenBucket,
    /// Bucket of chunks received from other regions.
    pub inter_region: TokenBucket,
    /// Upload slots.
    pub uploader: Uploader,
    /// Number of bytes sent for each ticket of the uplink's bucket; see [`Rates::piece_bytes`].
    pub piece_bytes: usize,
    store: RefCell<ChunkStore>,
    versions: RefCell<Vec<Version>>,
    /// Digests of the manifests by model and version name, for versions that operators identify by number.
    digests_by_name: RefCell<BTreeMap<(String, String), Digest>>,
    /// Metrics of the transfer and the chunk port.
    pub metrics: TransferMetrics,
    region: String,
    domain: String,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    traffic: Cell<Traffic>,
    /// Notified of each chunk that is inserted.
    inserted: Notify,
    /// Maximum time for which a request waits for a chunk.
    long_poll: Duration,
    /// Limit on the chunks received concurrently from other agents, if any.
    pub(crate) receive_slots: Option<ReceiveSlots>,
    /// Limit on the chunks received concurrently from the origin, if any.
    pub(crate) draw_slots: Option<ReceiveSlots>,
    last_draws: RefCell<Option<LastDraws>>,
}

/// The digest of the version in transfer, and when each of its stripes was last known to be drawn from the origin.
type LastDraws = (Digest, Vec<Option<Instant>>);

impl Holdings {
    /// Creates empty holdings of an agent in `domain` and `region`.
    ///
    /// The cache holds at most `cache_bytes` bytes, not counting the chunks kept for other agents. At most
    /// `upload_slots` chunks are sent concurrently.
    pub fn new(
        domain: &str,
        region: &str,
        rates: &Rates,
        cache_bytes: u64,
        upload_slots: usize,
    ) -> Self {
        let now = Instant::now();
        let burst_s = rates.burst_time.as_secs_f64();
        let bucket = |rate: u64| TokenBucket::new(rate as f64, rate as f64 * burst_s, now);
        Self {
            uplink: bucket(rates.uplink),
            downlink: bucket(rates.downlink),
            inter_region: bucket(rates.inter_region),
            uploader: Uploader::new(upload_slots),
            piece_bytes: rates.piece_bytes,
            store: RefCell::new(ChunkStore::new(cache_bytes)),
            versions: RefCell::default(),
            digests_by_name: RefCell::default(),
            metrics: TransferMetrics::default(),
            region: region.into(),
            domain: domain.into(),
            peers: RefCell::default(),
            traffic: Cell::default(),
            inserted: Notify::default(),
            long_poll: Duration::ZERO,
            receive_slots: None,
            draw_slots: None,
            last_draws: RefCell::default(),
        }
    }

    /// Returns the version with the manifest `digest`, if held.
    pub fn version(&self, digest: &Digest) -> Option<Version> {
        let versions = self.versions.borrow();
        versions
            .iter()
            .find(|version| version.digest() == *digest)
            .cloned()
    }

    /// Returns the version `name` of `model`, if its manifest is held.
    pub fn named_version(&self, model: &str, name: &str) -> Option<Version> {
        let digests = self.digests_by_name.borrow();
        self.version(digests.get(&(model.into(), name.into()))?)
    }

    /// Returns whether the chunk `digest` is held.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.store.borrow().contains(digest)
    }

    /// Returns the content of the chunk `digest`, if held.
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.store.borrow_mut().get(digest)
    }

    /// Returns the bytes transferred since the start of the process.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Returns the total size of the chunks held, in bytes.
    pub fn held_bytes(&self) -> u64 {
        let store = self.store.borrow();
        store.kept_bytes() + store.cached_bytes()
    }

    /// Returns whether `peer` is in this agent's region; unknown peers count as being in another one.
    pub fn is_in_region(&self, peer: &SocketAddr) -> bool {
        let peers = self.peers.borrow();
        peers
            .get(peer)
            .is_some_and(|peer| peer.region == self.region)
    }

    /// Returns the metrics label of `peer`; unknown peers count as being in another domain.
    pub fn remote(&self, peer: &SocketAddr) -> Remote {
        match self.peers.borrow().get(peer) {
            Some(peer) if peer.domain == self.domain => Remote::OwnDomain,
            _ => Remote::OtherDomain,
        }
    }

    /// Lets requests for a chunk that isn't held yet wait for it for up to `timeout`, so that requesters need not poll.
    pub fn with_long_poll(mut self, timeout: Duration) -> Self {
        self.long_poll = timeout;
        self
    }

    /// Limits the chunks received concurrently: from other agents to `receive_slots`, from the origin to `draw_slots`.
    pub fn with_receive_slots(
        mut self,
        receive_slots: ReceiveSlots,
        draw_slots: ReceiveSlots,
    ) -> Self {
        self.receive_slots = Some(receive_slots);
        self.draw_slots = Some(draw_slots);
        self
    }

    /// Waits until the chunk `digest` is held, up to the long-poll timeout, and returns whether it is.
    pub(crate) async fn wait_for_chunk(&self, digest: &Digest) -> bool {
        let deadline = Instant::now() + self.long_poll;
        while !self.contains(digest) {
            let seen = self.inserted.count();
            let inserted = self.inserted.changed(seen);
            if compio::time::timeout_at(deadline, inserted).await.is_err() {
                return self.contains(digest);
            }
        }
        true
    }

    /// Sets when the stripes of the version in transfer were last known to be drawn from the origin.
    pub(crate) fn set_last_draws(&self, last_draws: Option<LastDraws>) {
        *self.last_draws.borrow_mut() = last_draws;
    }

    /// Returns when the stripe of chunk `index` of `version` was last known to be drawn from the origin.
    pub(crate) fn last_draw(&self, version: &Version, index: ChunkIndex) -> Option<Instant> {
        let last_draws = self.last_draws.borrow();
        let (digest, stripes) = last_draws.as_ref()?;
        let stripe = version.stripes().stripe_of(index) as usize;
        match *digest == version.digest() {
            true => *stripes.get(stripe)?,
            false => None,
        }
    }

    /// Records into `metrics` instead of unregistered metrics.
    pub fn with_metrics(mut self, metrics: TransferMetrics) -> Self {
        self.metrics = metrics;
        self
    }

    pub(crate) fn add_version(&self, version: &Version) {
        let mut versions = self.versions.borrow_mut();
        versions.retain(|held| held.digest() != version.digest());
        versions.insert(0, version.clone());
        versions.truncate(MAX_VERSIONS);
        let wanted: std::collections::HashSet<&Digest> = versions
            .iter()
            .flat_map(|version| &version.manifest().chunks)
            .collect();
        self.uploader.retain_chunks(|chunk| wanted.contains(chunk));
    }

    /// Adds a version of `model` that operators identify by `name`.
    pub(crate) fn add_named_version(&self, model: &str, name: &str, version: &Version) {
        self.add_version(version);
        let mut digests = self.digests_by_name.borrow_mut();
        digests.insert((model.into(), name.into()), version.digest());
        digests.retain(|_, digest| self.version(digest).is_some());
    }

    pub(crate) fn insert(&self, chunk: Chunk, keep: bool) {
        self.store.borrow_mut().insert(chunk, keep);
        self.inserted.notify();
    }

    pub(crate) fn keep_only(&self, should_keep: impl Fn(&Digest) -> bool) {
        self.store.borrow_mut().keep_only(should_keep);
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

    pub(crate) fn record_traffic(&self, add: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        add(&mut traffic);
        self.traffic.set(traffic);
    }
}

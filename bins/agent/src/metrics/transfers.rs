//! Metrics of weight transfers.

use std::time::Duration;

use burst::{Grant, Stats};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the histogram buckets of transfer times, in seconds; all agents must have a version within minutes.
const DURATION_BOUNDS: [f64; 10] = [1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1800.0];

type Labels = [(&'static str, &'static str); 1];

/// The other end of a chunk transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Remote {
    /// The weight store or the users' origin.
    Origin,
    /// An agent of the same failure domain.
    OwnDomain,
    /// An agent of another failure domain.
    OtherDomain,
}

/// Counters of chunks, permits and transfers; clones share their values.
#[derive(Clone, Debug)]
pub struct TransferMetrics {
    received: Family<Labels, Counter>,
    sent: Family<Labels, Counter>,
    held: Gauge,
    wanted: Gauge,
    corrupted: Counter,
    stalls: Counter,
    /// Chunk requests that were redirected to other holders.
    pub redirects: Counter,
    permits: Family<Labels, Counter>,
    ended: Family<Labels, Counter>,
    duration: Histogram,
}

impl TransferMetrics {
    /// Counts received bytes of chunks.
    pub fn record_received(&self, from: Remote, bytes: usize) {
        add(&self.received, "source", from.label(), bytes);
    }

    /// Counts sent bytes of chunks.
    pub fn record_sent(&self, to: Remote, bytes: usize) {
        add(&self.sent, "destination", to.label(), bytes);
    }

    /// Updates the metrics to the state of the current transfer: its number of chunks, the number of those missing, and
    /// its counters at the previous update and now.
    pub fn update_progress(&self, chunks: u32, missing: u32, before: Stats, now: Stats) {
        self.wanted.set(chunks.into());
        self.held.set(chunks.saturating_sub(missing).into());
        // The counters of a new transfer start at 0, so they may be below those of the previous transfer.
        let increase = |before: u32, now: u32| u64::from(now.saturating_sub(before));
        self.corrupted
            .inc_by(increase(before.corrupted, now.corrupted));
        self.stalls.inc_by(increase(before.stalled, now.stalled));
    }

    /// Counts the answer to a permit request.
    pub fn record_permit(&self, grant: Grant) {
        let answer = match grant {
            Grant::Granted => "granted",
            Grant::Refused => "refused",
            Grant::Lost => "lost",
            Grant::Unavailable => "unavailable",
        };
        add(&self.permits, "answer", answer, 1);
    }

    /// Counts a transfer whose last chunk was staged `duration` after its start.
    pub fn record_complete(&self, duration: Duration) {
        add(&self.ended, "result", "complete", 1);
        self.duration.observe(duration.as_secs_f64());
    }

    /// Counts a transfer that was stopped before it was complete.
    pub fn record_stopped(&self) {
        add(&self.ended, "result", "stopped", 1);
    }

    /// Registers the metrics with `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("carobport_agent");
        registry.register_with_unit(
            "chunk_received",
            "Chunk data received",
            Unit::Bytes,
            self.received.clone(),
        );
        registry.register_with_unit(
            "chunk_sent",
            "Chunk data sent",
            Unit::Bytes,
            self.sent.clone(),
        );
        registry.register(
            "chunks_held",
            "Verified chunks of the wanted version",
            self.held.clone(),
        );
        registry.register(
            "chunks_wanted",
            "Chunks of the wanted version",
            self.wanted.clone(),
        );
        registry.register(
            "chunks_corrupted",
            "Chunks dropped because of a wrong digest",
            self.corrupted.clone(),
        );
        registry.register(
            "chunk_stalls",
            "Requests for chunks given up after a stall",
            self.stalls.clone(),
        );
        registry.register(
            "chunk_redirects",
            "Requests for chunks answered with other holders",
            self.redirects.clone(),
        );
        registry.register(
            "draw_permits",
            "Answers to requests for draw permits",
            self.permits.clone(),
        );
        registry.register("transfers", "Transfers that ended", self.ended.clone());
        registry.register_with_unit(
            "transfer_duration",
            "Time from the order of a version until it was staged",
            Unit::Seconds,
            self.duration.clone(),
        );
    }
}

impl Default for TransferMetrics {
    fn default() -> Self {
        Self {
            received: Family::default(),
            sent: Family::default(),
            held: Gauge::default(),
            wanted: Gauge::default(),
            corrupted: Counter::default(),
            stalls: Counter::default(),
            redirects: Counter::default(),
            permits: Family::default(),
            ended: Family::default(),
            duration: Histogram::new(DURATION_BOUNDS),
        }
    }
}

impl Remote {
    fn label(self) -> &'static str {
        match self {
            Self::Origin => "origin",
            Self::OwnDomain => "own-domain",
            Self::OtherDomain => "other-domain",
        }
    }
}

fn add(family: &Family<Labels, Counter>, name: &'static str, value: &'static str, count: usize) {
    family.get_or_create(&[(name, value)]).inc_by(count as u64);
}

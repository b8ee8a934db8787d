//! Message types of the peer port.

use std::time::Duration;

use gossip::{KeyRange, Record};
use serde::{Deserialize, Serialize};

/// Maximum time from the start of one report of a target to the start of the next.
///
/// Entries suspect a target after 2 s without a report, so 0.6 s of slack remain.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_400);

/// State and load of a target, sent at least every 1.4 s.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Name of the target.
    pub target: String,
    /// Incarnation number of the agent.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the agent forwards requests to the backend.
    pub gate: Gate,
    /// First 8 bytes of the digest of the weights in service, if any.
    pub weights: Option<u64>,
    /// Number of chunks held of the version being transferred.
    pub chunks: u32,
    /// Number of requests running at the backend.
    pub running: u32,
    /// Number of requests queued at the backend.
    pub waiting: u32,
    /// Bit set of the claim slots that the target owns.
    pub slots: u16,
    /// Hash of the records that the target holds, for comparison with the entry's.
    pub view: u64,
    /// The target's own record; sent until a reply confirms it.
    pub member: Option<Record>,
}

/// Whether an agent forwards requests to its backend.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Gate {
    /// No request is forwarded.
    Closed,
    /// Requests for the weights in service are forwarded.
    Open,
    /// Requests in progress finish; new requests are refused.
    Draining,
}

/// Reply to a [`Report`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reply {
    /// Whether the entry holds the target's own record.
    pub known: bool,
    /// The entry's hash of the records that concern the target, if it differs from the reported one.
    pub view: Option<u64>,
    /// These records, if the hashes differ.
    pub records: Vec<Record>,
    /// Key range in which `records` is complete; the target drops any other member that it holds in this range.
    pub span: Option<KeyRange>,
}

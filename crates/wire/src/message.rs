//! Messages of the peer port.

use std::time::Duration;

use gossip::{KeyRange, Record};
use serde::{Deserialize, Serialize};

/// Longest time from the start of one report of a target to the next.
///
/// It leaves 0.6 s of slack before the target is suspect after 2 s.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_400);

/// State and load of a target, sent at least every 1.4 s.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Name of the target.
    pub target: String,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// Whether requests are passed on.
    pub gate: Gate,
    /// First 8 bytes of the digest of the weights in service.
    pub weights: Option<u64>,
    /// Chunks held of the version that is being transferred.
    pub chunks: u32,
    /// Requests running at the backend.
    pub running: u32,
    /// Requests waiting at the backend.
    pub waiting: u32,
    /// Bit set of the claim slots that the target owns.
    pub slots: u16,
    /// Hash of the records that the target holds.
    pub view: u64,
    /// The target's own record, until a reply confirms it.
    pub member: Option<Record>,
}

/// Whether an agent passes requests on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Gate {
    /// No request is passed on.
    Closed,
    /// Requests for the weights in service are passed on.
    Open,
    /// Requests in progress finish; new ones are refused.
    Draining,
}

/// Answer to a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reply {
    /// True once the entry holds the target's own record.
    pub known: bool,
    /// Hash of the records that concern the target, when it differs from the reported one.
    pub view: Option<u64>,
    /// These records, when the hashes differ.
    pub records: Vec<Record>,
    /// Keys between which `records` is complete: other members that the target holds there are to be dropped.
    pub span: Option<KeyRange>,
}

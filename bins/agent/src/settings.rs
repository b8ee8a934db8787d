//! Settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use gate::Backend;

/// Everything that the agent reads from its settings file.
///
/// Rates are in bytes a second, sizes in bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Service that the target serves.
    pub service: String,
    /// What stands behind the gate.
    pub backend: Backend,
    /// Address of the engine or plain service.
    pub backend_address: SocketAddr,
    /// Port for calls from entries.
    pub call_listen: SocketAddr,
    /// Port for chunks of weights.
    pub chunk_listen: SocketAddr,
    /// Port for operators.
    pub operator_listen: SocketAddr,
    /// Loopback port that is bound only so that no second agent gives orders on this VM.
    pub order_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the weight store; required for engines.
    pub store: Option<SocketAddr>,
    /// Peer ports of entries to report to before any entry is known.
    pub seeds: Vec<SocketAddr>,
    /// Rate of chunks sent.
    pub uplink: u64,
    /// Rate of chunks received.
    pub downlink: u64,
    /// Rate of chunks received from other regions.
    pub inter_region: u64,
    /// Size of all chunks kept for other agents.
    pub chunk_cache: u64,
    /// Time after which an activate order without an answer counts as lost.
    pub activate_timeout: Duration,
}

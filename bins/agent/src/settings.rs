//! Settings of the agent.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use gate::Backend;
use node::settings::Fields;

use crate::rollout;

const ADDRESS: &str = "an address `IP:PORT`";
/// Rates from 1 KB/s to 100 GB/s.
const RATES: RangeInclusive<u64> = 1_000..=100_000_000_000;
/// 1 Gbit/s, the link of a small VM.
const DEFAULT_RATE: u64 = 125_000_000;
/// Half of a 20 Mbit/s link between regions, which live traffic shares.
const DEFAULT_INTER_REGION: u64 = 1_250_000;
const MAX_CACHE: u64 = 1 << 40;
/// 64 MB, the memory allowed for control on a node.
const DEFAULT_CACHE: u64 = 64 << 20;

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

/// Settings by the interface that the agent serves.
pub type Interface = node::settings::Interface<Settings, rollout::Settings>;

impl node::settings::Settings for Settings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.text("name");
        let domain = fields.text("domain");
        let region = fields.text("region");
        let service = fields.text("service");
        let backend = read_backend(fields);
        let backend_address = address(fields, "backend_address");
        let call_listen = address(fields, "call_listen");
        let chunk_listen = address(fields, "chunk_listen");
        let operator_listen = address(fields, "operator_listen");
        let order_listen = read_order_listen(fields);
        let platform = address(fields, "platform");
        let store = fields.optional("store", ADDRESS, None);
        if backend == Some(Backend::Engine) && store == Some(None) {
            fields.add_finding("store", "an address, since the backend is an engine");
        }
        let seeds = fields.optional("seeds", "an array of addresses `IP:PORT`", Vec::new());
        let uplink = fields.number("uplink", RATES, Some(DEFAULT_RATE));
        let downlink = fields.number("downlink", RATES, Some(DEFAULT_RATE));
        let inter_region = fields.number("inter_region", RATES, Some(DEFAULT_INTER_REGION));
        let chunk_cache = fields.number("chunk_cache", 0..=MAX_CACHE, Some(DEFAULT_CACHE));
        let activate_timeout = fields.millis("activate_timeout_ms", 100..=600_000, Some(60_000));
        Some(Self {
            name: name?,
            domain: domain?,
            region: region?,
            service: service?,
            backend: backend?,
            backend_address: backend_address?,
            call_listen: call_listen?,
            chunk_listen: chunk_listen?,
            operator_listen: operator_listen?,
            order_listen: order_listen?,
            platform: platform?,
            store: store?,
            seeds: seeds?,
            uplink: uplink?,
            downlink: downlink?,
            inter_region: inter_region?,
            chunk_cache: chunk_cache?,
            activate_timeout: activate_timeout?,
        })
    }
}

fn address(fields: &mut Fields<'_>, name: &'static str) -> Option<SocketAddr> {
    fields.required(name, ADDRESS)
}

fn read_backend(fields: &mut Fields<'_>) -> Option<Backend> {
    let allowed = "`engine` or `plain`";
    let text: String = fields.required("backend", allowed)?;
    match text.as_str() {
        "engine" => Some(Backend::Engine),
        "plain" => Some(Backend::Plain),
        _ => {
            fields.add_finding("backend", allowed);
            None
        }
    }
}

/// Reads the port that serves as a lock, which must have a fixed number on loopback.
fn read_order_listen(fields: &mut Fields<'_>) -> Option<SocketAddr> {
    let address = address(fields, "order_listen")?;
    if address.ip().is_loopback() && address.port() != 0 {
        return Some(address);
    }
    fields.add_finding("order_listen", "a loopback address with a port above 0");
    None
}

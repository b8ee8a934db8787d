//! Settings of the agent.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use gate::Backend;
use node::settings::Fields;

use crate::rollout;

const ADDRESS: &str = "an address `IP:PORT`";
/// Allowed rates: 1 KB/s to 100 GB/s.
const RATE_RANGE: RangeInclusive<u64> = 1_000..=100_000_000_000;
/// Default rate of the VM's link: 1 Gbit/s, the link of a small VM.
const DEFAULT_RATE: u64 = 125_000_000;
/// Default rate between regions: half of a 20 Mbit/s link, which live traffic shares.
const DEFAULT_INTER_REGION_RATE: u64 = 1_250_000;
/// Maximum size of the chunk cache, in bytes.
const MAX_CACHE: u64 = 1 << 40;
/// Default size of the chunk cache: 64 MB, the memory that a VM allows for control.
const DEFAULT_CACHE: u64 = 64 << 20;

/// Contents of the agent's settings file.
///
/// Rates are in bytes per second, sizes in bytes.
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
    /// Kind of the backend.
    pub backend: Backend,
    /// Address of the engine or plain service.
    pub backend_address: SocketAddr,
    /// Address of the call port, for requests from entries.
    pub call_listen: SocketAddr,
    /// Address of the chunk port, for other agents.
    pub chunk_listen: SocketAddr,
    /// Address of the operator port.
    pub operator_listen: SocketAddr,
    /// Loopback address that is bound as a lock, so that no second agent sends orders on this VM.
    pub order_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the weight store; required if the backend is an engine.
    pub store: Option<SocketAddr>,
    /// Addresses of entries' peer ports to report to before any entry is known.
    pub seeds: Vec<SocketAddr>,
    /// Maximum rate at which chunks are sent.
    pub uplink: u64,
    /// Maximum rate at which chunks are received.
    pub downlink: u64,
    /// Maximum rate at which chunks are received from other regions.
    pub inter_region: u64,
    /// Maximum size of the cached chunks, not counting those kept for other agents.
    pub chunk_cache: u64,
    /// Time after which an activate order without a response counts as lost.
    pub activate_timeout: Duration,
}

/// Settings of the agent for either of the interfaces that it serves.
pub type Interface = node::settings::Interface<Settings, rollout::Settings>;

impl node::settings::Settings for Settings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.text("name");
        let domain = fields.text("domain");
        let region = fields.text("region");
        let service = fields.text("service");
        let backend = read_backend(fields);
        let backend_address = read_address(fields, "backend_address");
        let call_listen = read_address(fields, "call_listen");
        let chunk_listen = read_address(fields, "chunk_listen");
        let operator_listen = read_address(fields, "operator_listen");
        let order_listen = read_order_listen(fields);
        let platform = read_address(fields, "platform");
        let store = fields.optional("store", ADDRESS, None);
        if backend == Some(Backend::Engine) && store == Some(None) {
            fields.add_finding("store", "an address, since the backend is an engine");
        }
        let seeds = fields.optional("seeds", "an array of addresses `IP:PORT`", Vec::new());
        let uplink = fields.number("uplink", RATE_RANGE, Some(DEFAULT_RATE));
        let downlink = fields.number("downlink", RATE_RANGE, Some(DEFAULT_RATE));
        let inter_region =
            fields.number("inter_region", RATE_RANGE, Some(DEFAULT_INTER_REGION_RATE));
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

fn read_address(fields: &mut Fields<'_>, name: &'static str) -> Option<SocketAddr> {
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

/// Reads the address that serves as a lock; it must be a loopback address with a fixed port.
fn read_order_listen(fields: &mut Fields<'_>) -> Option<SocketAddr> {
    let address = read_address(fields, "order_listen")?;
    if address.ip().is_loopback() && address.port() != 0 {
        return Some(address);
    }
    fields.add_finding("order_listen", "a loopback address with a port above 0");
    None
}

//! Settings of the agent on the users' platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use node::settings::Fields;

/// Share of the VM's link that chunks of weights may use; requests share the link.
const LINK_SHARE: f64 = 0.85;
/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Maximum size of the chunk cache, in bytes.
const MAX_CACHE: u64 = 1 << 40;
/// Default size of the chunk cache, in bytes: three quarters of the memory that a VM allows for control.
const DEFAULT_CACHE: u64 = 48 << 20;

/// Contents of the agent's settings file on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Address of the engine on this VM.
    pub engine: SocketAddr,
    /// Service that the engine serves.
    pub service: String,
    /// Address of the chunk port; all agents use the same port number.
    pub chunk_listen: SocketAddr,
    /// Address of the operator port.
    pub operator_listen: SocketAddr,
    /// UDP address on which entries subscribe to loads; all agents use the same port number.
    pub load_listen: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Rate of the VM's link, in megabits per second.
    pub link_mbps: f64,
    /// Maximum bytes of cached chunks, not counting those kept for other agents; a version with more of them can't be
    /// loaded.
    pub chunk_cache: u64,
    /// Time within which a required version of weights must have replaced all older ones.
    pub version: Duration,
}

impl Settings {
    /// Returns the bytes per second of the VM's link that chunks of weights may use.
    pub fn link_rate(&self) -> u64 {
        (self.link_mbps * BYTES_PER_MBIT * LINK_SHARE) as u64
    }
}

impl node::settings::Settings for Settings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let address = "an address such as \"10.0.0.1:8080\"";
        let name = fields.text("name");
        let domain = fields.text("domain");
        let regions = fields.required("regions", "an object of regions by failure domain");
        let engine = fields.required("engine", address);
        let service = fields.text("service");
        let chunk_listen = fields.required("chunk_listen", address);
        let operator_listen = fields.required("operator_listen", address);
        let load_listen = fields.required("load_listen", address);
        let platform = fields.required("platform", address);
        let link_mbps = fields.number("link_mbps", 0.1..=1e6, None);
        let chunk_cache = fields.number("chunk_cache", 0..=MAX_CACHE, Some(DEFAULT_CACHE));
        let version = fields.millis("version_ms", 0..=3_600_000, None);
        Some(Self {
            name: name?,
            domain: domain?,
            regions: regions?,
            engine: engine?,
            service: service?,
            chunk_listen: chunk_listen?,
            operator_listen: operator_listen?,
            load_listen: load_listen?,
            platform: platform?,
            link_mbps: link_mbps?,
            chunk_cache: chunk_cache?,
            version: version?,
        })
    }
}

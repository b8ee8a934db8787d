//! Settings of the entry.

use std::net::SocketAddr;
use std::time::Duration;

use node::settings::Fields;

use crate::ingress;

/// The settings file of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for other entries and for agents.
    pub peer_listen: SocketAddr,
    /// Listen address for operators.
    pub operator_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses of entries to contact before any entry is known.
    pub seeds: Vec<SocketAddr>,
    /// Time from a stop request until new requests are refused.
    ///
    /// Must be long enough for the balancer to notice that `/healthz` fails.
    pub balancer_wait: Duration,
    /// Maximum time for requests in progress to finish after that.
    pub drain_timeout: Duration,
    /// Maximum time without new data while a response body is received.
    pub stall_timeout: Duration,
}

/// Settings of either interface that an entry can serve.
pub type Interface = node::settings::Interface<Settings, ingress::Settings>;

impl node::settings::Settings for Settings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let address = "an address such as \"10.0.0.1:8080\"";
        let name = fields.text("name");
        let domain = fields.text("domain");
        let region = fields.text("region");
        let caller_listen = fields.required("caller_listen", address);
        let peer_listen = fields.required("peer_listen", address);
        let operator_listen = fields.required("operator_listen", address);
        let platform = fields.required("platform", address);
        let seeds = fields.optional("seeds", "an array of addresses", Vec::new());
        let balancer_wait = fields.millis("balancer_wait_ms", 0..=60_000, Some(5_000));
        let drain_timeout = fields.millis("drain_ms", 0..=600_000, Some(60_000));
        let stall_timeout = fields.millis("stall_ms", 100..=600_000, Some(30_000));
        Some(Self {
            name: name?,
            domain: domain?,
            region: region?,
            caller_listen: caller_listen?,
            peer_listen: peer_listen?,
            operator_listen: operator_listen?,
            platform: platform?,
            seeds: seeds?,
            balancer_wait: balancer_wait?,
            drain_timeout: drain_timeout?,
            stall_timeout: stall_timeout?,
        })
    }
}

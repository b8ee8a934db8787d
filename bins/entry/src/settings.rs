//! Settings of the entry.

use std::net::SocketAddr;
use std::time::Duration;

use node::settings::Fields;

use crate::ingress;

/// Everything that the entry reads from its settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Port for callers.
    pub caller_listen: SocketAddr,
    /// Port for other entries and for agents.
    pub peer_listen: SocketAddr,
    /// Port for operators.
    pub operator_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer ports of entries to ask for records before any entry is known.
    pub seeds: Vec<SocketAddr>,
    /// Time from a stop request until new requests are refused: the balancer must notice `/healthz` within it.
    pub balancer_wait: Duration,
    /// Time that requests in progress then get to finish.
    pub drain: Duration,
    /// Longest time between two pieces of an answer.
    pub stall: Duration,
}

/// Settings by the interface that the entry serves.
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
        let drain = fields.millis("drain_ms", 0..=600_000, Some(60_000));
        let stall = fields.millis("stall_ms", 100..=600_000, Some(30_000));
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
            drain: drain?,
            stall: stall?,
        })
    }
}

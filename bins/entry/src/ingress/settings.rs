//! Settings of an entry on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{RegionMap, RetryLimit};
use node::settings::Fields;

/// Default interval at which targets renew their registrations, in milliseconds.
const HEARTBEAT_MS: u64 = 1200;

/// Settings of the ingress, read from the settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: RegionMap,
    /// Port for callers.
    pub caller_listen: SocketAddr,
    /// Port for the balancer's readiness checks.
    pub ready_listen: SocketAddr,
    /// Port for operators.
    pub operator_listen: SocketAddr,
    /// UDP port on which agents report the load of their engines, and TCP port on which this entry serves the store's
    /// objects to other entries; agents and entries all use the same port number.
    pub load_listen: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Bounds set by the deployment.
    pub bounds: Bounds,
}

/// Bounds set by the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Time after the end of a store outage within which the deployment's bounds must hold again.
    pub store_recovery: Duration,
    /// Time within which requests must stop going to a target that leaves.
    pub target_drain: Duration,
    /// Interval at which targets renew their registrations.
    pub heartbeat: Duration,
    /// Time within which a newly named version of weights must have replaced all older ones.
    pub version_deadline: Duration,
    /// Time within which requests must stop going to an evacuated failure domain; `None` if none is ever evacuated.
    pub evacuation: Option<Duration>,
    /// Limit on retries over all entries.
    pub retries: RetryLimit,
}

impl node::settings::Settings for Settings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let address = "an address such as \"10.0.0.1:8080\"";
        let name = fields.text("name");
        let domain = fields.text("domain");
        let regions = fields.required("regions", "an object of regions by failure domain");
        let caller_listen = fields.required("caller_listen", address);
        let ready_listen = fields.required("ready_listen", address);
        let operator_listen = fields.required("operator_listen", address);
        let load_listen = fields.required("load_listen", address);
        let platform = fields.required("platform", address);
        let bounds = fields.object("bounds");
        Some(Self {
            name: name?,
            domain: domain?,
            regions: regions?,
            caller_listen: caller_listen?,
            ready_listen: ready_listen?,
            operator_listen: operator_listen?,
            load_listen: load_listen?,
            platform: platform?,
            bounds: bounds?,
        })
    }
}

impl node::settings::Settings for Bounds {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let grace = fields.seconds("grace_s", 0.0..=3600.0);
        let store_recovery = fields.millis("contact_ms", 100..=3_600_000, None);
        let target_drain = fields.millis("drain_ms", 0..=3_600_000, None);
        let heartbeat = fields.millis("heartbeat_ms", 1..=3_600_000, Some(HEARTBEAT_MS));
        let version_deadline = fields.millis("version_ms", 0..=3_600_000, None);
        let evacuation = fields.millis("evacuation_ms", 0..=3_600_000, Some(0));
        let ratio = fields.number("repeat_ratio", 0.0..=100.0, None);
        let extra = fields.number("repeat_extra", 0.0..=1e6, None);
        let window = fields.seconds("repeat_window_s", 0.001..=3600.0);
        Some(Self {
            grace: grace?,
            store_recovery: store_recovery?,
            target_drain: target_drain?,
            heartbeat: heartbeat?,
            version_deadline: version_deadline?,
            evacuation: evacuation.map(|bound| (!bound.is_zero()).then_some(bound))?,
            retries: RetryLimit {
                ratio: ratio?,
                extra_per_window: extra?,
                window: window?,
            },
        })
    }
}

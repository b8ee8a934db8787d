//! Settings of an entry on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{RegionMap, RetryLimit};
use node::http::Limits;
use node::settings::Fields;

/// Default interval at which targets renew their registrations, in milliseconds.
const HEARTBEAT_MS: u64 = 1200;
/// Default number of connections of callers, if the descriptors allow it. Each takes about 60 KB once bytes have arrived on
/// it, and the smallest VMs have 112 MB.
const MAX_CONNECTIONS: usize = 1024;
/// Default timeout for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 120_000;
/// Default time after which an unfinished request that stands still may give way, in milliseconds.
const STALL_MS: u64 = 1_000;

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
    /// Limits on what callers may occupy.
    pub callers: CallerLimits,
}

/// Limits on what callers may occupy, in addition to the limits of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Memory for all request bodies together, in bytes.
    pub body_memory: usize,
    /// Memory for all unfinished heads together, in bytes.
    pub head_memory: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Time without progress after which an unfinished request gives way if others need its memory or its connection.
    pub stall: Duration,
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
        let callers = fields.optional_object("callers");
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
            callers: callers?,
        })
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            body_memory: limits.body_memory,
            head_memory: limits.head_memory,
            connections: limits.max_connections.min(MAX_CONNECTIONS),
            body_timeout: Duration::from_millis(BODY_TIMEOUT_MS),
            stall: Duration::from_millis(STALL_MS),
        }
    }
}

impl node::settings::Settings for CallerLimits {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let defaults = Self::default();
        let memory = 65_536..=1 << 40;
        let body_memory = fields.number(
            "body_memory_bytes",
            memory.clone(),
            Some(defaults.body_memory),
        );
        let head_memory = fields.number("head_memory_bytes", memory, Some(defaults.head_memory));
        let connections = fields.number("connections", 1..=1 << 20, Some(defaults.connections));
        let body_timeout = fields.millis("body_timeout_ms", 100..=3_600_000, Some(BODY_TIMEOUT_MS));
        let stall = fields.millis("stall_ms", 10..=3_600_000, Some(STALL_MS));
        Some(Self {
            body_memory: body_memory?,
            head_memory: head_memory?,
            connections: connections?,
            body_timeout: body_timeout?,
            stall: stall?,
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

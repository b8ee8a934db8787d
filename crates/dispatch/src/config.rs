//! The operators' configuration: routes, services, tenants and limits.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quota::Limit;
use serde::{Deserialize, Serialize};

use crate::region::AllowedRegions;

/// One version of the configuration, indexed for request routing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number that the operator assigned; it increases, not necessarily by 1.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on the size and duration of callers' requests.
    pub limits: Limits,
    /// Routes by host in lower case, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    /// Shortest latency objective among the routes of each service.
    shortest_objectives: BTreeMap<String, Duration>,
    /// Largest priority value of the routes and tenants, the least urgent one.
    lowest_rank: u8,
    /// Tenants by API key; `None` if the configuration knows no tenants, and requests need no key.
    tenants: Option<HashMap<String, Tenant>>,
}

/// Destination and settings for requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried after they may have run.
    pub kind: RequestKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Time within which an answer counts as on time.
    pub objective: Duration,
    /// Longest gap between two events of a stream that counts as on time.
    pub max_event_gap: Option<Duration>,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights in the traffic split.
    pub backends: Vec<(String, u32)>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
    /// Regions whose targets may serve the route's requests; `None` for all regions.
    pub allowed_regions: Option<Rc<AllowedRegions>>,
}

/// Whether a request may be retried without the caller's consent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another target may continue the stream after the last event that the caller received.
        resumable: bool,
    },
}

/// A service that requests are routed to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Performance model of the engines, if the service generates tokens.
    pub engine: Option<Engine>,
    /// Origin of the weights, if this is the service that serves them.
    pub origin: Option<Origin>,
    /// Requests per second that a cold target accepts from all entries together, if limited.
    pub cold_limit: Option<Limit>,
}

/// Performance model and sizes of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Base duration of a decoding step, in milliseconds.
    pub base_step_ms: f64,
    /// Additional duration of a step per running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Additional duration of a step per 1,000 tokens of context, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prefill speed, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Tokens generated between two events of a stream.
    pub tokens_per_event: u32,
    /// Mean number of prompt tokens.
    pub mean_prompt_tokens: f64,
    /// Mean number of generated tokens.
    pub mean_output_tokens: f64,
    /// Number of chunks in a version of the weights.
    pub pieces: u32,
    /// Size of a chunk, in bytes.
    pub piece_bytes: u32,
    /// Models of the service.
    pub models: Vec<Model>,
}

/// A model that the engines of a service load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Time to load staged weights.
    pub warmup: Duration,
}

/// Service that weights are downloaded from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Origin {
    /// Address of the service.
    pub address: SocketAddr,
    /// Bandwidth of its link, in bytes per second.
    pub bytes_per_s: u64,
}

/// Part of the configuration that the agents of a service's engines need to fetch weights.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WeightSource {
    /// Version of the configuration.
    pub config: u64,
    /// Model that the engines load.
    pub model: String,
    /// Number of chunks in a version of its weights.
    pub pieces: u32,
    /// Size of a chunk, in bytes.
    pub piece_bytes: u32,
    /// Origin of the weights, if the configuration names one.
    pub origin: Option<Origin>,
}

/// Customer that holds API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, passed on to targets.
    pub name: String,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
    /// Regions whose targets may serve the tenant's requests; `None` for all regions.
    pub allowed_regions: Option<Rc<AllowedRegions>>,
}

/// Bounds on the size of callers' requests and on the time callers may take to send them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the headers must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Config {
    /// Builds a configuration. `routes` are pairs of host and route; `tenants` are by API key, and `None` if requests need
    /// no key.
    pub fn new(
        version: u64,
        services: BTreeMap<String, Service>,
        limits: Limits,
        routes: impl IntoIterator<Item = (String, Route)>,
        tenants: Option<HashMap<String, Tenant>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        let mut shortest_objectives: BTreeMap<String, Duration> = BTreeMap::new();
        let tenant_ranks = tenants.iter().flat_map(HashMap::values);
        let tenant_ranks = tenant_ranks.filter_map(|tenant| tenant.priority);
        let mut lowest_rank = tenant_ranks.max().unwrap_or(0);
        for (host, route) in routes {
            lowest_rank = lowest_rank.max(route.priority);
            for (service, _) in &route.backends {
                let shortest = shortest_objectives.entry(service.clone());
                let shortest = shortest.or_insert(route.objective);
                *shortest = (*shortest).min(route.objective);
            }
            by_host
                .entry(host.to_ascii_lowercase())
                .or_default()
                .push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            routes: by_host,
            shortest_objectives,
            lowest_rank,
            tenants,
        }
    }

    /// Returns the shortest latency objective among the routes of `service`, if it has any.
    pub(crate) fn shortest_objective(&self, service: &str) -> Option<Duration> {
        self.shortest_objectives.get(service).copied()
    }

    /// Returns the least urgent priority of the routes and tenants, which has the largest value.
    pub(crate) fn lowest_rank(&self) -> u8 {
        self.lowest_rank
    }

    /// Returns the route with the longest prefix of `path` at `host`.
    ///
    /// Host names are compared without regard to case; a port after the name is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants.as_ref()?.get(key)
    }

    /// Returns whether requests need the API key of a tenant.
    ///
    /// They still do when no tenant holds a key any more. Otherwise revoking the last key would admit every caller.
    pub fn has_tenants(&self) -> bool {
        self.tenants.is_some()
    }

    /// Returns the number of API keys, or `None` if requests need none.
    pub fn key_count(&self) -> Option<usize> {
        self.tenants.as_ref().map(HashMap::len)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns where the engines of `service` get their weights, or `None` if it has no engines that load a model.
    pub fn weight_source(&self, service: &str) -> Option<WeightSource> {
        let engine = self.services.get(service)?.engine.as_ref()?;
        Some(WeightSource {
            config: self.version,
            model: engine.models.first()?.name.clone(),
            pieces: engine.pieces,
            piece_bytes: engine.piece_bytes,
            origin: self.services.values().find_map(|service| service.origin),
        })
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number from 0 to 1.
    pub fn pick_backend(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.backends.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.backends {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        let weighted = self.backends.iter().rev().find(|(_, weight)| *weight > 0);
        weighted.map(|(service, _)| service.as_str())
    }
}

impl Default for Limits {
    /// Allows 16 KiB of headers within 3 s, a body of 4 MiB and 15 s of idle time.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

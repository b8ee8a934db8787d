//! The operators' configuration: routes, services and tenants.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use quota::Limit;
use serde::{Deserialize, Serialize};

/// One version of the configuration, in the form that requests are evaluated against.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version as the operator counts it; rises in uneven steps.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds of what callers may send.
    pub limits: Limits,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    /// Tenants by API key.
    tenants: HashMap<String, Tenant>,
}

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer counts as served in time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that counts as in time.
    pub gap: Option<Duration>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub backends: Vec<(String, u32)>,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests carry no API key.
    pub anonymous: bool,
}

/// What may be repeated without the caller's consent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a series of events; a resumable one may be continued by another target.
    Streaming {
        /// Whether a run may be continued after the last event that was passed on.
        resumable: bool,
    },
}

/// A service that requests are routed to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// What is known of the engines of a service that generates tokens.
    pub engine: Option<Engine>,
    /// Where weights come from, for the service that hands them out.
    pub origin: Option<Origin>,
    /// Requests a second that a cold target takes from all entries together, where that is limited.
    pub cold_limit: Option<Limit>,
}

/// Speeds and sizes of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the memory for contexts.
    pub memory_tokens: u64,
    /// Time of a token step with no request, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step per running request, in milliseconds.
    pub request_ms: f64,
    /// Additional time of a step per 1,000 tokens of context, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read per millisecond.
    pub prefill: f64,
    /// Tokens produced between two events of a stream.
    pub stride: u32,
    /// Mean number of prompt tokens.
    pub usual_prompt: f64,
    /// Mean number of tokens of an answer.
    pub usual_answer: f64,
    /// Parts of a version of the weights.
    pub pieces: u32,
    /// Bytes of a part.
    pub piece_bytes: u32,
    /// Models of the service.
    pub models: Vec<Model>,
}

/// A model that the engines of a service load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Time that loading staged weights takes.
    pub warmup: Duration,
}

/// Where weights come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Origin {
    /// Address of the service.
    pub address: SocketAddr,
    /// Bytes a second that its link carries.
    pub bytes_per_s: u64,
}

/// What the agents of a service's engines need to know of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Source {
    /// Version of the configuration.
    pub config: u64,
    /// Model that the engines load.
    pub model: String,
    /// Parts of a version of its weights.
    pub pieces: u32,
    /// Bytes of a part.
    pub piece_bytes: u32,
    /// Where the weights come from, if the configuration names such a service.
    pub origin: Option<Origin>,
}

/// Owner of API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, which targets are told.
    pub name: String,
    /// Rank of its requests; goes before that of the route.
    pub priority: Option<u8>,
}

/// Bounds of what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most bytes of a request's line and headers.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which the headers must arrive.
    pub header_time: Duration,
    /// Time for which an idle connection stays open.
    pub idle_time: Duration,
}

impl Config {
    /// Returns a configuration of the given parts; routes are pairs of host and route, tenants of API key and tenant.
    pub fn new(
        version: u64,
        services: BTreeMap<String, Service>,
        limits: Limits,
        routes: impl IntoIterator<Item = (String, Route)>,
        tenants: impl IntoIterator<Item = (String, Tenant)>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for (host, route) in routes {
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
            tenants: tenants.into_iter().collect(),
        }
    }

    /// Returns the route of `path` at `host`: of those whose prefix begins the path, the one with the longest.
    ///
    /// A port behind the host's name is ignored.
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
        self.tenants.get(key)
    }

    /// Tells whether requests need an API key.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the number of routes.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns where the engines of `service` get their weights; `None` when it has no engines that load a model.
    pub fn source(&self, service: &str) -> Option<Source> {
        let engine = self.services.get(service)?.engine.as_ref()?;
        Some(Source {
            config: self.version,
            model: engine.models.first()?.name.clone(),
            pieces: engine.pieces,
            piece_bytes: engine.piece_bytes,
            origin: self.services.values().find_map(|service| service.origin),
        })
    }
}

impl Route {
    /// Returns the service for a request, chosen by weight with `draw`, a number from 0 to 1.
    pub fn backend(&self, draw: f64) -> Option<&str> {
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
    /// Returns 16 KB of headers within 3 s, 4 MB of body and 15 s of idle time.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

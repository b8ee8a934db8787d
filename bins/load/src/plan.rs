//! What an experiment consists of.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Domains, targets, weights and links of an experiment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Region of each domain; without any, each domain is a region of its own.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<String>,
    /// Entry VMs of each domain.
    pub entries: u8,
    /// Targets with a model engine in each domain.
    pub engines: u8,
    /// Targets with a plain service in each domain.
    pub plains: u8,
    /// What the transfer saves first, as in the catalogue.
    pub transfer: String,
    /// Size of each version of the model, in bytes.
    pub model_bytes: u64,
    /// Size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// Rate of the origin's link, in bytes a second.
    pub origin_bytes_per_s: u64,
    /// Rate of each agent's link in each direction, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Rate at which each agent receives from other regions, in bytes a second.
    pub region_bytes_per_s: u64,
    /// Rate of each region's link to the others, in bytes a second; it takes the place of `region_bytes_per_s`. Each
    /// agent gets an equal share, because owners receive equal shares from other regions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region_link_bytes_per_s: Option<u64>,
    /// What fails once the agents hold [`Fault::SHARE`] of all chunks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fault: Option<Fault>,
    /// Whether engines refuse orders with an old fencing number.
    pub engines_check_fencing: bool,
    /// Requests that an engine runs at once.
    pub engine_slots: u32,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Time that a plain service takes for a call, in milliseconds.
    pub service_ms: u64,
}

/// A fault during a burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// All processes of the last domain are killed.
    DomainLost,
    /// One agent in ten is killed, spread over the domains.
    AgentsKilled,
    /// A third of the last domain's targets are killed at once, agents and backends.
    RackLost,
    /// The targets of [`Fault::RackLost`] are stopped by SIGSTOP at once and continued after [`Fault::CUT`].
    RackCut,
    /// The first agent is stopped by SIGSTOP and continued after [`Fault::STALL`].
    OwnerStalled,
}

impl Fault {
    /// Share of all chunks that the agents hold when the fault comes.
    pub const SHARE: f64 = 0.25;
    /// Time for which an owner is stalled, longer than the 2 s after which a request is given up.
    pub const STALL: Duration = Duration::from_secs(5);
    /// Time for which a rack is cut off, longer than the 5 s after which its targets are down.
    pub const CUT: Duration = Duration::from_secs(30);
    /// One in this many targets of a domain stands in the same rack.
    pub const RACKS: usize = 3;
}

impl Plan {
    /// Returns the rate at which each agent receives from other regions, in bytes a second.
    pub fn region_share(&self) -> u64 {
        self.region_link_bytes_per_s
            .map_or(self.region_bytes_per_s, |link| {
                // Domains of the same region share its link.
                let agents = self.region_domains() * u64::from(self.engines);
                (link / agents.max(1)).max(1)
            })
    }

    /// Returns the region of the domain with this name.
    pub fn region(&self, domain: &str) -> &str {
        let index = self.domains.iter().position(|name| name == domain);
        let region = index.and_then(|index| self.regions.get(index));
        region
            .or(index.map(|index| &self.domains[index]))
            .map_or("", |name| name)
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        let regions = self.domains.iter().map(|domain| self.region(domain));
        regions.collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of domains in the region that has most of them.
    pub fn region_domains(&self) -> u64 {
        let sharing = self.domains.iter().map(|domain| {
            let same = |other: &&String| self.region(other) == self.region(domain);
            self.domains.iter().filter(same).count() as u64
        });
        sharing.max().unwrap_or(1)
    }

    /// Returns the number of domains that draw from the origin while all are alive.
    pub fn drawing_domains(&self) -> usize {
        match self.transfer.as_str() {
            "origin_bytes" => 1,
            "direct" => self.domains.len(),
            _ => self.domains.len().min(3),
        }
    }

    /// Returns the number of targets with an engine.
    pub fn replicas(&self) -> usize {
        self.domains.len() * usize::from(self.engines)
    }

    /// Returns the number of chunks of each version.
    pub fn chunks(&self) -> u64 {
        self.model_bytes.div_ceil(u64::from(self.chunk_bytes))
    }
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            domains: vec!["levis".into(), "beauce".into()],
            regions: Vec::new(),
            entries: 1,
            engines: 3,
            plains: 1,
            transfer: "origin_bytes".into(),
            model_bytes: 16 << 20,
            chunk_bytes: 256 << 10,
            origin_bytes_per_s: 16 << 20,
            link_bytes_per_s: 8 << 20,
            region_bytes_per_s: 4 << 20,
            region_link_bytes_per_s: None,
            fault: None,
            engines_check_fencing: true,
            engine_slots: 8,
            first_token_ms: 20,
            token_ms: 2,
            service_ms: 5,
        }
    }
}

//! Metrics of the HTTP servers of a process; `docs/METRICS.md` describes them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters and gauges by port; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    refusals: Family<ReasonLabels, Counter>,
    closures: Family<ReasonLabels, Counter>,
    connections: Family<PortLabel, Gauge>,
    bodies: Family<PortLabel, Gauge>,
    body_bytes: Family<PortLabel, Gauge>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ReasonLabels {
    port: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct PortLabel {
    port: &'static str,
}

impl Metrics {
    /// Adds the metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("carobport_http");
        registry.register(
            "refusals",
            "Requests that a port refused before they were handled",
            self.refusals.clone(),
        );
        registry.register(
            "closures",
            "Connections that were closed because others needed their place",
            self.closures.clone(),
        );
        registry.register("connections", "Open connections", self.connections.clone());
        registry.register(
            "bodies",
            "Bodies that are being received or belong to a request in progress",
            self.bodies.clone(),
        );
        registry.register(
            "body_bytes",
            "Memory reserved for these bodies",
            self.body_bytes.clone(),
        );
    }

    pub(super) fn count_refusal(&self, port: &'static str, reason: &'static str) {
        let labels = ReasonLabels { port, reason };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(super) fn count_closure(&self, port: &'static str, reason: &'static str) {
        let labels = ReasonLabels { port, reason };
        self.closures.get_or_create(&labels).inc();
    }

    pub(super) fn set_usage(
        &self,
        port: &'static str,
        connections: usize,
        bodies: usize,
        body_bytes: usize,
    ) {
        let label = PortLabel { port };
        self.connections
            .get_or_create(&label)
            .set(connections as i64);
        self.bodies.get_or_create(&label).set(bodies as i64);
        self.body_bytes.get_or_create(&label).set(body_bytes as i64);
    }
}

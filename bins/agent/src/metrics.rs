//! Metrics of the agent; `docs/METRICS.md` lists them.

mod loads;
mod transfers;

pub use loads::{Change, LoadMetrics};
pub use transfers::{Remote, TransferMetrics};

use gate::OrderAnswer;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

/// The metrics; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    calls: Family<Labels, Counter>,
    orders: Family<Labels, Counter>,
    /// Answers computed from other weights than requested.
    pub mismatches: Counter,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// State of the gate: 0 closed, 1 open, 2 draining.
    pub gate: Gauge,
    /// Metrics of weight transfers.
    pub transfers: TransferMetrics,
}

impl Metrics {
    /// Counts a call that ended.
    pub fn record_call(&self, outcome: &str, reason: &str) {
        let labels = vec![("outcome", outcome.into()), ("reason", reason.into())];
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts an activate order.
    pub fn record_order(&self, answer: OrderAnswer) {
        let answer = match answer {
            OrderAnswer::Confirmed(_) => "confirmed",
            OrderAnswer::Stale => "stale",
            OrderAnswer::Refused => "refused",
            OrderAnswer::Lost => "lost",
        };
        self.orders
            .get_or_create(&vec![("answer", answer.into())])
            .inc();
    }

    /// Registers the metrics with `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("carobport_agent_calls", "Calls ended", self.calls.clone());
        registry.register(
            "carobport_agent_orders",
            "Activate orders given",
            self.orders.clone(),
        );
        registry.register(
            "carobport_agent_mismatches",
            "Answers dropped because they were made from other weights",
            self.mismatches.clone(),
        );
        registry.register(
            "carobport_agent_in_progress",
            "Requests in progress",
            self.in_progress.clone(),
        );
        registry.register(
            "carobport_agent_gate",
            "State of the gate: 0 closed, 1 open, 2 draining",
            self.gate.clone(),
        );
        self.transfers.register(registry);
    }
}

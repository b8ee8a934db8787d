//! Metrics of the loads that the agent orders from an engine on the users' platform.

use std::time::Duration;

use platform::engine::OrderResult;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the histogram buckets, in seconds; a load must be ordered within seconds of its verification.
const DURATION_BOUNDS: [f64; 9] = [0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 3.0, 10.0];

type Labels = [(&'static str, &'static str); 1];

/// Counters of orders, staged chunks and lost responses; clones share their values.
#[derive(Clone, Debug)]
pub struct LoadMetrics {
    orders: Family<Labels, Counter>,
    unknown: Family<Labels, Counter>,
    /// Orders that the engine began although this agent had none outstanding.
    pub unexpected: Counter,
    /// Staged chunks that were missing or differed when they were read back.
    pub differing: Counter,
    chunk_age: Histogram,
    closed: Histogram,
}

/// A request to the engine that changes its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The upload of a chunk.
    Upload,
    /// The order to load the staged chunks.
    Order,
}

impl LoadMetrics {
    /// Counts the engine's response to an order.
    pub fn record_order(&self, result: OrderResult, chunk_age: Duration, closed: Duration) {
        let answer = match result {
            OrderResult::Begun => "begun",
            OrderResult::Done => "done",
            OrderResult::Conflict => "conflict",
            OrderResult::Fenced => "fenced",
            OrderResult::Refused => "refused",
        };
        add(&self.orders, "answer", answer);
        self.chunk_age.observe(chunk_age.as_secs_f64());
        self.closed.observe(closed.as_secs_f64());
    }

    /// Counts a request that may or may not have taken effect.
    pub fn record_unknown(&self, change: Change) {
        add(&self.unknown, "request", change.label());
    }

    /// Registers the metrics with `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("carobport_agent");
        registry.register(
            "engine_orders",
            "Orders that the engine answered",
            self.orders.clone(),
        );
        registry.register(
            "engine_unknown_outcomes",
            "Requests to the engine that may or may not have taken effect",
            self.unknown.clone(),
        );
        registry.register(
            "engine_unexpected_orders",
            "Orders that the engine began although this agent had none outstanding",
            self.unexpected.clone(),
        );
        registry.register(
            "staged_chunks_differing",
            "Staged chunks that were missing or differed when they were read back",
            self.differing.clone(),
        );
        registry.register_with_unit(
            "order_chunk_age",
            "Time from the verification of the oldest chunk to the response to the order",
            Unit::Seconds,
            self.chunk_age.clone(),
        );
        registry.register_with_unit(
            "order_closed",
            "Time from closing the target to the response to the order",
            Unit::Seconds,
            self.closed.clone(),
        );
    }
}

impl Default for LoadMetrics {
    fn default() -> Self {
        Self {
            orders: Family::default(),
            unknown: Family::default(),
            unexpected: Counter::default(),
            differing: Counter::default(),
            chunk_age: Histogram::new(DURATION_BOUNDS),
            closed: Histogram::new(DURATION_BOUNDS),
        }
    }
}

impl Change {
    /// Returns the name of the request in events and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Upload => "upload",
            Self::Order => "order",
        }
    }
}

fn add(family: &Family<Labels, Counter>, name: &'static str, value: &'static str) {
    family.get_or_create(&[(name, value)]).inc();
}

//! Metrics of the ingress; `docs/METRICS.md` describes them.

use std::time::Duration;

use dispatch::Failure;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the buckets of times to the first byte, in seconds.
const FIRST_BYTE_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0,
];

/// Counters and histograms of one entry.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    refused: Family<Why, Counter>,
    failed: Family<Why, Counter>,
    first_byte: Histogram,
    resumed: Counter,
    cut: Counter,
    callers_left: Counter,
    outdated: Counter,
    limited: Counter,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct Why {
    reason: &'static str,
}

impl Metrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            refused: Family::default(),
            failed: Family::default(),
            first_byte: Histogram::new(FIRST_BYTE_BOUNDS),
            resumed: Counter::default(),
            cut: Counter::default(),
            callers_left: Counter::default(),
            outdated: Counter::default(),
            limited: Counter::default(),
        };
        let registry = registry.sub_registry_with_prefix("carobport_ingress");
        registry.register(
            "refusals",
            "Requests that the entry answered by itself",
            metrics.refused.clone(),
        );
        registry.register(
            "failed_attempts",
            "Attempts without an answer to pass on",
            metrics.failed.clone(),
        );
        registry.register_with_unit(
            "first_byte",
            "Time from a request's arrival to the first byte of a target's answer",
            Unit::Seconds,
            metrics.first_byte.clone(),
        );
        registry.register(
            "streams_resumed",
            "Streams that went on at another target",
            metrics.resumed.clone(),
        );
        registry.register(
            "streams_cut",
            "Streams that ended before their last event",
            metrics.cut.clone(),
        );
        registry.register(
            "callers_left",
            "Requests whose caller left before the answer had ended",
            metrics.callers_left.clone(),
        );
        registry.register(
            "outdated_answers",
            "Answers from weights that were too old to begin a request when the first event came",
            metrics.outdated.clone(),
        );
        registry.register(
            "limited_attempts",
            "Requests sent to targets that take a limited number of them",
            metrics.limited.clone(),
        );
        metrics
    }

    pub(super) fn refused(&self, reason: &'static str) {
        self.refused.get_or_create(&Why { reason }).inc();
    }

    pub(super) fn failed(&self, failure: Failure) {
        let reason = failure.name();
        self.failed.get_or_create(&Why { reason }).inc();
    }

    pub(super) fn answered(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    pub(super) fn resumed(&self) {
        self.resumed.inc();
    }

    pub(super) fn cut(&self) {
        self.cut.inc();
    }

    pub(super) fn caller_left(&self) {
        self.callers_left.inc();
    }

    pub(super) fn outdated(&self) {
        self.outdated.inc();
    }

    pub(super) fn limited(&self) {
        self.limited.inc();
    }
}

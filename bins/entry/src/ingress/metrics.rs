//! Metrics of the ingress; `docs/METRICS.md` describes them.

use std::time::Duration;

use dispatch::Failure;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds in seconds of the histogram buckets for the time to the first byte.
const FIRST_BYTE_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0,
];

/// Upper bounds in seconds of the histogram buckets for the delay of changes.
const CHANGE_DELAY_BOUNDS: [f64; 8] = [0.1, 0.3, 0.7, 1.0, 1.5, 2.0, 3.0, 6.0];

/// Counters and histograms of one entry.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    refusals: Family<ReasonLabel, Counter>,
    failed_attempts: Family<ReasonLabel, Counter>,
    error_answers: Family<VerdictLabel, Counter>,
    first_byte: Histogram,
    streams_resumed: Counter,
    streams_cut: Counter,
    callers_left: Counter,
    outdated_answers: Counter,
    limited_attempts: Counter,
    target_crashes: Counter,
    quarantined_parts: Gauge,
    store_era: Gauge,
    evacuated_domains: Gauge,
    overloaded_services: Gauge,
    store_read_bytes: Family<KindLabel, Counter>,
    exchanged_bytes: Counter,
    change_delay: Family<KindLabel, Histogram>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct VerdictLabel {
    taken_for: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

impl Metrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            refusals: Family::default(),
            failed_attempts: Family::default(),
            error_answers: Family::default(),
            first_byte: Histogram::new(FIRST_BYTE_BOUNDS),
            streams_resumed: Counter::default(),
            streams_cut: Counter::default(),
            callers_left: Counter::default(),
            outdated_answers: Counter::default(),
            limited_attempts: Counter::default(),
            target_crashes: Counter::default(),
            quarantined_parts: Gauge::default(),
            store_era: Gauge::default(),
            evacuated_domains: Gauge::default(),
            overloaded_services: Gauge::default(),
            store_read_bytes: Family::default(),
            exchanged_bytes: Counter::default(),
            change_delay: Family::new_with_constructor(|| Histogram::new(CHANGE_DELAY_BOUNDS)),
        };
        let registry = registry.sub_registry_with_prefix("carobport_ingress");
        registry.register(
            "refusals",
            "Requests that the entry answered by itself",
            metrics.refusals.clone(),
        );
        registry.register(
            "failed_attempts",
            "Attempts without an answer to pass on",
            metrics.failed_attempts.clone(),
        );
        registry.register(
            "error_answers",
            "Answers of targets with an error status",
            metrics.error_answers.clone(),
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
            metrics.streams_resumed.clone(),
        );
        registry.register(
            "streams_cut",
            "Streams that ended before their last event",
            metrics.streams_cut.clone(),
        );
        registry.register(
            "callers_left",
            "Requests whose caller left before the answer had ended",
            metrics.callers_left.clone(),
        );
        registry.register(
            "outdated_answers",
            "Answers from weights that were too old to begin a request when the first event came",
            metrics.outdated_answers.clone(),
        );
        registry.register(
            "limited_attempts",
            "Requests sent to targets that take a limited number of them",
            metrics.limited_attempts.clone(),
        );
        registry.register(
            "target_crashes",
            "Targets that crashed while they began a request of this entry",
            metrics.target_crashes.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Parts of prompts that crashed several targets",
            metrics.quarantined_parts.clone(),
        );
        registry.register(
            "store_era",
            "Number of times that the store came back from an older copy",
            metrics.store_era.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains that operators evacuate",
            metrics.evacuated_domains.clone(),
        );
        registry.register(
            "overloaded_services",
            "Services whose less urgent requests are held back",
            metrics.overloaded_services.clone(),
        );
        registry.register(
            "store_read_bytes",
            "Bytes of the store's objects that the entry read",
            metrics.store_read_bytes.clone(),
        );
        registry.register(
            "exchanged_bytes",
            "Bytes that other entries sent of the store's objects",
            metrics.exchanged_bytes.clone(),
        );
        registry.register_with_unit(
            "change_delay",
            "Time for which a changed object may have been in force at other entries before it was read",
            Unit::Seconds,
            metrics.change_delay.clone(),
        );
        metrics
    }

    pub(super) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(super) fn count_failed_attempt(&self, failure: Failure) {
        let reason = failure.name();
        self.failed_attempts
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    pub(super) fn count_error_answer(&self, taken_for: &'static str) {
        self.error_answers
            .get_or_create(&VerdictLabel { taken_for })
            .inc();
    }

    pub(super) fn observe_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    pub(super) fn count_resumed_stream(&self) {
        self.streams_resumed.inc();
    }

    pub(super) fn count_cut_stream(&self) {
        self.streams_cut.inc();
    }

    pub(super) fn count_disconnect(&self) {
        self.callers_left.inc();
    }

    pub(super) fn count_outdated_answer(&self) {
        self.outdated_answers.inc();
    }

    pub(super) fn set_evacuated_domains(&self, count: usize) {
        self.evacuated_domains.set(count as i64);
    }

    pub(super) fn set_overloaded_services(&self, count: usize) {
        self.overloaded_services.set(count as i64);
    }

    pub(super) fn count_limited_attempt(&self) {
        self.limited_attempts.inc();
    }

    pub(super) fn set_quarantined_parts(&self, count: usize) {
        self.quarantined_parts.set(count as i64);
    }

    /// Counts a read of objects of `kind` from the store.
    pub(super) fn count_store_read(&self, kind: &'static str, bytes: usize) {
        let counter = self.store_read_bytes.get_or_create(&KindLabel { kind });
        counter.inc_by(bytes as u64);
    }

    /// Counts an answer of another entry.
    pub(super) fn count_exchanged(&self, bytes: usize) {
        self.exchanged_bytes.inc_by(bytes as u64);
    }

    /// Records that objects of `kind` changed, `delay` after they can have changed at the earliest.
    pub(super) fn observe_change(&self, kind: &'static str, delay: Duration) {
        let histogram = self.change_delay.get_or_create(&KindLabel { kind });
        histogram.observe(delay.as_secs_f64());
    }

    pub(super) fn count_crash(&self) {
        self.target_crashes.inc();
    }

    pub(super) fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }
}

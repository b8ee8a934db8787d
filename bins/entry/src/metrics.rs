//! Metrics of the entry; `docs/METRICS.md` describes them.

use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use route::Router;

/// Upper bounds of the time-to-first-byte histogram buckets, in seconds.
const FIRST_BYTE_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 5.0, 10.0, 30.0,
];

/// Metric labels that a request keeps from its arrival to its outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct RequestLabels {
    /// Requested service.
    pub service: String,
    /// Class of the request.
    pub class: String,
    /// Workspace of the caller.
    pub workspace: String,
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Family<OutcomeLabels, Counter>,
    first_byte: Family<ClassLabels, Histogram>,
    queue_length: Family<QueueLabels, Gauge>,
    in_progress: Family<ServiceLabels, Gauge>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    class: String,
    reason: String,
    workspace: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct QueueLabels {
    service: String,
    class: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

impl Metrics {
    /// Creates the metrics and registers them in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            first_byte: Family::new_with_constructor(|| Histogram::new(FIRST_BYTE_BOUNDS)),
            queue_length: Family::default(),
            in_progress: Family::default(),
        };
        let registry = registry.sub_registry_with_prefix("carobport");
        registry.register("requests", "Requests that ended", metrics.requests.clone());
        registry.register_with_unit(
            "first_byte",
            "Time from a request's arrival to the start of its answer",
            Unit::Seconds,
            metrics.first_byte.clone(),
        );
        registry.register(
            "queue_length",
            "Requests that wait for a target",
            metrics.queue_length.clone(),
        );
        registry.register(
            "in_progress",
            "Requests that were sent to targets and are not finished",
            metrics.in_progress.clone(),
        );
        // Counters restart at 0 with the process. The start time reveals a restart even if the counters have already
        // grown past their previous values.
        let start: Gauge<f64, AtomicU64> = Gauge::default();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        start.set(now.map_or(0.0, |now| now.as_secs_f64()));
        registry.register_with_unit(
            "start_time",
            "Start of the process, since 1970",
            Unit::Seconds,
            start,
        );
        metrics
    }

    /// Counts a finished request; `reason` is empty for outcomes without one.
    pub fn record_outcome(&self, labels: &RequestLabels, outcome: &'static str, reason: &str) {
        let RequestLabels {
            service,
            class,
            workspace,
        } = labels.clone();
        self.requests
            .get_or_create(&OutcomeLabels {
                service,
                class,
                reason: reason.into(),
                workspace,
                outcome,
            })
            .inc();
    }

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&self, labels: &RequestLabels, time: Duration) {
        let class = labels.class.clone();
        self.first_byte
            .get_or_create(&ClassLabels { class })
            .observe(time.as_secs_f64());
    }

    /// Updates the gauges of queue lengths and requests in progress.
    pub fn update_gauges(&self, router: &Router) {
        for service in router.services() {
            for (class, length) in router.waiting(service) {
                let queue = QueueLabels {
                    service: service.clone(),
                    class,
                };
                self.queue_length.get_or_create(&queue).set(length as i64);
            }
            let labels = ServiceLabels {
                service: service.clone(),
            };
            let in_progress = router.in_progress(service);
            self.in_progress
                .get_or_create(&labels)
                .set(i64::from(in_progress));
        }
    }
}

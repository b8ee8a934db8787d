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

/// Upper bounds of the buckets of times to the first byte, in seconds.
const FIRST_BYTE_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 5.0, 10.0, 30.0,
];

/// Labels of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct Labels {
    /// Service that was called.
    pub service: String,
    /// Class of the request.
    pub class: String,
    /// Workspace of the caller.
    pub workspace: String,
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Family<Ended, Counter>,
    first_byte: Family<Class, Histogram>,
    queue_length: Family<Queue, Gauge>,
    in_progress: Family<Service, Gauge>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct Ended {
    service: String,
    class: String,
    reason: String,
    workspace: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct Class {
    class: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct Queue {
    service: String,
    class: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct Service {
    service: String,
}

impl Metrics {
    /// Returns the metrics and registers them.
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
        // Counters begin at 0 with the process: a reader finds a restart by this time even when they have grown since.
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

    /// Counts a request that ended; `reason` is empty when the outcome needs none.
    pub fn ended(&self, labels: &Labels, outcome: &'static str, reason: &str) {
        let Labels {
            service,
            class,
            workspace,
        } = labels.clone();
        self.requests
            .get_or_create(&Ended {
                service,
                class,
                reason: reason.into(),
                workspace,
                outcome,
            })
            .inc();
    }

    /// Counts the time to the first byte of an answer.
    pub fn first_byte(&self, labels: &Labels, time: Duration) {
        let class = labels.class.clone();
        self.first_byte
            .get_or_create(&Class { class })
            .observe(time.as_secs_f64());
    }

    /// Takes the lengths of the queues and the numbers of requests in progress.
    pub fn observe(&self, router: &Router) {
        for service in router.services() {
            for (class, length) in router.waiting(service) {
                let queue = Queue {
                    service: service.clone(),
                    class,
                };
                self.queue_length.get_or_create(&queue).set(length as i64);
            }
            let labels = Service {
                service: service.clone(),
            };
            let in_progress = router.in_progress(service);
            self.in_progress
                .get_or_create(&labels)
                .set(i64::from(in_progress));
        }
    }
}

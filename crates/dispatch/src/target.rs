//! State of a target: its registration, its reported load and this entry's requests on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::config::Engine;
use crate::engine::Occupancy;
use crate::health::Health;
use crate::request::RequestId;

/// Id of a target. Most starts of a target have a new one.
pub type TargetId = String;

/// Age at which a load report is discarded.
const LOAD_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which a target gets no requests after it rejected one because it is not the registered target or holds
/// other weights. A changed registration or changed weights end it early.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(800);
/// Time until a request that was sent appears in its target's load reports.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(8);
/// Time in which half of a slowdown that a response stated is over. Targets share their machines with others whose load
/// changes several times a second.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(250);

/// A target's registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Id of the target.
    pub id: TargetId,
    /// Service that it provides.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
    /// Length of the cold period after its start.
    pub cold_period: Duration,
    /// Models whose weights it holds completely, with the version of each.
    pub weights: BTreeMap<String, u64>,
    /// Start time in milliseconds since the Unix epoch; distinguishes starts under the same id.
    pub started_at_ms: Option<u64>,
}

/// Load of a target at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the target's own queue.
    pub waiting: u32,
    /// Number of requests that it runs concurrently, if stated; goes before that of the registration.
    pub slots: Option<u32>,
    /// Factor by which the target is slower than usual.
    pub slowdown: f64,
    /// Whether it accepts new requests; it does not while it changes its weights.
    pub accepting: bool,
    /// Time until it stops accepting requests for a while, if known.
    pub closes_in: Option<Duration>,
    /// Models whose weights it holds, with the version of each, if the reporter knows them.
    pub weights: Option<BTreeMap<String, u64>>,
}

impl Load {
    /// Returns the number of requests on the target.
    fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The scheduler's state of a target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: Target,
    pub(crate) health: Health,
    own_requests: BTreeMap<RequestId, OwnRequest>,
    load: Option<LoadReport>,
    closed_since: Option<Instant>,
    /// Time until which the registration is assumed to be outdated.
    suspect_until: Option<Instant>,
    /// Requests of this entry that were sent, and that ended, since the last load report.
    sent_since_load: u32,
    ended_since_load: u32,
}

/// One of this entry's requests on the target.
#[derive(Clone, Copy, Debug)]
struct OwnRequest {
    prompt: u32,
    sent: Instant,
    started: Option<RunningStream>,
}

/// A stream whose first event has arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningStream {
    /// Version of the weights that it began with, if the answer states it.
    pub(crate) version: Option<u64>,
}

/// Where a load report comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadSource {
    /// An agent, which reports every lasting change.
    Agent,
    /// A response of the target; there may be no further one for a while.
    Response,
}

/// A load report and the number of other entries' requests derived from it.
#[derive(Clone, Debug)]
struct LoadReport {
    at: Instant,
    load: Load,
    source: LoadSource,
    others: u32,
    /// Requests of other entries that had no first event yet.
    others_unread: u32,
    /// Random number from 0 to 1 that rounds this entry's share of places up or down.
    random_fraction: f64,
}

impl TargetState {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            health: Health::default(),
            own_requests: BTreeMap::new(),
            load: None,
            closed_since: None,
            suspect_until: None,
            sent_since_load: 0,
            ended_since_load: 0,
        }
    }

    /// Replaces the registration. State is reset if the target has started anew or has another address.
    pub(crate) fn update(&mut self, target: Target) {
        if self.target.started_at_ms != target.started_at_ms
            || self.target.address != target.address
        {
            self.health = Health::default();
            self.load = None;
            self.closed_since = None;
        }
        if self.target != target {
            self.suspect_until = None;
        }
        self.target = target;
    }

    /// Records that the target rejected a request because it is not the expected target or holds other weights.
    pub(crate) fn record_misdirected(&mut self, now: Instant) {
        self.suspect_until = Some(now + MISDIRECTED_PAUSE);
    }

    /// Records a load report; `random_fraction`, from 0 to 1, rounds this entry's share of the free places.
    pub(crate) fn record_load(
        &mut self,
        now: Instant,
        load: Load,
        source: LoadSource,
        random_fraction: f64,
    ) {
        let is_visible =
            |own: &&OwnRequest| now.saturating_duration_since(own.sent) >= LOAD_REPORT_DELAY;
        let visible = self.own_requests.values().filter(is_visible);
        let own = visible.clone().count() as u32;
        let own_unread = visible.filter(|own| own.started.is_none()).count() as u32;
        let others = load.requests().saturating_sub(own);
        let others_unread = load.waiting.saturating_sub(own_unread).min(others);
        if let Some(weights) = &load.weights
            && self.target.weights != *weights
        {
            self.target.weights.clone_from(weights);
            self.suspect_until = None;
        }
        self.closed_since = match load.accepting {
            true => None,
            false => self.closed_since.or(Some(now)),
        };
        self.load = Some(LoadReport {
            at: now,
            load,
            source,
            others,
            others_unread,
            random_fraction,
        });
        self.sent_since_load = 0;
        self.ended_since_load = 0;
    }

    pub(crate) fn record_sent(&mut self, now: Instant, request: RequestId, prompt: u32) {
        let own = OwnRequest {
            prompt,
            sent: now,
            started: None,
        };
        self.own_requests.insert(request, own);
        self.sent_since_load += 1;
    }

    pub(crate) fn record_first_event(&mut self, request: RequestId, version: Option<u64>) {
        self.health.end_probe();
        if let Some(own) = self.own_requests.get_mut(&request) {
            own.started = Some(RunningStream { version });
        }
    }

    /// Returns this entry's streams whose first event has arrived.
    pub(crate) fn running_streams(&self) -> impl Iterator<Item = (RequestId, RunningStream)> {
        let running_streams = self.own_requests.iter();
        running_streams.filter_map(|(request, own)| Some((*request, own.started?)))
    }

    pub(crate) fn record_end(&mut self, request: RequestId) {
        if self.own_requests.remove(&request).is_some() {
            self.ended_since_load += 1;
        }
    }

    /// Returns whether this entry's share of the target's `places` has room for another request.
    ///
    /// All entries see the same load and would take the same free places, so each takes only its share of them until
    /// the next load report. A place that one of its own requests has freed belongs to it: other entries do not know of
    /// it yet.
    pub(crate) fn has_free_share(&self, now: Instant, places: u32, entries: usize) -> bool {
        let Some(report) = self.fresh_load(now) else {
            return true;
        };
        let load = &report.load;
        let free = places.saturating_sub(load.requests());
        let share = f64::from(free) / entries.max(1) as f64;
        let share = share.floor() + f64::from(u8::from(report.random_fraction < share.fract()));
        f64::from(self.sent_since_load) < share + f64::from(self.ended_since_load)
    }

    /// Returns the number of requests on the target, of this entry and others.
    pub(crate) fn request_count(&self, now: Instant) -> u32 {
        let others = self.fresh_load(now).map_or(0, |report| report.others);
        others.saturating_add(self.own_requests.len() as u32)
    }

    /// Returns whether the target accepts requests, according to its registration and last load report.
    pub(crate) fn is_accepting(&self, now: Instant) -> bool {
        let closed = self
            .fresh_load(now)
            .is_some_and(|report| !report.load.accepting);
        let suspect = self.suspect_until.is_some_and(|until| now < until);
        !self.target.draining && !closed && !suspect
    }

    /// Returns whether the target's failure history allows another request.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        !self.health.is_ejected(now) && (!self.health.is_probing() || self.own_requests.is_empty())
    }

    /// Returns the time at which the target will stop accepting requests for a while, if known.
    pub(crate) fn closes_at(&self, now: Instant) -> Option<Instant> {
        let report = self.fresh_load(now)?;
        report.load.closes_in.map(|closes| report.at + closes)
    }

    /// Returns the time since which load reports say that the target accepts no requests.
    pub(crate) fn closed_since(&self) -> Option<Instant> {
        self.closed_since
    }

    /// Returns the work that the target's engine holds.
    pub(crate) fn occupancy(&self, now: Instant, engine: &Engine) -> Occupancy {
        let unread_prompt_tokens: u32 = self
            .own_requests
            .values()
            .filter(|own| own.started.is_none())
            .map(|own| own.prompt)
            .sum();
        let fresh_load = self.fresh_load(now);
        let others_unread = fresh_load.map_or(0, |report| report.others_unread);
        Occupancy {
            requests: f64::from(self.request_count(now)),
            unread_prompt_tokens: f64::from(unread_prompt_tokens)
                + f64::from(others_unread) * engine.mean_prompt_tokens,
            slowdown: self.slowdown(now),
        }
    }

    /// Returns the factor by which the target is presumably slower than usual.
    ///
    /// A figure from a response describes one moment, so it approaches 1 as it ages.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        let Some(report) = self.fresh_load(now) else {
            return 1.0;
        };
        match report.source {
            LoadSource::Agent => report.load.slowdown,
            LoadSource::Response => {
                let age = now.saturating_duration_since(report.at).as_secs_f64();
                let remaining = 0.5f64.powf(age / SLOWDOWN_HALF_LIFE.as_secs_f64());
                1.0 + (report.load.slowdown - 1.0) * remaining
            }
        }
    }

    /// Returns the number of requests that the target runs concurrently, as it or its registration states.
    pub(crate) fn slots(&self, now: Instant) -> u32 {
        let stated = self.fresh_load(now).and_then(|report| report.load.slots);
        stated.unwrap_or(self.target.slots).max(1)
    }

    fn fresh_load(&self, now: Instant) -> Option<&LoadReport> {
        self.load
            .as_ref()
            .filter(|report| now.saturating_duration_since(report.at) < LOAD_MAX_AGE)
    }
}

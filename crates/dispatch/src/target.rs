//! A target: what is known of it and this entry's requests on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::config::Engine;
use crate::engine::Occupancy;
use crate::health::Health;
use crate::work::RequestId;

/// Id of a target, new with most starts.
pub type TargetId = String;

/// Age from which a load says nothing about the present any more.
const LOAD_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which a target gets no requests after it said that it isn't the one that is registered, or holds other weights;
/// news of it end that.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(800);
/// Time that a request takes to show in its target's load.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(8);

/// A target as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Id of this start of the target.
    pub id: TargetId,
    /// Service that it serves.
    pub service: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop and takes no new work.
    pub draining: bool,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// Models that it holds whole, and the version of each.
    pub weights: BTreeMap<String, u64>,
    /// Time of its start in milliseconds since 1970; tells starts under the same id apart.
    pub born: Option<u64>,
}

/// Load of a target at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the target's own queue.
    pub waiting: u32,
    /// Factor by which the target is slower than usual.
    pub pace: f64,
    /// Whether it takes new work; it doesn't while it changes its weights.
    pub accepting: bool,
    /// Time until it takes none for a while, where that is known.
    pub closes: Option<Duration>,
    /// Models that it holds and their versions, where the source of the load knows them.
    pub weights: Option<BTreeMap<String, u64>>,
}

/// A target in the scheduler.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: Target,
    pub(crate) health: Health,
    own_requests: BTreeMap<RequestId, OwnRequest>,
    load: Option<LoadReport>,
    closed_since: Option<Instant>,
    /// Time until which what is known of the target is taken for outdated.
    suspect_until: Option<Instant>,
    /// Requests of this entry that were sent, and that ended, since the last load.
    sent_since_load: u32,
    ended_since_load: u32,
}

/// A request of this entry on a target.
#[derive(Clone, Copy, Debug)]
struct OwnRequest {
    prompt: u32,
    sent: Instant,
    started: Option<RunningStream>,
}

/// A run that gives events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningStream {
    /// Version of the weights that it began with, where the answer told.
    pub(crate) version: Option<u64>,
}

/// A load and the requests of other entries that follow from it.
#[derive(Clone, Debug)]
struct LoadReport {
    at: Instant,
    load: Load,
    others: u32,
    /// A number from 0 to 1 that decides about the fraction of a share.
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

    /// Takes a newer registration; a new start forgets what was known of the one before.
    pub(crate) fn update(&mut self, target: Target) {
        if self.target.born != target.born || self.target.address != target.address {
            self.health = Health::default();
            self.load = None;
            self.closed_since = None;
        }
        if self.target != target {
            self.suspect_until = None;
        }
        self.target = target;
    }

    /// Notes that the target refused a request because it isn't what it is taken for.
    pub(crate) fn record_misdirected(&mut self, now: Instant) {
        self.suspect_until = Some(now + MISDIRECTED_PAUSE);
    }

    /// Takes a load; `draw`, from 0 to 1, decides about the fraction of this entry's share of what it leaves free.
    pub(crate) fn record_load(&mut self, now: Instant, load: Load, random_fraction: f64) {
        let is_visible =
            |own: &&OwnRequest| now.saturating_duration_since(own.sent) >= LOAD_REPORT_DELAY;
        let own = self.own_requests.values().filter(is_visible).count() as u32;
        let others = (load.running + load.waiting).saturating_sub(own);
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
            others,
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

    /// Returns this entry's runs that give events.
    pub(crate) fn running_streams(&self) -> impl Iterator<Item = (RequestId, RunningStream)> {
        let running_streams = self.own_requests.iter();
        running_streams.filter_map(|(request, own)| Some((*request, own.started?)))
    }

    pub(crate) fn record_end(&mut self, request: RequestId) {
        if self.own_requests.remove(&request).is_some() {
            self.ended_since_load += 1;
        }
    }

    /// Tells whether another request fits into this entry's share of the `places` of the target.
    ///
    /// All entries see the same load and would take the same free places, so each takes its share of them until the next
    /// load. A place that its own request left is its own: the others don't know of it yet.
    pub(crate) fn has_free_share(&self, now: Instant, places: u32, entries: usize) -> bool {
        let Some(report) = self.fresh_load(now) else {
            return true;
        };
        let load = &report.load;
        let free = places.saturating_sub(load.running + load.waiting);
        let share = f64::from(free) / entries.max(1) as f64;
        let share = share.floor() + f64::from(u8::from(report.random_fraction < share.fract()));
        f64::from(self.sent_since_load) < share + f64::from(self.ended_since_load)
    }

    /// Returns the number of requests on the target.
    pub(crate) fn request_count(&self, now: Instant) -> u32 {
        let others = self.fresh_load(now).map_or(0, |report| report.others);
        others + self.own_requests.len() as u32
    }

    /// Tells whether the target takes work, as far as its registration and its last load say.
    pub(crate) fn is_accepting(&self, now: Instant) -> bool {
        let closed = self
            .fresh_load(now)
            .is_some_and(|report| !report.load.accepting);
        let suspect = self.suspect_until.is_some_and(|until| now < until);
        !self.target.draining && !closed && !suspect
    }

    /// Tells whether another request may be sent, as far as earlier failures say.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        !self.health.is_ejected(now) && (!self.health.is_probing() || self.own_requests.is_empty())
    }

    /// Returns the time at which the target is about to take no work for a while.
    pub(crate) fn closes_at(&self, now: Instant) -> Option<Instant> {
        let report = self.fresh_load(now)?;
        report.load.closes.map(|closes| report.at + closes)
    }

    /// Returns the time since which the target takes no new work, as far as its loads told.
    pub(crate) fn closed_since(&self) -> Option<Instant> {
        self.closed_since
    }

    /// Returns what occupies the target's engine.
    pub(crate) fn occupancy(&self, now: Instant, engine: &Engine) -> Occupancy {
        let unread_prompt_tokens: u32 = self
            .own_requests
            .values()
            .filter(|own| own.started.is_none())
            .map(|own| own.prompt)
            .sum();
        let fresh_load = self.fresh_load(now);
        let waiting = fresh_load.map_or(0, |report| report.load.waiting.min(report.others));
        Occupancy {
            requests: f64::from(self.request_count(now)),
            unread_prompt_tokens: f64::from(unread_prompt_tokens)
                + f64::from(waiting) * engine.usual_prompt,
            slowdown: fresh_load.map_or(1.0, |report| report.load.pace),
        }
    }

    fn fresh_load(&self, now: Instant) -> Option<&LoadReport> {
        self.load
            .as_ref()
            .filter(|report| now.saturating_duration_since(report.at) < LOAD_MAX_AGE)
    }
}

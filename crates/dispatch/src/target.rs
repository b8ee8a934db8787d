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
const STALE: Duration = Duration::from_secs(2);
/// Time for which a target gets no requests after it said that it isn't the one that is registered, or holds other weights;
/// news of it end that.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(800);
/// Time that a request takes to show in its target's load.
const IN_TRANSIT: Duration = Duration::from_millis(8);

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
pub(crate) struct Held {
    pub(crate) target: Target,
    pub(crate) health: Health,
    own: BTreeMap<RequestId, Own>,
    load: Option<Reported>,
    closed: Option<Instant>,
    /// Time until which what is known of the target is taken for outdated.
    outdated: Option<Instant>,
    /// Requests of this entry that were sent, and that ended, since the last load.
    sent: u32,
    ended: u32,
}

/// A request of this entry on a target.
#[derive(Clone, Copy, Debug)]
struct Own {
    prompt: u32,
    sent: Instant,
    started: Option<Started>,
}

/// A run that gives events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    /// Version of the weights that it began with, where the answer told.
    pub(crate) version: Option<u64>,
}

/// A load and the requests of other entries that follow from it.
#[derive(Clone, Debug)]
struct Reported {
    at: Instant,
    load: Load,
    others: u32,
    /// A number from 0 to 1 that decides about the fraction of a share.
    draw: f64,
}

impl Held {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            health: Health::default(),
            own: BTreeMap::new(),
            load: None,
            closed: None,
            outdated: None,
            sent: 0,
            ended: 0,
        }
    }

    /// Takes a newer registration; a new start forgets what was known of the one before.
    pub(crate) fn update(&mut self, target: Target) {
        if self.target.born != target.born || self.target.address != target.address {
            self.health = Health::default();
            self.load = None;
            self.closed = None;
        }
        if self.target != target {
            self.outdated = None;
        }
        self.target = target;
    }

    /// Notes that the target refused a request because it isn't what it is taken for.
    pub(crate) fn misdirected(&mut self, now: Instant) {
        self.outdated = Some(now + MISDIRECTED_PAUSE);
    }

    /// Takes a load; `draw`, from 0 to 1, decides about the fraction of this entry's share of what it leaves free.
    pub(crate) fn report(&mut self, now: Instant, load: Load, draw: f64) {
        let shown = |own: &&Own| now.saturating_duration_since(own.sent) >= IN_TRANSIT;
        let own = self.own.values().filter(shown).count() as u32;
        let others = (load.running + load.waiting).saturating_sub(own);
        if let Some(weights) = &load.weights
            && self.target.weights != *weights
        {
            self.target.weights.clone_from(weights);
            self.outdated = None;
        }
        self.closed = match load.accepting {
            true => None,
            false => self.closed.or(Some(now)),
        };
        self.load = Some(Reported {
            at: now,
            load,
            others,
            draw,
        });
        self.sent = 0;
        self.ended = 0;
    }

    pub(crate) fn sent(&mut self, now: Instant, request: RequestId, prompt: u32) {
        let own = Own {
            prompt,
            sent: now,
            started: None,
        };
        self.own.insert(request, own);
        self.sent += 1;
    }

    pub(crate) fn started(&mut self, request: RequestId, version: Option<u64>) {
        self.health.end_probe();
        if let Some(own) = self.own.get_mut(&request) {
            own.started = Some(Started { version });
        }
    }

    /// Returns this entry's runs that give events.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (RequestId, Started)> {
        let runs = self.own.iter();
        runs.filter_map(|(request, own)| Some((*request, own.started?)))
    }

    pub(crate) fn ended(&mut self, request: RequestId) {
        if self.own.remove(&request).is_some() {
            self.ended += 1;
        }
    }

    /// Tells whether another request fits into this entry's share of the `places` of the target.
    ///
    /// All entries see the same load and would take the same free places, so each takes its share of them until the next
    /// load. A place that its own request left is its own: the others don't know of it yet.
    pub(crate) fn has_share(&self, now: Instant, places: u32, entries: usize) -> bool {
        let Some(reported) = self.fresh(now) else {
            return true;
        };
        let load = &reported.load;
        let free = places.saturating_sub(load.running + load.waiting);
        let share = f64::from(free) / entries.max(1) as f64;
        let share = share.floor() + f64::from(u8::from(reported.draw < share.fract()));
        f64::from(self.sent) < share + f64::from(self.ended)
    }

    /// Returns the number of requests on the target.
    pub(crate) fn requests(&self, now: Instant) -> u32 {
        let others = self.fresh(now).map_or(0, |reported| reported.others);
        others + self.own.len() as u32
    }

    /// Tells whether the target takes work, as far as its registration and its last load say.
    pub(crate) fn is_accepting(&self, now: Instant) -> bool {
        let closed = self
            .fresh(now)
            .is_some_and(|reported| !reported.load.accepting);
        let outdated = self.outdated.is_some_and(|until| now < until);
        !self.target.draining && !closed && !outdated
    }

    /// Tells whether another request may be sent, as far as earlier failures say.
    pub(crate) fn is_sound(&self, now: Instant) -> bool {
        !self.health.is_ejected(now) && (!self.health.is_probing() || self.own.is_empty())
    }

    /// Returns the time at which the target is about to take no work for a while.
    pub(crate) fn closes_at(&self, now: Instant) -> Option<Instant> {
        let reported = self.fresh(now)?;
        reported.load.closes.map(|closes| reported.at + closes)
    }

    /// Returns the time since which the target takes no new work, as far as its loads told.
    pub(crate) fn closed_since(&self) -> Option<Instant> {
        self.closed
    }

    /// Returns what occupies the target's engine.
    pub(crate) fn occupancy(&self, now: Instant, engine: &Engine) -> Occupancy {
        let unread: u32 = self
            .own
            .values()
            .filter(|own| own.started.is_none())
            .map(|own| own.prompt)
            .sum();
        let fresh = self.fresh(now);
        let waiting = fresh.map_or(0, |reported| reported.load.waiting.min(reported.others));
        Occupancy {
            requests: f64::from(self.requests(now)),
            unread: f64::from(unread) + f64::from(waiting) * engine.usual_prompt,
            pace: fresh.map_or(1.0, |reported| reported.load.pace),
        }
    }

    fn fresh(&self, now: Instant) -> Option<&Reported> {
        self.load
            .as_ref()
            .filter(|reported| now.saturating_duration_since(reported.at) < STALE)
    }
}

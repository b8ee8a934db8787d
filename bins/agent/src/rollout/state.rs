//! State that the agent's tasks share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Members, Peer};
use dispatch::{Origin, Target, WeightSource};
use node::event;
use platform::engine::Report;
use rollout::{Position, Rollout};

use super::Settings;
use super::engine::Engine;
use crate::Notify;

/// Version that engines hold before any is named.
pub(super) const FIRST_VERSION: u64 = 1;

/// Time that all parts take to reach every agent, as a multiple of the time that the slowest link needs for one copy.
const SPREADING: f64 = 1.3;
/// Time until the first part is on its way.
const START: Duration = Duration::from_millis(500);
/// Age up to which an entry is taken for one that passes on what it reads; entries say it every second.
const RELAY_MAX_AGE: Duration = Duration::from_millis(2500);
/// Age up to which what an entry sent makes reading the store needless; entries send it every second.
const ENTRY_INFO_MAX_AGE: Duration = Duration::from_secs(5);

/// What the agent knows of its engine, the other agents and the versions.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) engine: Engine,
    /// Raised by every change that another task may have to act on.
    pub(super) changed: Notify,
    pub(super) rollout: RefCell<Rollout>,
    /// The engine's state, and when it told it.
    pub(super) report: RefCell<Option<(Instant, Report)>>,
    /// Where the engine gets its weights, by the newest configuration that was read or told.
    source: RefCell<Option<WeightSource>>,
    /// When an entry that reaches the store last sent it.
    entry_info_at: Cell<Option<Instant>>,
    /// Entries of the failure domain that pass on what they read from the store, and when each last said so.
    relays: RefCell<BTreeMap<SocketAddr, Instant>>,
    targets: RefCell<BTreeMap<String, Target>>,
    /// Newest version when the targets were last read; `None` before the first time.
    read_for: Cell<Option<Option<u64>>>,
    /// Whether requests should go elsewhere because an order is about to be given.
    pub(super) closing: Cell<bool>,
}

impl State {
    pub(super) fn new(settings: Settings) -> Rc<Self> {
        Rc::new(Self {
            engine: Engine::new(settings.engine),
            rollout: RefCell::new(Rollout::new(settings.version)),
            settings,
            changed: Notify::default(),
            report: RefCell::default(),
            source: RefCell::default(),
            entry_info_at: Cell::default(),
            relays: RefCell::default(),
            targets: RefCell::default(),
            read_for: Cell::new(None),
            closing: Cell::new(false),
        })
    }

    /// Returns the model that the engine serves.
    pub(super) fn model(&self) -> Option<String> {
        let source = self.source.borrow();
        source.as_ref().map(|source| source.model.clone())
    }

    /// Returns where weights come from.
    pub(super) fn origin(&self) -> Option<Origin> {
        self.source.borrow().as_ref()?.origin
    }

    /// Returns the bytes of a part.
    pub(super) fn piece_bytes(&self) -> u32 {
        let source = self.source.borrow();
        source.as_ref().map_or(0, |source| source.piece_bytes)
    }

    /// Tells whether an entry that reaches the store sent the versions and the configuration a short time ago.
    pub(super) fn has_entry_info(&self, now: Instant) -> bool {
        let last = self.entry_info_at.get();
        last.is_some_and(|at| now.saturating_duration_since(at) < ENTRY_INFO_MAX_AGE)
    }

    /// Notes whether an entry of the failure domain passes on what it reads from the store.
    pub(super) fn set_relay(&self, now: Instant, entry: SocketAddr, passes_on: bool) {
        let mut relays = self.relays.borrow_mut();
        match passes_on {
            true => relays.insert(entry, now),
            false => relays.remove(&entry),
        };
    }

    /// Returns the entry of the failure domain that said last that it passes on what it reads from the store.
    pub(super) fn relay(&self, now: Instant) -> Option<SocketAddr> {
        let mut relays = self.relays.borrow_mut();
        relays.retain(|_, at| now.saturating_duration_since(*at) < RELAY_MAX_AGE);
        let last = relays.iter().max_by_key(|(_, at)| **at);
        last.map(|(entry, _)| *entry)
    }

    /// Takes what a configuration says, unless a newer one is known; `from_entry` if an entry that reaches the store sent it.
    pub(super) fn set_source(&self, now: Instant, source: WeightSource, from_entry: bool) {
        if from_entry {
            self.entry_info_at.set(Some(now));
        }
        let known = self.source.borrow().clone();
        if known
            .as_ref()
            .is_some_and(|known| known.config > source.config)
        {
            return;
        }
        let news = known.as_ref() != Some(&source);
        self.source.replace(Some(source));
        if news {
            self.estimate();
            self.changed.notify();
        }
    }

    /// Estimates how long the parts of a version take, from the rates of the origin's link and of the own one.
    fn estimate(&self) {
        let source = self.source.borrow();
        let Some((source, origin)) = source.as_ref().and_then(|it| Some((it, it.origin?))) else {
            return;
        };
        let bytes = f64::from(source.pieces) * f64::from(source.piece_bytes);
        let rate = self.settings.link_rate().min(origin.bytes_per_s).max(1);
        let seconds = bytes / rate as f64 * SPREADING + START.as_secs_f64();
        let expected = Duration::from_secs_f64(seconds.min(3600.0));
        self.rollout
            .borrow_mut()
            .set_expected_transfer_time(expected);
    }

    /// Returns the version whose parts the agent should have.
    pub(super) fn wanted(&self) -> u64 {
        let rollout = self.rollout.borrow();
        rollout
            .wanted(Instant::now())
            .or(rollout.newest())
            .unwrap_or(FIRST_VERSION)
    }

    /// Takes versions that an entry learned of.
    pub(super) fn take_named(&self, named: &[wire::NamedVersion]) {
        let now = Instant::now();
        for named in named {
            if self.model().is_none_or(|model| model == named.model) {
                let age = named.age_ms.map(|ms| Duration::from_millis(ms.into()));
                self.name(now, &named.model, named.version, age);
            }
        }
    }

    /// Takes a version that was named `age` ago, or at an unknown time.
    pub(super) fn name(&self, now: Instant, model: &str, version: u64, age: Option<Duration>) {
        let mut rollout = self.rollout.borrow_mut();
        let at = age.and_then(|age| now.checked_sub(age));
        let news = match at {
            Some(at) => rollout.require_version(at, version),
            None => rollout.add_undated_version(now, version),
        };
        drop(rollout);
        if news {
            event!(event::VERSION_NAMED, model = model, version = version);
            self.update_place();
            self.changed.notify();
        }
    }

    /// Tells whether the targets were read since the newest version was named.
    pub(super) fn is_current(&self) -> bool {
        self.read_for.get() == Some(self.rollout.borrow().newest())
    }

    /// Tells whether the targets were read at all.
    pub(super) fn has_read(&self) -> bool {
        self.read_for.get().is_some()
    }

    /// Tells whether parts of a version are missing that the origin could give.
    pub(super) fn has_missing_chunks(&self) -> bool {
        self.origin().is_some() && self.rollout.borrow().has_missing_chunks()
    }

    /// Tells whether the own engine is among the registered targets.
    pub(super) fn is_registered(&self) -> bool {
        let targets = self.targets.borrow();
        targets
            .values()
            .any(|target| target.address == self.settings.engine)
    }

    /// Replaces the registered targets, which were read when `newest` was the newest version.
    pub(super) fn set_targets(&self, newest: Option<u64>, targets: BTreeMap<String, Target>) {
        *self.targets.borrow_mut() = targets;
        self.read_for.set(Some(newest));
        self.update_place();
        self.changed.notify();
    }

    /// Returns the agents beside the service's engines.
    pub(super) fn members(&self) -> Members {
        let port = self.settings.chunk_listen.port();
        let targets = self.targets.borrow();
        let live = targets
            .values()
            .filter(|target| target.service == self.settings.service && !target.draining);
        Members::new(live.map(|target| Peer {
            name: target.address.ip().to_string(),
            domain: target.domain.clone(),
            region: self.region(&target.domain),
            address: (target.address.ip(), port).into(),
        }))
    }

    /// Returns this agent as others see it.
    pub(super) fn me(&self) -> Peer {
        Peer {
            name: self.settings.engine.ip().to_string(),
            domain: self.settings.domain.clone(),
            region: self.region(&self.settings.domain),
            address: self.settings.chunk_listen,
        }
    }

    /// Returns the time since the engine told its state.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.borrow();
        report
            .as_ref()
            .map(|(at, _)| now.saturating_duration_since(*at))
    }

    /// Gives the engine its place among the live ones in the order of the wanted version.
    pub(super) fn update_place(&self) {
        let targets = self.targets.borrow();
        let addresses: Vec<String> = targets
            .values()
            .filter(|target| target.service == self.settings.service && !target.draining)
            .map(|target| target.address.to_string())
            .collect();
        let live: Vec<&str> = addresses.iter().map(String::as_str).collect();
        let own = self.settings.engine.to_string();
        let place = Position::among(&own, &live, self.wanted());
        self.rollout.borrow_mut().set_position(place);
    }

    fn region(&self, domain: &str) -> String {
        let region = self.settings.regions.get(domain);
        region.cloned().unwrap_or_else(|| domain.into())
    }
}

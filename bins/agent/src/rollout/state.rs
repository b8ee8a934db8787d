//! State shared by the agent's tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Members, Peer};
use dispatch::{Origin, Target, WeightSource};
use node::event;
use platform::engine::Report;
use rollout::{Position, Rollout, Settling};

use super::Settings;
use super::engine::Engine;
use crate::Notify;
use crate::metrics::LoadMetrics;

/// Version that engines hold before operators name one.
pub(super) const FIRST_VERSION: u64 = 1;

/// Time until every agent has all chunks, as a multiple of the time that the slower of the origin's link and the VM's
/// link needs for one copy.
const DISTRIBUTION_FACTOR: f64 = 1.3;
/// Time until the first chunk is being sent.
const STARTUP_TIME: Duration = Duration::from_millis(500);
/// Time after its last announcement for which an entry counts as a relay of the store; relays announce it every second.
const RELAY_MAX_AGE: Duration = Duration::from_millis(2500);
/// Age up to which data sent by an entry replaces reading the store; entries send it every second.
const ENTRY_INFO_MAX_AGE: Duration = Duration::from_secs(5);

/// State of the engine, the other agents and the versions, as known to this agent.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) engine: Engine,
    /// Notified of every change that another task may have to act on.
    pub(super) changed: Notify,
    pub(super) rollout: RefCell<Rollout>,
    /// The last report of the engine and the time of its arrival.
    pub(super) report: RefCell<Option<(Instant, Report)>>,
    /// Source of the engine's weights, from the newest configuration that was read or received.
    source: RefCell<Option<WeightSource>>,
    /// Time at which an entry that reaches the store last sent the source.
    entry_info_at: Cell<Option<Instant>>,
    /// Entries of the failure domain that relay the store, with the time of their last announcement.
    relays: RefCell<BTreeMap<SocketAddr, Instant>>,
    targets: RefCell<BTreeMap<String, Target>>,
    /// Newest version at the time when the targets were last read; `None` before the first read.
    targets_read_for: Cell<Option<Option<u64>>>,
    /// Whether entries should send requests to other targets because an order is about to be sent.
    pub(super) closing: Cell<bool>,
    /// Requests to the engine that may still take effect although they have no response.
    pub(super) settling: RefCell<Settling>,
    /// Fencing token of this process's orders, which grows with each agent that starts on this VM.
    pub(super) fencing_token: u64,
    /// Start of the engine that has seen the fencing token of a later agent, if any.
    pub(super) superseded_at: Cell<Option<u64>>,
    /// Metrics of the loads that this agent orders.
    pub(super) metrics: LoadMetrics,
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
            targets_read_for: Cell::new(None),
            closing: Cell::new(false),
            settling: RefCell::new(Settling::new(Instant::now())),
            // The agent and the engine share the VM, and a restarted engine forgets the tokens that it has seen.
            fencing_token: node::time::uptime().as_millis() as u64,
            superseded_at: Cell::new(None),
            metrics: LoadMetrics::default(),
        })
    }

    /// Returns the model that the engine serves.
    pub(super) fn model(&self) -> Option<String> {
        let source = self.source.borrow();
        source.as_ref().map(|source| source.model.clone())
    }

    /// Returns the origin of the weights.
    pub(super) fn origin(&self) -> Option<Origin> {
        self.source.borrow().as_ref()?.origin
    }

    /// Returns the number of chunks that the engine loads, if known.
    pub(super) fn chunk_count(&self) -> Option<u32> {
        let source = self.source.borrow();
        let count = source.as_ref().map(|source| source.pieces);
        count.filter(|count| *count > 0)
    }

    /// Returns the size of a chunk in bytes; 0 while the source is unknown.
    pub(super) fn chunk_bytes(&self) -> u32 {
        let source = self.source.borrow();
        source.as_ref().map_or(0, |source| source.piece_bytes)
    }

    /// Returns whether an entry that reaches the store recently sent the versions and the configuration.
    pub(super) fn has_entry_info(&self, now: Instant) -> bool {
        let last = self.entry_info_at.get();
        last.is_some_and(|at| now.saturating_duration_since(at) < ENTRY_INFO_MAX_AGE)
    }

    /// Records whether an entry of the failure domain relays the store.
    pub(super) fn set_relay(&self, now: Instant, entry: SocketAddr, is_relay: bool) {
        let mut relays = self.relays.borrow_mut();
        match is_relay {
            true => relays.insert(entry, now),
            false => relays.remove(&entry),
        };
    }

    /// Returns the entry of the failure domain that most recently announced that it relays the store.
    pub(super) fn relay(&self, now: Instant) -> Option<SocketAddr> {
        let mut relays = self.relays.borrow_mut();
        relays.retain(|_, at| now.saturating_duration_since(*at) < RELAY_MAX_AGE);
        let latest = relays.iter().max_by_key(|(_, at)| **at);
        latest.map(|(entry, _)| *entry)
    }

    /// Sets the source of the weights unless one of a newer configuration is known.
    ///
    /// `from_entry` is true if an entry that reaches the store sent it.
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
        let changed = known.as_ref() != Some(&source);
        self.source.replace(Some(source));
        if changed {
            self.update_expected_transfer_time();
            self.changed.notify();
        }
    }

    /// Estimates the transfer time of a version from the rates of the origin's link and of this VM's link.
    fn update_expected_transfer_time(&self) {
        let source = self.source.borrow();
        let Some((source, origin)) = source.as_ref().and_then(|it| Some((it, it.origin?))) else {
            return;
        };
        let bytes = f64::from(source.pieces) * f64::from(source.piece_bytes);
        let rate = self.settings.link_rate().min(origin.bytes_per_s).max(1);
        let seconds = bytes / rate as f64 * DISTRIBUTION_FACTOR + STARTUP_TIME.as_secs_f64();
        let expected = Duration::from_secs_f64(seconds.min(3600.0));
        self.rollout
            .borrow_mut()
            .set_expected_transfer_time(expected);
    }

    /// Returns the version whose chunks the agent should hold.
    pub(super) fn wanted_version(&self) -> u64 {
        let rollout = self.rollout.borrow();
        rollout
            .wanted(Instant::now())
            .or(rollout.newest())
            .unwrap_or(FIRST_VERSION)
    }

    /// Records required versions that an entry sent.
    pub(super) fn add_named_versions(&self, named: &[wire::NamedVersion]) {
        let now = Instant::now();
        for named in named {
            if self.model().is_none_or(|model| model == named.model) {
                let age = named.age_ms.map(|ms| Duration::from_millis(ms.into()));
                self.add_named_version(now, &named.model, named.version, age);
            }
        }
    }

    /// Records a version that was named `age` ago, or at an unknown time if `None`.
    pub(super) fn add_named_version(
        &self,
        now: Instant,
        model: &str,
        version: u64,
        age: Option<Duration>,
    ) {
        let mut rollout = self.rollout.borrow_mut();
        let named_at = age.and_then(|age| now.checked_sub(age));
        let is_new = match named_at {
            Some(named_at) => rollout.require_version(named_at, version),
            None => rollout.add_undated_version(now, version),
        };
        drop(rollout);
        if is_new {
            event!(event::VERSION_NAMED, model = model, version = version);
            self.update_position();
            self.changed.notify();
        }
    }

    /// Returns whether the targets were read since the newest version was named.
    pub(super) fn has_current_targets(&self) -> bool {
        self.targets_read_for.get() == Some(self.rollout.borrow().newest())
    }

    /// Returns whether the targets were read at least once.
    pub(super) fn has_targets(&self) -> bool {
        self.targets_read_for.get().is_some()
    }

    /// Returns whether chunks are missing and an origin for them is known.
    pub(super) fn has_missing_chunks(&self) -> bool {
        self.origin().is_some() && self.rollout.borrow().has_missing_chunks()
    }

    /// Returns whether this agent's engine is among the registered targets.
    pub(super) fn is_registered(&self) -> bool {
        let targets = self.targets.borrow();
        targets
            .values()
            .any(|target| target.address == self.settings.engine)
    }

    /// Replaces the registered targets; `newest` is the newest version at the time of the read.
    pub(super) fn set_targets(&self, newest: Option<u64>, targets: BTreeMap<String, Target>) {
        *self.targets.borrow_mut() = targets;
        self.targets_read_for.set(Some(newest));
        self.update_position();
        self.changed.notify();
    }

    /// Returns the agents of the service's engines.
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

    /// Returns the peer record of this agent.
    pub(super) fn local_peer(&self) -> Peer {
        Peer {
            name: self.settings.engine.ip().to_string(),
            domain: self.settings.domain.clone(),
            region: self.region(&self.settings.domain),
            address: self.settings.chunk_listen,
        }
    }

    /// Returns the time since the engine's last report.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.borrow();
        report
            .as_ref()
            .map(|(at, _)| now.saturating_duration_since(*at))
    }

    /// Updates the engine's position among the live engines in the load order of the wanted version.
    pub(super) fn update_position(&self) {
        let targets = self.targets.borrow();
        let addresses: Vec<String> = targets
            .values()
            .filter(|target| target.service == self.settings.service && !target.draining)
            .map(|target| target.address.to_string())
            .collect();
        let live: Vec<&str> = addresses.iter().map(String::as_str).collect();
        let own = self.settings.engine.to_string();
        let position = Position::among(&own, &live, self.wanted_version());
        self.rollout.borrow_mut().set_position(position);
    }

    fn region(&self, domain: &str) -> String {
        let region = self.settings.regions.get(domain);
        region.cloned().unwrap_or_else(|| domain.into())
    }
}

//! Records, views and detection of one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use catalog::Entry;
use gossip::{
    Expiry, FailureDetector, Key, LocalMember, Node, PeerSelector, Phase, Random, Record, Scope,
    Store, Value, ViewReplies, reporters, watchers,
};
use node::event;
use weights::Digest;
use wire::{Reply, Report};

use crate::Settings;
use crate::shared::SharedState;

/// Time for which the record of a member that is down is kept.
///
/// A member that was only paused or cut off for less than this finds the statement that it must refute. At 918 replaced
/// VMs a day about 7 such records are held.
const DOWN_KEPT: Duration = Duration::from_secs(600);

/// Time after the start from which targets may drop the members that this entry lacks.
///
/// By then it has compared its records with several others; before, it may know few of the members.
const SETTLED: Duration = Duration::from_secs(60);

/// What the tasks of the peer port share.
pub(crate) struct State {
    name: String,
    domain: String,
    store: Store,
    member: LocalMember,
    views: ViewReplies,
    peers: PeerSelector,
    /// Targets that report here.
    targets: FailureDetector,
    /// Entries that didn't answer.
    entries: FailureDetector,
    /// Weights of the services, from which the views of their targets follow.
    models: BTreeMap<String, Digest>,
    outbox: BTreeSet<Key>,
    /// State of the store for which the expected reports were worked out.
    expected_at: u64,
    expiry: Expiry,
    started: Instant,
}

impl State {
    pub(crate) fn new(settings: &Settings, peer: SocketAddr, started: Instant) -> Self {
        let clock = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let started_ms = u64::try_from(clock.as_millis()).unwrap_or(u64::MAX);
        let node = Node {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            peer,
            phase: Phase::Live,
        };
        let member = LocalMember::new(
            Key::Entry(settings.name.clone()),
            started_ms,
            Value::Entry(node),
        );
        let random = Random::new(uuid::Uuid::now_v7().as_u64_pair().1);
        let mut store = Store::new();
        store.merge(member.record().clone());
        let mut peers = PeerSelector::new(&settings.name, &settings.domain, random);
        let seeds = settings.seeds.iter().copied();
        peers.set_seeds(seeds.filter(|seed| *seed != peer).collect());
        Self {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            outbox: BTreeSet::from([member.record().key.clone()]),
            member,
            store,
            views: ViewReplies::default(),
            peers,
            targets: FailureDetector::default(),
            entries: FailureDetector::default(),
            models: BTreeMap::new(),
            expected_at: 0,
            expiry: Expiry::new(DOWN_KEPT),
            started,
        }
    }

    pub(crate) fn store(&self) -> &Store {
        &self.store
    }

    pub(crate) fn is_watcher(&self) -> bool {
        watchers(&self.store, &self.domain).contains(&self.name.as_str())
    }

    /// Takes a record, passes its content to routing and queues it for the next push.
    pub(crate) fn merge(&mut self, record: Record, shared: &SharedState) {
        let key = record.key.clone();
        if !self.store.merge(record) {
            return;
        }
        self.views.record_change(&self.store, key.clone());
        self.outbox.insert(key.clone());
        let Some(record) = self.store.get(&key) else {
            return;
        };
        match (&key, record.value.clone()) {
            (Key::Catalog(name), Value::Catalog(text)) => {
                self.put_catalog(name, record.version.major, &text, shared);
            }
            (Key::Target(name), Value::Target(target)) => {
                if target.phase == Phase::Down {
                    self.targets.unwatch(name);
                    self.views.remove_target(name);
                }
                shared.put_target(name, target);
            }
            (Key::Entry(name), Value::Entry(node)) => {
                if *name == self.name {
                    self.refute(&record, node.phase, shared);
                }
                self.count_entries(shared);
            }
            _ => {}
        }
    }

    /// Takes a target's report and returns the records that it lacks.
    pub(crate) fn report(&mut self, report: Report, now: Instant, shared: &SharedState) -> Reply {
        let key = Key::Target(report.target.clone());
        let named = report.member.as_ref().filter(|record| record.key == key);
        if let Some(record) = named.cloned() {
            self.merge(record, shared);
        }
        self.targets.record_contact(&report.target, now);
        let (name, incarnation, view) = (report.target.clone(), report.incarnation, report.view);
        shared.put_report(now, report);
        let Some(record) = self.store.get(&key) else {
            return Reply::default();
        };
        let Value::Target(target) = &record.value else {
            return Reply::default();
        };
        let scope = Scope::new(&target.domain, &target.service, &self.models);
        let update = self.views.reply(&self.store, &name, &scope, view);
        let mut records = update.records;
        let known = record.version.major == incarnation && !record.version.down;
        // What others say of the target must reach it whatever its view: it answers with a higher version.
        if !known && !records.contains(&record) {
            records.push(record);
        }
        Reply {
            known,
            view: (update.hash != view).then_some(update.hash),
            records,
            span: update
                .span
                .filter(|_| now.saturating_duration_since(self.started) >= SETTLED),
        }
    }

    /// Returns up to `count` changed records and the peers to push them to.
    pub(crate) fn push(&mut self, count: usize) -> (Vec<Record>, Vec<(String, SocketAddr)>) {
        if self.outbox.is_empty() {
            return Default::default();
        }
        let peers = self.peers.push_peers(&self.store);
        let mut records = Vec::new();
        while records.len() < count
            && let Some(key) = self.outbox.pop_first()
        {
            records.extend(self.store.get(&key));
        }
        (
            records,
            peers
                .into_iter()
                .map(|(name, node)| (name, node.peer))
                .collect(),
        )
    }

    /// Returns the entry to compare stores with.
    pub(crate) fn exchange_peer(&mut self) -> Option<(String, SocketAddr)> {
        self.peers.exchange_peer(&self.store)
    }

    /// Returns up to `count` entries that didn't answer lately.
    pub(crate) fn failing(&self, count: usize) -> Vec<(String, SocketAddr)> {
        let names = self.entries.watched().map(String::from);
        let peer = |name: String| match self.store.get(&Key::Entry(name.clone()))?.value {
            Value::Entry(node) => Some((name, node.peer)),
            _ => None,
        };
        names.filter_map(peer).take(count).collect()
    }

    pub(crate) fn entry_answered(&mut self, name: &str) {
        self.entries.unwatch(name);
    }

    pub(crate) fn entry_failed(&mut self, name: &str, now: Instant) {
        let record = self.store.get(&Key::Entry(name.into()));
        let is_down = record.is_none_or(|record| match record.value {
            Value::Entry(node) => node.phase == Phase::Down,
            _ => true,
        });
        if !is_down {
            self.entries.record_failure(name, now);
        }
    }

    /// Declares members down that have been silent for 5 s.
    pub(crate) fn detect(&mut self, now: Instant, shared: &SharedState) {
        if self.expected_at != self.store.change_count() {
            self.expected_at = self.store.change_count();
            // A target that never reported, because it died together with its earlier entries, must be noticed too.
            let names = reporters(&self.store, &self.name);
            shared.set_expected_reporters(names.iter().copied().map(String::from).collect());
            self.targets.set_expected(names, now);
        }
        for name in self.targets.take_down_members(now) {
            self.views.remove_target(&name);
            if self.targets.is_expected(&name) {
                self.declare_down(&Key::Target(name), shared);
            }
        }
        for name in self.entries.take_down_members(now) {
            self.declare_down(&Key::Entry(name), shared);
        }
    }

    /// Drops the records of members that have been down for 10 minutes.
    pub(crate) fn expire(&mut self, now: Instant, shared: &SharedState) {
        for key in self.expiry.expired(&self.store, now) {
            let Some(record) = self.store.get(&key) else {
                continue;
            };
            self.store.remove(&key);
            self.outbox.remove(&key);
            match (&key, &record.value) {
                (Key::Entry(name), Value::Entry(node)) => self.peers.remember_dropped(name, node),
                (Key::Target(name), _) => shared.remove_target(name),
                _ => {}
            }
            node::event!(event::MEMBER_DROPPED, member = format_args!("{key:?}"));
        }
    }

    /// States that the VM list names a member as leaving.
    pub(crate) fn declare_leaving(&mut self, name: &str, shared: &SharedState) {
        for key in [Key::Target(name.into()), Key::Entry(name.into())] {
            if let Some(record) = self.store.leaving_record(&key) {
                self.merge(record, shared);
            }
        }
    }

    /// Publishes that this entry leaves.
    pub(crate) fn leave(&mut self, shared: &SharedState) {
        let Value::Entry(mut node) = self.member.record().value.clone() else {
            return;
        };
        node.phase = Phase::Leaving;
        if self.member.update(Value::Entry(node)) {
            let record = self.member.record().clone();
            self.merge(record, shared);
        }
    }

    fn put_catalog(&mut self, name: &str, revision: u64, text: &str, shared: &SharedState) {
        let entry: Entry = match serde_json::from_str(text) {
            Ok(entry) => entry,
            Err(error) => {
                node::event!(
                    event::ENTRY_MALFORMED,
                    key = name,
                    revision = revision,
                    error = error
                );
                return;
            }
        };
        if let Entry::Service(service) = &entry {
            match service.model.as_ref().filter(|_| !service.retired) {
                Some(model) => self.models.insert(service.name.clone(), model.digest),
                None => self.models.remove(&service.name),
            };
        }
        if shared.put_catalog(revision, entry) {
            node::event!(event::CATALOGUE_CHANGED, key = name, revision = revision);
        }
    }

    /// Raises the own record above what others say of this entry.
    fn refute(&mut self, seen: &Record, phase: Phase, shared: &SharedState) {
        if phase == Phase::Leaving {
            self.leave(shared);
        }
        if self.member.refute(seen) {
            node::event!(event::REFUTED, version = format_args!("{:?}", seen.version));
            let record = self.member.record().clone();
            self.merge(record, shared);
        }
    }

    fn count_entries(&self, shared: &SharedState) {
        let live = self
            .store
            .entries()
            .filter(|(_, node)| node.phase == Phase::Live)
            .count();
        shared.set_live_entries(u32::try_from(live).unwrap_or(u32::MAX).max(1));
    }

    fn declare_down(&mut self, key: &Key, shared: &SharedState) {
        if let Some(record) = self.store.down_record(key) {
            node::event!(event::MEMBER_DOWN, member = format_args!("{key:?}"));
            self.merge(record, shared);
        }
    }
}

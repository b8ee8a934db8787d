//! Gossip state of one entry: its records, the views of its targets, and failure detection.

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
/// A member that was paused or partitioned for less than this still finds the record that it has to refute. With 918
/// VMs replaced per day, about 7 such records are stored at a time.
const DOWN_RETENTION: Duration = Duration::from_secs(600);

/// Time after the start until which targets must not remove the members that this entry doesn't know.
///
/// By then the entry has synchronized its records with several others; before, it may know only a few of the members.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// State that the tasks of the peer port share.
pub(crate) struct GossipState {
    name: String,
    domain: String,
    store: Store,
    member: LocalMember,
    views: ViewReplies,
    peers: PeerSelector,
    /// Detects failures of the targets that report to this entry.
    target_detector: FailureDetector,
    /// Detects failures of entries, from calls without an answer.
    entry_detector: FailureDetector,
    /// Weights of each service with a model; determine which records are in a target's view.
    service_weights: BTreeMap<String, Digest>,
    /// Keys of changed records that are yet to be pushed.
    outbox: BTreeSet<Key>,
    /// Change count of the store when the expected reporters were last computed.
    reporters_change_count: u64,
    expiry: Expiry,
    started: Instant,
}

impl GossipState {
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
            target_detector: FailureDetector::default(),
            entry_detector: FailureDetector::default(),
            service_weights: BTreeMap::new(),
            reporters_change_count: 0,
            expiry: Expiry::new(DOWN_RETENTION),
            started,
        }
    }

    pub(crate) fn store(&self) -> &Store {
        &self.store
    }

    pub(crate) fn is_watcher(&self) -> bool {
        watchers(&self.store, &self.domain).contains(&self.name.as_str())
    }

    /// Merges a record into the store; if it is new, applies it to routing and queues it for the next push.
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
                self.apply_catalogue_entry(name, record.version.major, &text, shared);
            }
            (Key::Target(name), Value::Target(target)) => {
                if target.phase == Phase::Down {
                    self.target_detector.unwatch(name);
                    self.views.remove_target(name);
                }
                shared.put_target(name, target);
            }
            (Key::Entry(name), Value::Entry(node)) => {
                if *name == self.name {
                    self.handle_own_record(&record, node.phase, shared);
                }
                self.update_live_entries(shared);
            }
            _ => {}
        }
    }

    /// Applies a target's report and returns the records that the target lacks.
    pub(crate) fn apply_report(
        &mut self,
        report: Report,
        now: Instant,
        shared: &SharedState,
    ) -> Reply {
        let key = Key::Target(report.target.clone());
        let own_record = report.member.as_ref().filter(|record| record.key == key);
        if let Some(record) = own_record.cloned() {
            self.merge(record, shared);
        }
        self.target_detector.record_contact(&report.target, now);
        let (name, incarnation, view) = (report.target.clone(), report.incarnation, report.view);
        shared.put_report(now, report);
        let Some(record) = self.store.get(&key) else {
            return Reply::default();
        };
        let Value::Target(target) = &record.value else {
            return Reply::default();
        };
        let scope = Scope::new(&target.domain, &target.service, &self.service_weights);
        let update = self.views.reply(&self.store, &name, &scope, view);
        let mut records = update.records;
        let known = record.version.major == incarnation && !record.version.down;
        // If another member published a version of the target's own record, the target must see it even if it isn't in
        // the target's view, because the target refutes it with a higher version.
        if !known && !records.contains(&record) {
            records.push(record);
        }
        Reply {
            known,
            view: (update.hash != view).then_some(update.hash),
            records,
            span: update
                .span
                .filter(|_| now.saturating_duration_since(self.started) >= SETTLE_TIME),
        }
    }

    /// Removes up to `count` changed records from the outbox and returns them with the peers to push them to.
    pub(crate) fn take_push(&mut self, count: usize) -> (Vec<Record>, Vec<(String, SocketAddr)>) {
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

    /// Selects the entry for the next exchange.
    pub(crate) fn exchange_peer(&mut self) -> Option<(String, SocketAddr)> {
        self.peers.exchange_peer(&self.store)
    }

    /// Returns up to `count` entries whose last call failed.
    pub(crate) fn failing_entries(&self, count: usize) -> Vec<(String, SocketAddr)> {
        let names = self.entry_detector.watched().map(String::from);
        let peer = |name: String| match self.store.get(&Key::Entry(name.clone()))?.value {
            Value::Entry(node) => Some((name, node.peer)),
            _ => None,
        };
        names.filter_map(peer).take(count).collect()
    }

    /// Records a successful call to an entry.
    pub(crate) fn entry_answered(&mut self, name: &str) {
        self.entry_detector.unwatch(name);
    }

    /// Records a failed call to an entry, unless the entry is already down or unknown.
    pub(crate) fn entry_failed(&mut self, name: &str, now: Instant) {
        let record = self.store.get(&Key::Entry(name.into()));
        let is_down = record.is_none_or(|record| match record.value {
            Value::Entry(node) => node.phase == Phase::Down,
            _ => true,
        });
        if !is_down {
            self.entry_detector.record_failure(name, now);
        }
    }

    /// Marks members as down that have been silent for 5 s.
    pub(crate) fn detect(&mut self, now: Instant, shared: &SharedState) {
        if self.reporters_change_count != self.store.change_count() {
            self.reporters_change_count = self.store.change_count();
            // Also expects reports from targets that never reported here, to detect those that failed together with the
            // entries that they reported to.
            let names = reporters(&self.store, &self.name);
            shared.set_expected_reporters(names.iter().copied().map(String::from).collect());
            self.target_detector.set_expected(names, now);
        }
        for name in self.target_detector.take_down_members(now) {
            self.views.remove_target(&name);
            if self.target_detector.is_expected(&name) {
                self.declare_down(&Key::Target(name), shared);
            }
        }
        for name in self.entry_detector.take_down_members(now) {
            self.declare_down(&Key::Entry(name), shared);
        }
    }

    /// Removes the records of members that have been down for 10 minutes.
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

    /// Marks a member as leaving because the platform's VM list does.
    pub(crate) fn declare_leaving(&mut self, name: &str, shared: &SharedState) {
        for key in [Key::Target(name.into()), Key::Entry(name.into())] {
            if let Some(record) = self.store.leaving_record(&key) {
                self.merge(record, shared);
            }
        }
    }

    /// Announces that this entry is leaving.
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

    fn apply_catalogue_entry(
        &mut self,
        name: &str,
        revision: u64,
        text: &str,
        shared: &SharedState,
    ) {
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
                Some(model) => self
                    .service_weights
                    .insert(service.name.clone(), model.digest),
                None => self.service_weights.remove(&service.name),
            };
        }
        if shared.put_catalog(revision, entry) {
            node::event!(event::CATALOGUE_CHANGED, key = name, revision = revision);
        }
    }

    /// Handles a record of this entry that others published: confirms that it is leaving, or refutes the record with a
    /// higher version.
    fn handle_own_record(&mut self, received: &Record, phase: Phase, shared: &SharedState) {
        if phase == Phase::Leaving {
            self.leave(shared);
        }
        if self.member.refute(received) {
            node::event!(
                event::REFUTED,
                version = format_args!("{:?}", received.version)
            );
            let record = self.member.record().clone();
            self.merge(record, shared);
        }
    }

    /// Updates the number of live entries.
    fn update_live_entries(&self, shared: &SharedState) {
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

//! Sends reports to entries and merges the records in their replies.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use gate::Event;
use gossip::{
    Expiry, Key, LocalMember, Phase, Record, Scope, Store, Target, UpdateSource, Value,
    report_entries,
};
use weights::Digest;
use wire::{Client, Reply, Report, connect};

use crate::{ReportSchedule, Shared};

/// Timeout of a connection attempt or call.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which an entry that didn't answer is skipped in favour of the next in order.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Time for which the record of a member that is down is retained.
///
/// It is longer than the 15 minutes for which keyed calls are remembered. During that time an agent must know if an
/// earlier owner of a claim slot is down, because that owner can't be queried.
const DOWN_RETENTION: Duration = Duration::from_secs(1_200);

/// The local member and the state of the entries that it reports to.
struct Reporter {
    shared: Rc<Shared>,
    member: LocalMember,
    sequence: u64,
    clients: HashMap<SocketAddr, Client>,
    /// Entries that hold the newest record of the local member.
    up_to_date: HashSet<SocketAddr>,
    failed_at: HashMap<SocketAddr, Instant>,
    source: UpdateSource,
    expiry: Expiry,
}

/// Sends reports at the times that [`ReportSchedule`] determines or when requested; never returns.
pub async fn run(shared: Rc<Shared>) {
    let mut reporter = Reporter::new(Rc::clone(&shared));
    loop {
        let seen = shared.report_requested.count();
        let schedule = ReportSchedule::new(Instant::now(), load(&shared));
        reporter.report().await;
        loop {
            let wait = schedule.wait(Instant::now(), load(&shared));
            let changed = compio::time::timeout(wait, shared.report_requested.changed(seen));
            if wait.is_zero() || changed.await.is_ok() {
                break;
            }
        }
    }
}

impl Reporter {
    fn new(shared: Rc<Shared>) -> Self {
        Self {
            member: LocalMember::new(
                member_key(&shared),
                shared.incarnation(),
                member_value(&shared),
            ),
            shared,
            sequence: 0,
            clients: HashMap::new(),
            up_to_date: HashSet::new(),
            failed_at: HashMap::new(),
            source: UpdateSource::default(),
            expiry: Expiry::new(DOWN_RETENTION),
        }
    }

    /// Sends a report to each selected entry and handles the replies.
    async fn report(&mut self) {
        let now = Instant::now();
        self.update_member();
        self.expire(now);
        self.sequence += 1;
        self.failed_at
            .retain(|_, since| now.saturating_duration_since(*since) < AVOID_TIME);
        let addresses = self.addresses();
        self.source.retain(&addresses);
        let report = self.new_report();
        let mut sent_hashes = Vec::new();
        let calls: Vec<_> = addresses
            .iter()
            .map(|address| {
                let mut report = report.clone();
                if self.up_to_date.contains(address) {
                    report.member = None;
                }
                report.view = self.source.hash_to_report(*address, report.view);
                sent_hashes.push(report.view);
                send(*address, self.clients.remove(address), report)
            })
            .collect();
        let replies = join_all(calls).await;
        // Close the connections to entries that are no longer selected.
        self.clients.clear();
        for ((address, sent_hash), reply) in addresses.into_iter().zip(sent_hashes).zip(replies) {
            match reply {
                Some((client, reply)) => {
                    self.clients.insert(address, client);
                    self.handle_reply(address, sent_hash, reply);
                }
                None => {
                    self.up_to_date.remove(&address);
                    self.source.record_failure(address);
                    self.failed_at.insert(address, now);
                }
            }
        }
    }

    /// Updates the local member's record to the fencing number and the state of the process.
    fn update_member(&mut self) {
        let shared = &self.shared;
        let has_number = shared.fencing_number.get().is_some();
        if has_number && self.member.incarnation() < shared.incarnation() {
            self.member = LocalMember::new(
                member_key(shared),
                shared.incarnation(),
                member_value(shared),
            );
            self.up_to_date.clear();
        }
        if self.member.update(member_value(shared)) {
            self.up_to_date.clear();
        }
        let record = self.member.record().clone();
        shared.view.borrow_mut().merge(record);
    }

    /// Removes the records of members that have been down for 20 minutes; nothing reads them any more.
    fn expire(&mut self, now: Instant) {
        let mut view = self.shared.view.borrow_mut();
        for key in self.expiry.expired(&view, now) {
            view.remove(&key);
        }
    }

    /// Merges the records of the reply to a report that contained `sent_hash` as the hash of the view. Records about
    /// the local member that are newer than its own record are refuted with a higher version.
    fn handle_reply(&mut self, address: SocketAddr, sent_hash: u64, reply: Reply) {
        match reply.known {
            true => self.up_to_date.insert(address),
            // The entry has dropped the local member's record; send it again.
            false => self.up_to_date.remove(&address),
        };
        let mut changed = self.remove_missing(&reply);
        for record in reply.records {
            if is_marked_leaving(&self.member, &record) && !self.shared.is_leaving() {
                node::event!(node::event::TOLD_TO_LEAVE, from = address);
                self.shared.handle(Event::Leave);
            }
            if self.member.refute(&record) {
                self.up_to_date.clear();
                self.shared.report_requested.notify();
            }
            changed |= self.shared.view.borrow_mut().merge(record);
        }
        if changed {
            self.shared.view_changed();
        }
        let (entry_hash, own_hash) = match reply.view {
            Some(entry_hash) => (entry_hash, self.hash()),
            // The entry's records have the hash that the report contained.
            None => (sent_hash, sent_hash),
        };
        self.source
            .record_reply(address, entry_hash, own_hash, changed);
    }

    /// Removes the members that the entry doesn't hold, and returns whether there were any.
    ///
    /// An agent that was partitioned or paused may hold members that all entries have dropped in the meantime.
    fn remove_missing(&self, reply: &Reply) -> bool {
        let Some(span) = &reply.span else {
            return false;
        };
        let mut view = self.shared.view.borrow_mut();
        let mut missing = span.missing(&view, &reply.records);
        missing.retain(|key| *key != self.member.record().key);
        for key in &missing {
            view.remove(key);
        }
        !missing.is_empty()
    }

    /// Returns the peer ports to report to: those of the selected entries, or the seeds if no entry is known to answer.
    fn addresses(&self) -> Vec<SocketAddr> {
        let settings = &self.shared.settings;
        let view = self.shared.view.borrow();
        let skip = |name: &str| {
            let record = view.get(&Key::Entry(name.into()));
            record.is_some_and(|record| match record.value {
                Value::Entry(node) => self.failed_at.contains_key(&node.peer),
                _ => true,
            })
        };
        let (name, domain, service) = (&settings.name, &settings.domain, &settings.service);
        let entries = report_entries(&view, name, domain, service, skip);
        match entries.is_empty() {
            true => settings.seeds.clone(),
            false => entries.iter().map(|(_, node)| node.peer).collect(),
        }
    }

    /// Returns the hash of the records in this agent's scope.
    fn hash(&self) -> u64 {
        let view = self.shared.view.borrow();
        let settings = &self.shared.settings;
        Scope::new(&settings.domain, &settings.service, &service_weights(&view)).hash(&view)
    }

    fn new_report(&self) -> Report {
        let shared = &self.shared;
        let settings = &shared.settings;
        Report {
            target: settings.name.clone(),
            incarnation: self.member.incarnation(),
            sequence: self.sequence,
            gate: shared.gate(),
            weights: shared.pin().map(|pin| pin.digest.prefix()),
            chunks: shared.counters.chunks.get(),
            running: shared.counters.running.get(),
            waiting: shared.counters.waiting.get(),
            slots: shared.counters.slots.get(),
            view: self.hash(),
            member: Some(self.member.record().clone()),
        }
    }
}

/// Returns the number of requests at the backend.
fn load(shared: &Shared) -> u32 {
    let counters = &shared.counters;
    counters
        .running
        .get()
        .saturating_add(counters.waiting.get())
}

async fn send(
    address: SocketAddr,
    client: Option<Client>,
    report: Report,
) -> Option<(Client, Reply)> {
    let client = match client {
        Some(client) => client,
        None => connect(address, TIMEOUT).await.ok()?,
    };
    let reply = client.report(report).await.ok()?;
    Some((client, reply))
}

/// Returns whether the record says that the VM list marks this process's VM as leaving.
///
/// An observer sets the `down` flag of the version; a record without the flag is that of an earlier process.
fn is_marked_leaving(member: &LocalMember, record: &Record) -> bool {
    let is_own_process =
        record.key == member.record().key && record.version.major == member.incarnation();
    let leaving = matches!(&record.value, Value::Target(target) if target.phase == Phase::Leaving);
    is_own_process && leaving && record.version.down
}

/// Returns the digest of the weights of each service in the view; entries compute the same.
fn service_weights(view: &Store) -> BTreeMap<String, Digest> {
    let services = view.iter().filter_map(|(_, _, value)| match value {
        Value::Catalog(text) => match serde_json::from_str(text) {
            Ok(catalog::Entry::Service(service)) if !service.retired => Some(service),
            _ => None,
        },
        _ => None,
    });
    services
        .filter_map(|service| Some((service.name, service.model?.digest)))
        .collect()
}

fn member_key(shared: &Shared) -> Key {
    Key::Target(shared.settings.name.clone())
}

fn member_value(shared: &Shared) -> Value {
    let settings = &shared.settings;
    Value::Target(Target {
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        service: settings.service.clone(),
        call: settings.call_listen,
        chunk: settings.chunk_listen,
        phase: match shared.is_leaving() {
            true => Phase::Leaving,
            false => Phase::Live,
        },
    })
}

//! Reports to entries, and the records that they answer with.

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

/// Time allowed for a connection or call.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which an entry that didn't answer is passed over for the next in order.
const AVOID: Duration = Duration::from_secs(5);

/// Time for which the record of a member that is down is kept.
///
/// It is longer than the 15 minutes for which keyed calls are remembered: until then an agent must know of an earlier
/// owner of a claim slot that it is gone and can't be asked.
const DOWN_KEPT: Duration = Duration::from_secs(1_200);

/// What is known of the entries that get the reports.
struct Reporter {
    shared: Rc<Shared>,
    member: LocalMember,
    sequence: u64,
    clients: HashMap<SocketAddr, Client>,
    /// Entries that hold the newest own record.
    known: HashSet<SocketAddr>,
    failed: HashMap<SocketAddr, Instant>,
    source: UpdateSource,
    expiry: Expiry,
}

/// Sends reports; never returns.
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
            member: LocalMember::new(key(&shared), shared.incarnation(), value(&shared)),
            shared,
            sequence: 0,
            clients: HashMap::new(),
            known: HashSet::new(),
            failed: HashMap::new(),
            source: UpdateSource::default(),
            expiry: Expiry::new(DOWN_KEPT),
        }
    }

    /// Sends one report to each chosen entry and takes the replies.
    async fn report(&mut self) {
        let now = Instant::now();
        self.update_member();
        self.expire(now);
        self.sequence += 1;
        self.failed
            .retain(|_, since| now.saturating_duration_since(*since) < AVOID);
        let addresses = self.addresses();
        self.source.retain(&addresses);
        let report = self.message();
        let mut sent = Vec::new();
        let calls: Vec<_> = addresses
            .iter()
            .map(|address| {
                let mut report = report.clone();
                if self.known.contains(address) {
                    report.member = None;
                }
                report.view = self.source.hash_to_report(*address, report.view);
                sent.push(report.view);
                send(*address, self.clients.remove(address), report)
            })
            .collect();
        let replies = join_all(calls).await;
        // Connections to entries that are no longer chosen are closed.
        self.clients.clear();
        for ((address, sent), reply) in addresses.into_iter().zip(sent).zip(replies) {
            match reply {
                Some((client, reply)) => {
                    self.clients.insert(address, client);
                    self.take(address, sent, reply);
                }
                None => {
                    self.known.remove(&address);
                    self.source.record_failure(address);
                    self.failed.insert(address, now);
                }
            }
        }
    }

    /// Brings the own record up to date with the fencing number and the state of the process.
    fn update_member(&mut self) {
        let shared = &self.shared;
        let numbered = shared.fencing_number.get().is_some();
        if numbered && self.member.incarnation() < shared.incarnation() {
            self.member = LocalMember::new(key(shared), shared.incarnation(), value(shared));
            self.known.clear();
        }
        if self.member.update(value(shared)) {
            self.known.clear();
        }
        let record = self.member.record().clone();
        shared.view.borrow_mut().merge(record);
    }

    /// Drops the records of members that have been down for 20 minutes; nothing reads them by then.
    fn expire(&mut self, now: Instant) {
        let mut view = self.shared.view.borrow_mut();
        for key in self.expiry.expired(&view, now) {
            view.remove(&key);
        }
    }

    /// Takes the records of the reply to a report that carried `sent` as the hash of the view; the own record may have to
    /// rise above what others say.
    fn take(&mut self, address: SocketAddr, sent: u64, reply: Reply) {
        match reply.known {
            true => self.known.insert(address),
            // An entry that has dropped the own record gets it again.
            false => self.known.remove(&address),
        };
        let mut changed = self.drop_missing(&reply);
        for record in reply.records {
            if is_told_to_leave(&self.member, &record) && !self.shared.is_leaving() {
                node::event!(node::event::TOLD_TO_LEAVE, from = address);
                self.shared.handle(Event::Leave);
            }
            if self.member.refute(&record) {
                self.known.clear();
                self.shared.report_requested.notify();
            }
            changed |= self.shared.view.borrow_mut().merge(record);
        }
        if changed {
            self.shared.view_changed();
        }
        let (named, held) = match reply.view {
            Some(named) => (named, self.hash()),
            // The entry's records have the hash that the report carried.
            None => (sent, sent),
        };
        self.source.record_reply(address, named, held, changed);
    }

    /// Drops the members that an entry doesn't hold, and returns whether there were any.
    ///
    /// An agent that was cut off or paused holds members that all entries have dropped meanwhile.
    fn drop_missing(&self, reply: &Reply) -> bool {
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

    /// Returns the peer ports to report to: those of the chosen entries, or the seeds while none is known to answer.
    fn addresses(&self) -> Vec<SocketAddr> {
        let settings = &self.shared.settings;
        let view = self.shared.view.borrow();
        let skip = |name: &str| {
            let record = view.get(&Key::Entry(name.into()));
            record.is_some_and(|record| match record.value {
                Value::Entry(node) => self.failed.contains_key(&node.peer),
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

    /// Returns the hash of the view.
    fn hash(&self) -> u64 {
        let view = self.shared.view.borrow();
        let settings = &self.shared.settings;
        Scope::new(&settings.domain, &settings.service, &models(&view)).hash(&view)
    }

    fn message(&self) -> Report {
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

/// Tells whether the VM list names this very process's VM as leaving.
///
/// An observer's statement carries the observer's flag; without it the record is that of an earlier process.
fn is_told_to_leave(member: &LocalMember, record: &Record) -> bool {
    let of_this_process =
        record.key == member.record().key && record.version.major == member.incarnation();
    let leaving = matches!(&record.value, Value::Target(target) if target.phase == Phase::Leaving);
    of_this_process && leaving && record.version.down
}

/// Returns the weights of each service in the view, as entries work them out too.
fn models(view: &Store) -> BTreeMap<String, Digest> {
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

fn key(shared: &Shared) -> Key {
    Key::Target(shared.settings.name.clone())
}

fn value(shared: &Shared) -> Value {
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

//! Reports to entries, and the records that they answer with.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use gossip::{Key, Member, Phase, Record, Scope, Target, Value, report_entries};
use wire::{Client, Reply, Report, connect};

use crate::Shared;

/// Time between two reports when nothing changed.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time allowed for a connection or call.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which an entry that did not answer is passed over for the next in order.
const SKIP_TIME: Duration = Duration::from_secs(5);

/// Sends reports; never returns.
pub async fn run(shared: Rc<Shared>) {
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    let mut failed: HashMap<SocketAddr, Instant> = HashMap::new();
    let mut member = Member::new(key(&shared), shared.incarnation(), value(&shared));
    let mut sequence = 0;
    let mut known = false;
    loop {
        let seen = shared.report.count();
        if member.incarnation() < shared.incarnation() && shared.number.get().is_some() {
            member = Member::new(key(&shared), shared.incarnation(), value(&shared));
            known = false;
        }
        known &= !member.update(value(&shared));
        shared.view.borrow_mut().merge(member.record().clone());
        sequence += 1;
        let report = report(&shared, &member, sequence, known);
        failed.retain(|_, since| since.elapsed() < SKIP_TIME);
        let addresses = addresses(&shared, &failed);
        let calls = addresses.iter().map(|address| {
            let client = clients.remove(address);
            send(*address, client, report.clone())
        });
        for (address, result) in addresses.iter().zip(join_all(calls).await) {
            if let Some((client, reply)) = result {
                clients.insert(*address, client);
                known |= reply.known;
                known &= !take(&shared, &mut member, reply.records);
            } else {
                failed.insert(*address, Instant::now());
            }
        }
        let _ = compio::time::timeout(INTERVAL, shared.report.changed(seen)).await;
    }
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

/// Merges records; returns whether the own record had to rise above one of them.
fn take(shared: &Shared, member: &mut Member, records: Vec<Record>) -> bool {
    let mut refuted = false;
    let mut changed = false;
    for record in records {
        refuted |= member.refute(&record);
        changed |= shared.view.borrow_mut().merge(record);
    }
    if changed {
        shared.view_changed();
    }
    refuted
}

/// Returns the entries to report to, or the seeds while no entry is known that answers.
fn addresses(shared: &Shared, failed: &HashMap<SocketAddr, Instant>) -> Vec<SocketAddr> {
    let settings = &shared.settings;
    let view = shared.view.borrow();
    let skip = |name: &str| match view.get(&Key::Entry(name.into())) {
        Some(Record {
            value: Value::Entry(node),
            ..
        }) => failed.contains_key(&node.peer),
        _ => false,
    };
    let entries = report_entries(
        &view,
        &settings.name,
        &settings.domain,
        &settings.service,
        skip,
    );
    match entries.is_empty() {
        true => settings.seeds.clone(),
        false => entries.iter().map(|(_, node)| node.peer).collect(),
    }
}

fn report(shared: &Shared, member: &Member, sequence: u64, known: bool) -> Report {
    let scope = Scope {
        domain: shared.settings.domain.clone(),
        services: vec![shared.settings.service.clone()],
    };
    Report {
        target: shared.settings.name.clone(),
        incarnation: member.incarnation(),
        sequence,
        gate: shared.gate(),
        weights: shared.pin().map(|pin| pin.digest.short()),
        chunks: shared.counters.chunks.get(),
        running: shared.counters.running.get(),
        waiting: shared.counters.waiting.get(),
        slots: shared.counters.slots.get(),
        view: scope.hash(&shared.view.borrow()),
        member: (!known).then(|| member.record().clone()),
    }
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

//! Subscriptions to agents for the load of their engines, and permit queries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{Load, WeightSource};
use node::event;
use node::time::uptime;
use quarantine::Evidence;
use replica::{Kind, Replica};
use wire::{Datagram, DatagramSocket, NamedVersion, Subscription};

use super::gateway::Gateway;
use super::subscriptions::Subscriptions;

/// Interval between checks for agents whose subscription is due.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks for newly named versions and newly registered targets.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of agents that an entry gets evidence of crashes from.
const EVIDENCE_SOURCES: usize = 4;
/// Number of agents of each failure domain that an entry sends evidence of crashes to. It is larger than
/// [`EVIDENCE_SOURCES`] because entries don't always see the same agents.
const EVIDENCE_SINKS: usize = 8;
/// Interval between two requests for the evidence of other entries; agents forget an entry after three intervals.
const EVIDENCE_SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of such requests after which the entry repeats what it knows.
const SUMMARY_ROUNDS: u32 = 4;
/// Pause between two sends of evidence, so that crashes that come together share a datagram.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of versions in one datagram; further versions go into further datagrams.
const VERSIONS_PER_DATAGRAM: usize = 8;

/// Subscribes to all agents and applies the datagrams that they send; never returns.
pub(super) async fn run(gateway: Rc<Gateway>, socket: DatagramSocket) {
    futures::join!(
        subscribe(&gateway, &socket),
        receive(&gateway, &socket),
        send_permit_queries(&gateway, &socket),
        send_evidence(&gateway, &socket),
        exchange_evidence(&gateway, &socket),
        announce_reader(&gateway, &socket),
    );
}

/// Sends the scheduler's permit queries to the issuers of the permits.
async fn send_permit_queries(gateway: &Gateway, socket: &DatagramSocket) {
    let load_port = gateway.settings.load_listen.port();
    loop {
        for query in gateway.next_permit_queries().await {
            let issuer = SocketAddr::new(query.issuer, load_port);
            let datagram = Datagram::Ask(wire::PermitQuery {
                target: query.target,
                role: query.role,
                ask: query.ask,
            });
            socket.send(&datagram, &[issuer]).await;
        }
    }
}

/// Tells agents which prompts are blamed for crashes that this entry saw, or are innocent of them.
async fn send_evidence(gateway: &Gateway, socket: &DatagramSocket) {
    loop {
        let evidence = gateway.next_evidence().await;
        send_to_sinks(gateway, socket, &evidence).await;
        compio::time::sleep(EVIDENCE_INTERVAL).await;
    }
}

async fn send_to_sinks(gateway: &Gateway, socket: &DatagramSocket, evidence: &[Evidence]) {
    let sinks = engine_agents(gateway).into_values();
    let sinks: Vec<SocketAddr> = sinks
        .flat_map(|agents| agents.into_iter().take(EVIDENCE_SINKS))
        .collect();
    for datagram in Datagram::evidence(evidence) {
        socket.send(&datagram, &sinks).await;
    }
}

/// Asks some agents again and again for the evidence of other entries, and repeats what this entry knows, because
/// datagrams get lost and agents start anew.
async fn exchange_evidence(gateway: &Gateway, socket: &DatagramSocket) {
    for round in 0u32.. {
        gateway.update_quarantine_seat();
        let subscribe = Datagram::Evidence {
            evidence: Vec::new(),
            subscribe: true,
        };
        socket.send(&subscribe, &evidence_sources(gateway)).await;
        if round % SUMMARY_ROUNDS == 0 {
            let now = Instant::now();
            let summary = gateway.view(|scheduler| scheduler.quarantine().summary(now));
            send_to_sinks(gateway, socket, &summary).await;
        }
        compio::time::sleep(EVIDENCE_SUBSCRIBE_INTERVAL).await;
    }
}

/// Tells the other entries of the domain when this one begins to hear the store.
async fn announce_reader(gateway: &Gateway, socket: &DatagramSocket) {
    let mut seen = gateway.reading_begun.count();
    loop {
        seen = gateway.reading_begun.changed(seen).await;
        let others = gateway.peers.borrow().others();
        socket.send(&Datagram::Reader, &others).await;
    }
}

/// Returns the agents that this entry gets evidence from: those of its own failure domain, if it has any.
fn evidence_sources(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut agents = engine_agents(gateway);
    let own = agents.remove(&gateway.settings.domain);
    let others = || agents.into_values().flatten().collect();
    let agents = own.unwrap_or_else(others).into_iter();
    agents.take(EVIDENCE_SOURCES).collect()
}

/// Returns the agents of VMs that run engines, by failure domain.
fn engine_agents(gateway: &Gateway) -> BTreeMap<String, BTreeSet<SocketAddr>> {
    let port = gateway.settings.load_listen.port();
    let mut agents: BTreeMap<String, BTreeSet<SocketAddr>> = BTreeMap::new();
    gateway.view(|scheduler| {
        for target in scheduler.engines() {
            let agent = SocketAddr::new(target.address.ip(), port);
            let domain = agents.entry(target.domain.clone()).or_default();
            domain.insert(agent);
        }
    });
    agents
}

async fn subscribe(gateway: &Gateway, socket: &DatagramSocket) {
    let mut subscribed = Subscriptions::default();
    loop {
        let seen_changes = gateway.change_count();
        if gateway.config().is_none() {
            // Agents that start at the same time miss the first subscriptions.
            subscribed = Subscriptions::default();
        }
        let named = named_versions(gateway);
        let versions = named
            .iter()
            .map(|named| (named.model.clone(), named.version));
        subscribed.set_versions(versions.collect());
        for (service, agents) in agents(gateway) {
            let source = gateway.view(|scheduler| scheduler.config()?.weight_source(&service));
            let due = subscribed.due(Instant::now(), &agents);
            for subscription in subscriptions(gateway, &named, source.as_ref()) {
                socket.send(&subscription, &due).await;
            }
            if !gateway.peers.borrow().has_others() {
                let local = due.into_iter().filter(|agent| agents[agent]);
                let local: Vec<SocketAddr> = local.collect();
                socket.send(&Datagram::Discover, &local).await;
            }
        }
        let end = Instant::now() + SUBSCRIBE_INTERVAL;
        while gateway.change_count() == seen_changes && Instant::now() < end {
            compio::time::sleep(CHANGE_CHECK_INTERVAL).await;
        }
    }
}

/// Returns one subscription, or several if the versions don't fit into one.
fn subscriptions(
    gateway: &Gateway,
    named: &[NamedVersion],
    source: Option<&WeightSource>,
) -> Vec<Datagram> {
    let subscription = |named: &[NamedVersion]| {
        Datagram::Subscribe(Subscription {
            domain: gateway.settings.domain.clone(),
            named: named.to_vec(),
            source: source.cloned(),
            passes_on: passes_on(gateway),
            in_touch: gateway.is_store_reachable(),
        })
    };
    match named.is_empty() {
        true => vec![subscription(&[])],
        false => named
            .chunks(VERSIONS_PER_DATAGRAM)
            .map(subscription)
            .collect(),
    }
}

/// Returns whether agents may list the targets at this entry. In a small domain they read them from the store.
fn passes_on(gateway: &Gateway) -> bool {
    let list = |replica: &Replica| replica.list(uptime(), Kind::Targets);
    gateway.peers.borrow().are_many() && gateway.objects.view(list).is_some()
}

/// Returns the versions that operators named and that may begin requests now or later.
///
/// Agents learn of versions from entries, because entries may reach the store when agents can't.
fn named_versions(gateway: &Gateway) -> Vec<NamedVersion> {
    gateway.view(|scheduler| {
        let named = scheduler.versions().in_force(Instant::now());
        named
            .map(|(model, version, age)| NamedVersion {
                model: model.to_owned(),
                version,
                age_ms: age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
            })
            .collect()
    })
}

/// Returns the agents of VMs that run engines, by service, and whether each is in this entry's failure domain.
///
/// Until the configuration says which services have engines, these are all targets of the entry's domain: agents report
/// the other entries, one of which may have the configuration. Plain services have no agents and ignore a datagram.
pub(super) fn agents(gateway: &Gateway) -> BTreeMap<String, BTreeMap<SocketAddr, bool>> {
    let port = gateway.settings.load_listen.port();
    let mut agents: BTreeMap<String, BTreeMap<SocketAddr, bool>> = BTreeMap::new();
    gateway.view(|scheduler| {
        let configured = scheduler.config().is_some();
        let domain = &gateway.settings.domain;
        let in_domain = scheduler
            .targets()
            .filter(|target| target.domain == *domain);
        let engines: Vec<_> = match configured {
            true => scheduler.engines().collect(),
            false => in_domain.collect(),
        };
        for target in engines {
            let agent = SocketAddr::new(target.address.ip(), port);
            let agents = agents.entry(target.service.clone()).or_default();
            agents.insert(agent, target.domain == gateway.settings.domain);
        }
    });
    agents
}

async fn receive(gateway: &Gateway, socket: &DatagramSocket) {
    loop {
        match socket.receive().await {
            (_, Datagram::Load(load)) => apply_load(gateway, load),
            (_, Datagram::Entries(entries)) => {
                let mut peers = gateway.peers.borrow_mut();
                peers.record_live(Instant::now(), &entries);
            }
            (_, Datagram::Grant { target, grant }) => {
                gateway.update(|scheduler, now| scheduler.apply_grant(now, &target, &grant));
            }
            (_, Datagram::Evidence { evidence, .. }) => gateway.merge_evidence(&evidence),
            (entry, Datagram::Reader) => {
                let mut peers = gateway.peers.borrow_mut();
                peers.record_reader(Instant::now(), entry);
                gateway.reader_found.notify();
            }
            // Only agents handle these.
            (_, Datagram::Subscribe(_) | Datagram::Ask(_) | Datagram::Discover) => {}
        }
    }
}

fn apply_load(gateway: &Gateway, load: wire::Load) {
    let entries = usize::from(load.entries);
    let engine = load.engine;
    let named = load.named;
    for (target, statement) in load.limits {
        gateway.apply_advertised_limit(&target, statement);
    }
    let load = Load {
        running: load.running,
        waiting: load.waiting,
        slots: None,
        slowdown: f64::from(load.pace),
        accepting: load.accepting,
        closes_in: load.closes_ms.map(|ms| Duration::from_millis(ms.into())),
        weights: Some(load.weights.into_iter().collect()),
    };
    for named in &named {
        apply_named_version(gateway, named);
    }
    gateway.update_load(|scheduler, now| {
        scheduler.set_entries(entries);
        scheduler.report_load(now, engine, load);
    });
}

/// Applies a named version that an agent forwarded, because this entry may be unable to reach the store.
fn apply_named_version(gateway: &Gateway, named: &NamedVersion) {
    let Some(ms) = named.age_ms else {
        return;
    };
    let age = Duration::from_millis(ms.into());
    let (model, version) = (&named.model, named.version);
    if gateway.update(|scheduler, now| scheduler.add_version_with_age(now, model, version, age)) {
        gateway.record_change();
        event!(
            event::VERSION_NAMED,
            model = model,
            version = version,
            age_ms = ms
        );
    }
}

//! The load of engines, told by the agents beside them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{Load, WeightSource};
use node::event;
use platform::target;
use wire::{Datagram, DatagramSocket, NamedVersion, Subscription};

use super::gateway::Gateway;
use super::subscriptions::Subscriptions;

/// Time between two looks for agents to subscribe at.
const LOOK: Duration = Duration::from_millis(200);
/// Time between two looks whether a version was named or a target registered.
const NEWS_CHECK: Duration = Duration::from_millis(50);
/// Versions in one datagram; more of them are told in further ones.
const NAMED: usize = 8;

/// Subscribes at all agents and takes what they tell; never returns.
pub(super) async fn run(gateway: Rc<Gateway>, port: DatagramSocket) {
    futures::join!(
        subscribe(&gateway, &port),
        receive(&gateway, &port),
        ask(&gateway, &port)
    );
}

/// Puts the questions for permits that the scheduler has.
async fn ask(gateway: &Gateway, port: &DatagramSocket) {
    let load_port = gateway.settings.load_listen.port();
    loop {
        for question in gateway.next_permit_queries().await {
            let issuer = SocketAddr::new(question.issuer, load_port);
            let question = Datagram::Ask(wire::PermitQuery {
                target: question.target,
                role: question.role,
                ask: question.ask,
            });
            port.send(&question, &[issuer]).await;
        }
    }
}

async fn subscribe(gateway: &Gateway, port: &DatagramSocket) {
    let mut subscribed = Subscriptions::default();
    loop {
        let seen = gateway.change_count();
        let named = named(gateway);
        let versions = named
            .iter()
            .map(|named| (named.model.clone(), named.version));
        subscribed.set_versions(versions.collect());
        for (service, agents) in agents(gateway) {
            let source = gateway.view(|scheduler| scheduler.config()?.weight_source(&service));
            let due = subscribed.due(Instant::now(), &agents);
            for subscription in subscriptions(gateway, &named, source.as_ref()) {
                port.send(&subscription, &due).await;
            }
        }
        let end = Instant::now() + LOOK;
        while gateway.change_count() == seen && Instant::now() < end {
            compio::time::sleep(NEWS_CHECK).await;
        }
    }
}

/// Returns one subscription, or several where one can't tell all versions.
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
            passes_on: gateway.relay.passes_on(Instant::now(), target::KIND),
            in_touch: gateway.is_store_reachable(),
        })
    };
    match named.is_empty() {
        true => vec![subscription(&[])],
        false => named.chunks(NAMED).map(subscription).collect(),
    }
}

/// Returns the versions that operators named and that may begin requests now or later: agents learn of them from the
/// entries, which may reach the store when they don't.
fn named(gateway: &Gateway) -> Vec<NamedVersion> {
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

/// Returns the agents by service: those of the VMs whose targets are engines, and whether each is in this entry's domain.
fn agents(gateway: &Gateway) -> BTreeMap<String, BTreeMap<SocketAddr, bool>> {
    let port = gateway.settings.load_listen.port();
    let mut agents: BTreeMap<String, BTreeMap<SocketAddr, bool>> = BTreeMap::new();
    gateway.view(|scheduler| {
        let Some(config) = scheduler.config() else {
            return;
        };
        for target in scheduler.targets() {
            let service = config.services.get(&target.service);
            if service.is_some_and(|service| service.engine.is_some()) {
                let agent = SocketAddr::new(target.address.ip(), port);
                let agents = agents.entry(target.service.clone()).or_default();
                agents.insert(agent, target.domain == gateway.settings.domain);
            }
        }
    });
    agents
}

async fn receive(gateway: &Gateway, port: &DatagramSocket) {
    loop {
        match port.receive().await {
            (_, Datagram::Load(load)) => take(gateway, load),
            (_, Datagram::Entries(entries)) => {
                let mut relays = gateway.relays.borrow_mut();
                relays.record_live(Instant::now(), &entries);
            }
            (_, Datagram::Grant { target, grant }) => {
                gateway.update(|scheduler, now| scheduler.apply_grant(now, &target, &grant));
            }
            // Entries subscribe and ask at agents only.
            (_, Datagram::Subscribe(_) | Datagram::Ask(_)) => {}
        }
    }
}

fn take(gateway: &Gateway, load: wire::Load) {
    let entries = usize::from(load.entries);
    let engine = load.engine;
    let named = load.named;
    for (target, statement) in load.limits {
        gateway.apply_advertised_limit(&target, statement);
    }
    let load = Load {
        running: load.running,
        waiting: load.waiting,
        slowdown: f64::from(load.pace),
        accepting: load.accepting,
        closes_in: load.closes_ms.map(|ms| Duration::from_millis(ms.into())),
        weights: Some(load.weights.into_iter().collect()),
    };
    for named in &named {
        take_named(gateway, named);
    }
    gateway.update_load(|scheduler, now| {
        scheduler.set_entries(entries);
        scheduler.report_load(now, engine, load);
    });
}

/// Takes a version that an agent saw named: this entry may hear nothing of the store.
fn take_named(gateway: &Gateway, named: &NamedVersion) {
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

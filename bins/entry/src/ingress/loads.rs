//! The load of engines, told by the agents beside them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::net::UdpSocket;
use dispatch::Load;
use node::event;
use wire::{Datagram, MAX_DATAGRAM, Named};

use super::gateway::Gateway;

/// Time between two subscriptions; agents forget an entry after three.
const SUBSCRIPTION: Duration = Duration::from_secs(1);
/// Time between two looks whether a version was named.
const NEWS_CHECK: Duration = Duration::from_millis(50);
/// Pause after the port failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Subscribes at all agents and takes what they tell; never returns.
pub(super) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    futures::join!(subscribe(&gateway, &socket), receive(&gateway, &socket));
}

async fn subscribe(gateway: &Gateway, socket: &UdpSocket) {
    let port = gateway.settings.load_listen.port();
    loop {
        let seen = gateway.versions_named();
        let text = match Datagram::Subscribe(named(gateway)).encode() {
            Ok(text) => text,
            Err(error) => {
                event!(event::DATAGRAM_FAILED, peer = "all", error = error);
                Vec::new()
            }
        };
        for agent in agents(gateway, port) {
            let BufResult(sent, _) = socket.send_to(text.clone(), agent).await;
            if let Err(error) = sent {
                event!(event::DATAGRAM_FAILED, peer = agent, error = error);
            }
        }
        let end = Instant::now() + SUBSCRIPTION;
        while gateway.versions_named() == seen && Instant::now() < end {
            compio::time::sleep(NEWS_CHECK).await;
        }
    }
}

/// Returns the newest versions that operators named: agents learn of them from the entries too, which may reach the store
/// when they don't.
fn named(gateway: &Gateway) -> Vec<Named> {
    gateway.view(|scheduler| {
        let newest = scheduler.versions().newest_of_all(Instant::now());
        newest
            .map(|(model, version, age)| Named {
                model: model.to_owned(),
                version,
                age_ms: age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
            })
            .collect()
    })
}

/// Returns the addresses of the agents: those of the VMs whose targets are engines.
fn agents(gateway: &Gateway, port: u16) -> BTreeSet<SocketAddr> {
    gateway.view(|scheduler| {
        let Some(config) = scheduler.config() else {
            return BTreeSet::new();
        };
        let is_engine = |service: &str| {
            let service = config.services.get(service);
            service.is_some_and(|service| service.engine.is_some())
        };
        scheduler
            .targets()
            .filter(|target| is_engine(&target.service))
            .map(|target| SocketAddr::new(target.address.ip(), port))
            .collect()
    })
}

async fn receive(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        let BufResult(received, mut filled) = socket.recv_from(buffer).await;
        match received {
            Ok((length, peer)) => {
                filled.truncate(length);
                match Datagram::decode(&filled) {
                    Ok(Datagram::Load(load)) => take(gateway, load),
                    Ok(Datagram::Subscribe(_)) => {}
                    Err(error) => event!(event::DATAGRAM_FAILED, peer = peer, error = error),
                }
            }
            Err(error) => {
                event!(event::DATAGRAM_FAILED, peer = "any", error = error);
                compio::time::sleep(PAUSE).await;
            }
        }
        filled.clear();
        buffer = filled;
    }
}

fn take(gateway: &Gateway, load: wire::Load) {
    let entries = usize::from(load.entries);
    let engine = load.engine;
    let named = load.named;
    let load = Load {
        running: load.running,
        waiting: load.waiting,
        pace: f64::from(load.pace),
        accepting: load.accepting,
        closes: load.closes_ms.map(|ms| Duration::from_millis(ms.into())),
        weights: Some(load.weights.into_iter().collect()),
    };
    gateway.update(|scheduler, now| {
        scheduler.set_entries(entries);
        for Named {
            model,
            version,
            age_ms,
        } in &named
        {
            if let Some(ms) = age_ms {
                let age = Duration::from_millis((*ms).into());
                scheduler.version_aged(now, model, *version, age);
            }
        }
        scheduler.report(now, engine, load);
    });
}

//! The load of engines, told by the agents beside them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use dispatch::Load;
use node::event;
use wire::{Datagram, MAX_DATAGRAM};

use super::gateway::Gateway;

/// Time between two subscriptions; agents forget an entry after three.
const SUBSCRIPTION: Duration = Duration::from_secs(1);
/// Pause after the port failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Subscribes at all agents and takes what they tell; never returns.
pub(super) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    futures::join!(subscribe(&gateway, &socket), receive(&gateway, &socket));
}

async fn subscribe(gateway: &Gateway, socket: &UdpSocket) {
    let Ok(text) = Datagram::Subscribe.encode() else {
        return;
    };
    let port = gateway.settings.load_listen.port();
    loop {
        for agent in agents(gateway, port) {
            let BufResult(sent, _) = socket.send_to(text.clone(), agent).await;
            if let Err(error) = sent {
                event!(event::DATAGRAM_FAILED, peer = agent, error = error);
            }
        }
        compio::time::sleep(SUBSCRIPTION).await;
    }
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
                    Ok(Datagram::Subscribe) => {}
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
    let ages = load.ages;
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
        for (model, version, age_ms) in &ages {
            let age = Duration::from_millis((*age_ms).into());
            scheduler.version_aged(now, model, *version, age);
        }
        scheduler.report(now, engine, load);
    });
}

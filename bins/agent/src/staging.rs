//! Connects the transfer with the gate and the view.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{Members, Peer};
use catalog::{Entry, Service};
use gate::Event;
use gossip::{Phase, Store, Value};
use weights::{Digest, Pin};

use crate::metrics::TransferMetrics;
use crate::transfer::{Holdings, Order, Origin, Rates, Settings, Transfer, Worker};
use crate::{Shared, settings};

/// Maximum interval between reads of the transfer's progress and the number of requests in progress. With 500 ms,
/// `/status` reported up to half a second late that all chunks were held, and the uplink kept its halved rate that long
/// after the last request.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of concurrent uploads; more would only share the same link.
const UPLOAD_SLOTS: usize = 4;

/// Maximum number of concurrent chunk requests.
const MAX_REQUESTS: usize = 16;

/// Creates the holdings of an agent with the limits from its settings.
pub fn holdings(settings: &settings::Settings, metrics: TransferMetrics) -> Rc<Holdings> {
    let rates = Rates {
        uplink: settings.uplink,
        downlink: settings.downlink,
        inter_region: settings.inter_region,
        burst_time: Rates::BULK_BURST_TIME,
        piece_bytes: Rates::BULK_PIECE_BYTES,
    };
    let holdings = Holdings::new(
        &settings.domain,
        &settings.region,
        &rates,
        settings.chunk_cache,
        UPLOAD_SLOTS,
    );
    Rc::new(holdings.with_metrics(metrics))
}

/// Creates the transfer handle and worker of an agent that draws weights from `store` and stages them in its engine.
pub fn transfer(
    shared: &Rc<Shared>,
    holdings: Rc<Holdings>,
    platform: platform::Client,
    store: SocketAddr,
) -> (Transfer, Worker) {
    let agent = &shared.settings;
    let settings = Settings {
        local: Peer {
            name: agent.name.clone(),
            domain: agent.domain.clone(),
            region: agent.region.clone(),
            address: agent.chunk_listen,
        },
        incarnation: shared.started_ms,
        origin: Origin::Store(store),
        engine: Some(agent.backend_address),
        max_requests: MAX_REQUESTS,
        max_upstream_requests: burst::MAX_UPSTREAM_REQUESTS,
        max_retry_delay: burst::MAX_RETRY_DELAY,
    };
    let shared = Rc::clone(shared);
    Transfer::new(settings, holdings, Some(platform), move |pin: &Pin| {
        let staging = shared.staging.borrow().clone();
        // If the engine restarted or the catalogue changed meanwhile, the gate has requested another staging.
        if let Some((_, incarnation)) = staging.filter(|(staging, _)| staging == pin) {
            shared.handle(Event::Staged(pin.digest, incarnation));
        }
    })
}

/// Passes changes of the catalogue, the members and the engine to the transfer; never returns.
///
/// The weights are transferred even if the engine already serves them, such as after a restart of the agent alone,
/// because the other agents rely on each member for its share of the chunks.
pub async fn run(shared: Rc<Shared>, transfer: Transfer, holdings: Rc<Holdings>) {
    let mut seen_view = None;
    let mut seen_staging = shared.staging_requested.count();
    loop {
        let seen = shared.changed.count();
        let view = Some(shared.view.borrow().change_count());
        if view != seen_view {
            seen_view = view;
            if let Some(service) = shared.service() {
                let order = order(&service);
                let digest = order.as_ref().map(|order| order.pin.digest);
                transfer.set_members(members(&shared.view.borrow(), digest));
                transfer.set_wanted(order);
            }
        }
        if seen_staging != shared.staging_requested.count() {
            seen_staging = shared.staging_requested.count();
            transfer.restage();
        }
        let progress = transfer.progress();
        shared
            .counters
            .chunks
            .set(progress.chunks - progress.missing);
        holdings
            .uplink
            .set_live_traffic(shared.in_progress() > 0, Instant::now());
        let _ = compio::time::timeout(UPDATE_INTERVAL, shared.changed.changed(seen)).await;
    }
}

fn order(service: &Service) -> Option<Order> {
    let model = service.model.as_ref().filter(|_| !service.retired)?;
    Some(Order {
        pin: model.pin(),
        plan: model.plan,
        origin_chunk_time: Duration::ZERO,
        draws_since: None,
    })
}

/// Returns the agents of the live targets of all services that use the weights `digest`.
fn members(view: &Store, digest: Option<Digest>) -> Members {
    let services: HashSet<String> = view
        .iter()
        .filter_map(|(_, _, value)| match value {
            Value::Catalog(text) => serde_json::from_str(text).ok(),
            Value::Entry(_) | Value::Target(_) => None,
        })
        .filter_map(|entry| match entry {
            Entry::Service(service) if !service.retired => Some(service),
            _ => None,
        })
        .filter(|service| service.model.as_ref().map(|model| model.digest) == digest)
        .map(|service| service.name)
        .collect();
    let live = view
        .targets()
        .filter(|(_, target)| target.phase == Phase::Live && services.contains(&target.service));
    Members::new(live.map(|(name, target)| Peer {
        name: name.into(),
        domain: target.domain.clone(),
        region: target.region.clone(),
        address: target.chunk,
    }))
}

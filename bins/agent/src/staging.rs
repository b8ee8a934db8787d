//! Tells the transfer what the gate and the view ask for.

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

/// Time between two looks at the transfer's progress and at the requests in progress. With 500 ms, `/status` told up to
/// half a second late that all chunks were held, and the uplink kept its halved rate that long after a request.
const INTERVAL: Duration = Duration::from_millis(100);

/// Uploads at once; more would only share the same link.
const UPLOAD_SLOTS: usize = 4;

/// Chunks requested at once.
const PARALLEL: usize = 16;

/// Returns the holdings of an agent, sized by its settings.
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

/// Returns the transfer of an agent whose engine takes weights from `store`.
pub fn transfer(
    shared: &Rc<Shared>,
    holdings: Rc<Holdings>,
    platform: platform::Client,
    store: SocketAddr,
) -> (Transfer, Worker) {
    let own = &shared.settings;
    let settings = Settings {
        local: Peer {
            name: own.name.clone(),
            domain: own.domain.clone(),
            region: own.region.clone(),
            address: own.chunk_listen,
        },
        incarnation: shared.started_ms,
        origin: Origin::Store(store),
        engine: Some(own.backend_address),
        max_requests: PARALLEL,
        max_upstream_requests: burst::MAX_UPSTREAM_REQUESTS,
        max_retry_delay: burst::MAX_RETRY_DELAY,
    };
    let complete = Rc::clone(shared);
    Transfer::new(settings, holdings, Some(platform), move |pin: &Pin| {
        let staging = complete.staging.borrow().clone();
        // The engine may have restarted or the catalogue changed meanwhile; then another staging was asked for.
        if let Some((_, incarnation)) = staging.filter(|(staging, _)| staging == pin) {
            complete.handle(Event::Staged(pin.digest, incarnation));
        }
    })
}

/// Keeps the transfer in step with the catalogue, the members and the engine; never returns.
///
/// The weights are wanted even when the engine serves them already, as after a restart of the agent alone: the other
/// agents count on each member for its share of the chunks.
pub async fn run(shared: Rc<Shared>, transfer: Transfer, holdings: Rc<Holdings>) {
    let mut view = None;
    let mut asked = shared.staging_asked.count();
    loop {
        let seen = shared.changed.count();
        let changes = Some(shared.view.borrow().change_count());
        if changes != view {
            view = changes;
            if let Some(service) = shared.service() {
                let order = order(&service);
                let digest = order.as_ref().map(|order| order.pin.digest);
                transfer.set_members(members(&shared.view.borrow(), digest));
                transfer.set_wanted(order);
            }
        }
        if asked != shared.staging_asked.count() {
            asked = shared.staging_asked.count();
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
        let _ = compio::time::timeout(INTERVAL, shared.changed.changed(seen)).await;
    }
}

fn order(service: &Service) -> Option<Order> {
    let model = service.model.as_ref().filter(|_| !service.retired)?;
    Some(Order {
        pin: model.pin(),
        plan: model.plan,
        origin_chunk_time: Duration::ZERO,
    })
}

/// Returns the live targets of all services with the weights `digest`.
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

//! Status polls of the backend and orders to the engine.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use gate::{Action, Backend, Event, Incarnation, OrderAnswer, Status};
use node::event;
use node::http::{Body, Client, Method, Request, StatusCode};
use serde::Deserialize;
use weights::{Digest, Pin};
use wire::header;

use crate::Shared;

/// Timeout of a status poll; shorter than the poll interval, since a later poll replaces it.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval of the gate's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of the engine's response to a poll or order, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The engine's response to `/status` and to an activate order.
#[derive(Debug)]
#[derive(Deserialize)]
struct EngineStatus {
    incarnation: Incarnation,
    weights: Option<Digest>,
    /// Highest fencing number that the engine accepted.
    #[serde(default)]
    fencing_number: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// Performs the gate's actions; never returns.
pub async fn run(shared: Rc<Shared>, mut actions: UnboundedReceiver<Action>, http: Client) {
    let ticking = Rc::clone(&shared);
    compio::runtime::spawn(async move {
        loop {
            ticking.handle(Event::Tick);
            ticking
                .metrics
                .in_progress
                .set(ticking.in_progress().into());
            ticking.metrics.gate.set(ticking.gate_metric());
            if ticking.settings.backend == Backend::Plain {
                // A plain service doesn't report its load.
                ticking.counters.running.set(ticking.in_progress());
            }
            compio::time::sleep(TICK_INTERVAL).await;
        }
    })
    .detach();
    while let Some(action) = actions.next().await {
        perform(&shared, action, &http);
    }
}

fn perform(shared: &Rc<Shared>, action: Action, http: &Client) {
    let (shared, http) = (Rc::clone(shared), http.clone());
    match action {
        Action::Poll(poll) => {
            compio::runtime::spawn(async move {
                let status = match shared.settings.backend {
                    Backend::Engine => poll_status(&shared, &http).await.map(Status::from),
                    Backend::Plain => probe(&shared).await,
                };
                shared.handle(Event::Polled(poll, status));
            })
            .detach();
        }
        Action::Stage(pin, incarnation) => {
            node::event!(event::STAGING, pin = pin, incarnation = incarnation);
            shared.staging.replace(Some((pin, incarnation)));
            shared.staging_requested.notify();
            shared.changed.notify();
        }
        Action::Activate { order, pin, number } => {
            compio::runtime::spawn(async move {
                let answer = activate(&shared, &http, &pin, number).await;
                shared.metrics.record_order(answer);
                node::event!(
                    event::ORDERED,
                    pin = pin,
                    number = number,
                    answer = format!("{answer:?}")
                );
                shared.handle(Event::Ordered(order, answer));
            })
            .detach();
        }
        Action::Report => {
            let pin = shared.pin().map(|pin| pin.to_string()).unwrap_or_default();
            node::event!(
                event::GATE_CHANGED,
                gate = format!("{:?}", shared.gate()),
                pin = pin
            );
            shared.report_requested.notify();
            shared.changed.notify();
        }
        Action::Superseded => {
            node::event!(
                event::SUPERSEDED,
                number = shared.fencing_number.get().unwrap_or(0)
            )
        }
        Action::Finished => {
            shared.finished.set(true);
            shared.changed.notify();
        }
    }
}

/// Requests the digest of the weights that the engine serves; `None` if the engine returns no status.
pub(crate) async fn active_weights(shared: &Shared, http: &Client) -> Option<Option<Digest>> {
    Some(poll_status(shared, http).await?.weights)
}

/// Requests the highest fencing number that the engine accepted; `None` if the engine returns no status.
pub(crate) async fn highest_fencing_number(shared: &Shared, http: &Client) -> Option<u64> {
    Some(poll_status(shared, http).await?.fencing_number)
}

/// Checks that a plain service accepts connections; `None` if it doesn't.
async fn probe(shared: &Shared) -> Option<Status> {
    let connected = node::connect(shared.settings.backend_address);
    match compio::time::timeout(POLL_TIMEOUT, connected).await {
        Ok(Ok(_)) => Some(Status::REACHABLE),
        Ok(Err(_)) | Err(_) => None,
    }
}

async fn poll_status(shared: &Shared, http: &Client) -> Option<EngineStatus> {
    let request = Request::get("/status").body(Body::empty()).ok()?;
    let deadline = Instant::now() + POLL_TIMEOUT;
    let response = http
        .send(shared.settings.backend_address, request, deadline)
        .await
        .ok()?;
    let ok = response.status() == StatusCode::OK;
    let body = response
        .into_body()
        .collect(MAX_RESPONSE_BYTES)
        .await
        .ok()?;
    let status: EngineStatus = serde_json::from_slice(&body).ok().filter(|_| ok)?;
    shared.counters.running.set(status.running);
    shared.counters.waiting.set(status.waiting);
    Some(status)
}

/// Sends an activate order and returns its result.
async fn activate(shared: &Shared, http: &Client, pin: &Pin, number: u64) -> OrderAnswer {
    let body = serde_json::json!({"digest": pin.digest}).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri("/orders/activate")
        .header(header::FENCING_NUMBER, number)
        .body(Body::from(body));
    let Ok(request) = request else {
        return OrderAnswer::Refused;
    };
    let deadline = Instant::now() + shared.settings.activate_timeout;
    let response = match http
        .send(shared.settings.backend_address, request, deadline)
        .await
    {
        Ok(response) => response,
        Err(node::http::Error::NotWritten { .. }) => return OrderAnswer::Refused,
        Err(node::http::Error::Unknown { .. }) => return OrderAnswer::Lost,
    };
    let status = response.status();
    let Ok(body) = response.into_body().collect(MAX_RESPONSE_BYTES).await else {
        return OrderAnswer::Lost;
    };
    match status {
        StatusCode::OK => match serde_json::from_slice::<EngineStatus>(&body) {
            Ok(status) => OrderAnswer::Confirmed(status.into()),
            // The next status poll shows whether the order took effect.
            Err(_) => OrderAnswer::Lost,
        },
        // Engines refuse a stale number and incomplete weights with the same status code; `/status` tells them apart.
        StatusCode::CONFLICT => match poll_status(shared, http).await {
            Some(status) if status.fencing_number > number => OrderAnswer::Stale,
            _ => OrderAnswer::Refused,
        },
        status if status.is_client_error() => OrderAnswer::Refused,
        _ => OrderAnswer::Lost,
    }
}

impl From<EngineStatus> for Status {
    fn from(status: EngineStatus) -> Self {
        Self {
            incarnation: status.incarnation,
            active: status.weights,
        }
    }
}

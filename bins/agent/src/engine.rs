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

/// Time allowed for a status poll; shorter than the time between two polls, since a later poll replaces it.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two looks of the gate at the clock.
const TICK: Duration = Duration::from_millis(100);

/// Longest answer of the engine to a poll or order, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// What the engine answers on `/status` and to an activate order.
#[derive(Debug)]
#[derive(Deserialize)]
struct EngineStatus {
    incarnation: Incarnation,
    weights: Option<Digest>,
    /// Highest number of an order that the engine took.
    #[serde(default)]
    fencing_number: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// Carries out the gate's actions; never returns.
pub async fn run(shared: Rc<Shared>, mut actions: UnboundedReceiver<Action>, http: Client) {
    let tick = Rc::clone(&shared);
    compio::runtime::spawn(async move {
        loop {
            tick.handle(Event::Tick);
            tick.metrics.in_progress.set(tick.in_progress().into());
            tick.metrics.gate.set(tick.gate_metric());
            if tick.settings.backend == Backend::Plain {
                // A plain service reports no load of its own.
                tick.counters.running.set(tick.in_progress());
            }
            compio::time::sleep(TICK).await;
        }
    })
    .detach();
    while let Some(action) = actions.next().await {
        carry_out(&shared, action, &http);
    }
}

fn carry_out(shared: &Rc<Shared>, action: Action, http: &Client) {
    let (shared, http) = (Rc::clone(shared), http.clone());
    match action {
        Action::Poll(poll) => {
            compio::runtime::spawn(async move {
                let status = match shared.settings.backend {
                    Backend::Engine => poll_status(&shared, &http).await.map(Status::from),
                    Backend::Plain => reach(&shared).await,
                };
                shared.handle(Event::Polled(poll, status));
            })
            .detach();
        }
        Action::Stage(pin, incarnation) => {
            node::event!(event::STAGING, pin = pin, incarnation = incarnation);
            shared.staging.replace(Some((pin, incarnation)));
            shared.staging_asked.notify();
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
            shared.report.notify();
            shared.changed.notify();
        }
        Action::Superseded => {
            node::event!(event::SUPERSEDED, number = shared.number.get().unwrap_or(0))
        }
        Action::Finished => {
            shared.finished.set(true);
            shared.changed.notify();
        }
    }
}

/// Asks the engine for the weights that it serves; `None` when it gives no status.
pub(crate) async fn active(shared: &Shared, http: &Client) -> Option<Option<Digest>> {
    Some(poll_status(shared, http).await?.weights)
}

/// Asks the engine for the highest fencing number that it took; `None` when it gives no status.
pub(crate) async fn highest_number(shared: &Shared, http: &Client) -> Option<u64> {
    Some(poll_status(shared, http).await?.fencing_number)
}

/// Connects to a plain service; `None` when it accepts no connection.
async fn reach(shared: &Shared) -> Option<Status> {
    let connected = node::connect(shared.settings.backend_address);
    match compio::time::timeout(POLL_TIMEOUT, connected).await {
        Ok(Ok(_)) => Some(Status::REACHABLE),
        Ok(Err(_)) | Err(_) => None,
    }
}

async fn poll_status(shared: &Shared, http: &Client) -> Option<EngineStatus> {
    let request = Request::get("/status").body(Body::empty()).ok()?;
    let deadline = Instant::now() + POLL_TIMEOUT;
    let answer = http
        .send(shared.settings.backend_address, request, deadline)
        .await
        .ok()?;
    let ok = answer.status() == StatusCode::OK;
    let body = answer.into_body().collect(MAX_ANSWER).await.ok()?;
    let status: EngineStatus = serde_json::from_slice(&body).ok().filter(|_| ok)?;
    shared.counters.running.set(status.running);
    shared.counters.waiting.set(status.waiting);
    Some(status)
}

/// Gives an activate order and tells how it ended.
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
    let answer = match http
        .send(shared.settings.backend_address, request, deadline)
        .await
    {
        Ok(answer) => answer,
        Err(node::http::Error::NotWritten { .. }) => return OrderAnswer::Refused,
        Err(node::http::Error::Unknown { .. }) => return OrderAnswer::Lost,
    };
    let status = answer.status();
    let Ok(body) = answer.into_body().collect(MAX_ANSWER).await else {
        return OrderAnswer::Lost;
    };
    match status {
        StatusCode::OK => match serde_json::from_slice::<EngineStatus>(&body) {
            Ok(status) => OrderAnswer::Confirmed(status.into()),
            // The next status tells.
            Err(_) => OrderAnswer::Lost,
        },
        // Engines refuse a stale number and incomplete weights alike; the status tells them apart.
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

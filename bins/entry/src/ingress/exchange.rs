//! Asks other entries of the failure domain for the store's objects, and answers those that ask this one.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use futures::future::{Either, select};
use node::event;
use node::http::{self, Body, Client, Limits, Metrics, Request, Response, StatusCode, response};
use node::time::uptime;
use platform::wire::{self, Call};
use replica::{Answer, Kind, Query};

use super::gateway::{CONNECT_TIMEOUT, Gateway};
use super::objects::Objects;

/// Path at which entries ask each other.
const PATH: &str = "/replica";
/// Time for which an answer waits for news. A silent entry is detected after this time and [`TIMEOUT`].
const WAIT: Duration = Duration::from_millis(600);
/// Timeout of an answer, in addition to its wait, and of each piece of it.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for receiving an answer.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Pause before the next entry is asked after one that has nothing recent.
pub(super) const SWITCH_PAUSE: Duration = Duration::from_millis(50);
/// Interval between checks for an entry to ask while there is none.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether this entry still hears the store while others wait for its answer.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Asks two entries at a time; never returns.
///
/// The news of either arrives without delay when the other one fails.
pub(super) async fn follow(gateway: &Gateway) {
    let asked = [Cell::new(None), Cell::new(None)];
    let client = Client::new().with_connect_timeout(CONNECT_TIMEOUT);
    futures::join!(
        follow_one(gateway, &client, &asked[0], &asked[1]),
        follow_one(gateway, &client, &asked[1], &asked[0]),
    );
}

/// Asks one entry after the other, none that is in `other`.
async fn follow_one(
    gateway: &Gateway,
    client: &Client,
    asked: &Cell<Option<SocketAddr>>,
    other: &Cell<Option<SocketAddr>>,
) {
    loop {
        let entry = gateway.peers.borrow().next(Instant::now(), other.get());
        asked.set(entry);
        let seen = gateway.reader_found.count();
        let reader_found = pin!(gateway.reader_found.changed(seen));
        let pause = match entry {
            None => IDLE_INTERVAL,
            Some(entry) => match select(pin!(ask(gateway, client, entry)), reader_found).await {
                Either::Left((Ok(true), _)) | Either::Right(_) => continue,
                Either::Left((answer, _)) => {
                    skip(gateway, entry, answer);
                    SWITCH_PAUSE
                }
            },
        };
        let _ = compio::time::timeout(pause, gateway.reader_found.changed(seen)).await;
    }
}

/// Records that an entry had nothing recent or did not answer.
fn skip(gateway: &Gateway, entry: SocketAddr, answer: Result<bool, Error>) {
    let mut peers = gateway.peers.borrow_mut();
    match answer {
        Ok(_) => peers.record_silence(Instant::now(), entry),
        Err(error) => {
            event!(event::NEIGHBOUR_LOST, entry = entry, error = error);
            peers.record_failure(Instant::now(), entry);
        }
    }
}

/// Asks an entry for news and merges its answer; returns whether it has heard the store recently and all it sent was applied.
async fn ask(gateway: &Gateway, client: &Client, entry: SocketAddr) -> Result<bool, Error> {
    let called = uptime();
    let query = gateway.objects.view(|replica| replica.query(called, WAIT));
    let body = query.encode()?;
    let request = Request::post(PATH).body(Body::from(body))?;
    let deadline = Instant::now() + WAIT + TIMEOUT;
    let response = client.send(entry, request, deadline).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    let body = response.into_body();
    let body = body.collect_with_stall_timeout(MAX_ANSWER_BYTES, TIMEOUT, MAX_TIME, || {});
    let body = body.await?.ok_or(Error::Length)?;
    let answer = Answer::decode(&body)?;
    let now = uptime();
    let merge = gateway.objects.merge(called, now, entry, &answer);
    for (kind, error) in &merge.errors {
        event!(
            event::CHANGE_DROPPED,
            kind = kind,
            entry = entry,
            error = error
        );
    }
    gateway.metrics.count_exchanged(body.len());
    gateway.record_store_era();
    Ok(answer.is_recent() && merge.errors.is_empty())
}

/// An exchange that failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Error {
    #[error(transparent)]
    Call(#[from] http::Error),
    #[error("malformed message: {0}")]
    Message(#[from] postcard::Error),
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the answer is too long")]
    Length,
}

/// Answers other entries, and agents that list the targets; never returns.
pub(super) async fn serve(listener: TcpListener, objects: Rc<Objects>, metrics: Metrics) {
    let handler = move |_: SocketAddr, request: Request<Bytes>| {
        let objects = Rc::clone(&objects);
        async move { respond(&objects, &request).await }
    };
    let limits = Limits {
        port: "entries",
        metrics,
        ..Limits::default()
    };
    http::serve(listener, limits, handler, std::future::pending()).await;
}

async fn respond(objects: &Objects, request: &Request<Bytes>) -> Response<Body> {
    if request.uri().path() == PATH {
        return respond_query(objects, request.body()).await;
    }
    match Call::parse(request) {
        Some(Call::List { kind }) => list(objects, &kind),
        _ => response(StatusCode::NOT_FOUND, "an entry passes on lists only\n"),
    }
}

async fn respond_query(objects: &Objects, body: &[u8]) -> Response<Body> {
    let arrived = uptime();
    let Ok(query) = Query::decode(body) else {
        return response(StatusCode::BAD_REQUEST, "malformed query\n");
    };
    let answer = objects.answer(arrived, &query, RECHECK_INTERVAL).await;
    match answer.encode() {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(error) => response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

/// Returns the objects of a kind in the form of the store's own API.
fn list(objects: &Objects, kind: &str) -> Response<Body> {
    let kind = Kind::from_name(kind);
    let list = |kind| objects.view(|replica| replica.list(uptime(), kind));
    match kind.and_then(list) {
        Some(listing) => wire::list_response(&listing),
        None => response(
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry has not heard the store recently\n",
        ),
    }
}

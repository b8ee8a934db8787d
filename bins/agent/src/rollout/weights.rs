//! Gets the parts of the wanted version.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::rollout::ManifestSearch;
use burst::Version;
use catalog::Plan;
use node::event;
use node::http::{self, Body, Client, Request, StatusCode};
use weights::{Digest, Manifest, Pin};

use super::state::State;
use crate::transfer::{Holdings, Order, Origin, PartOrigin, Settings, Transfer, Worker};

/// Longest time between two looks at the wanted version, which depends on the time.
const TICK: Duration = Duration::from_millis(250);
/// Parts requested at once; most of them wait at their owner until it has the part.
const PARALLEL: usize = 16;
/// Parts requested at once that bring parts into the failure domain.
const UPSTREAM: usize = 12;
/// Longest time before a failed call to the origin is repeated: a version has seconds to arrive.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time allowed for the list of parts; the origin's link may be full of parts.
const MANIFEST_TIME: Duration = Duration::from_secs(2);
/// Largest list of parts that is read, in bytes.
const MAX_MANIFEST: usize = 2 << 20;
/// Longest time to wait until the targets were read again.
const TARGETS_TIME: Duration = Duration::from_millis(600);
/// Longest time to wait for the engine's first state.
const ENGINE_TIME: Duration = Duration::from_secs(3);
/// Longest time before an agent begins to draw.
const LONGEST_DELAY: Duration = Duration::from_secs(2);
/// Time allowed for a question to another agent.
const PEER_CALL: Duration = Duration::from_millis(300);
/// Equal lists that must come before one is believed: the origin may hand out a spoilt one.
const SIGHTINGS: usize = 2;

/// Why a list of parts could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Error {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("the origin's answer has the status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Malformed(#[from] platform::origin::Error),
    #[error("the agent's answer is malformed: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the request is invalid: {0}")]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Contradictory(#[from] burst::Error),
}

/// Returns the transfer of this agent, which draws from `origin`.
pub(super) fn transfer(
    state: &Rc<State>,
    holdings: Rc<Holdings>,
    origin: Rc<PartOrigin>,
) -> (Transfer, Worker) {
    let settings = Settings {
        local: state.me(),
        incarnation: 0,
        origin: Origin::Parts(origin),
        engine: None,
        max_requests: PARALLEL,
        max_upstream_requests: UPSTREAM,
        max_retry_delay: LONGEST_PAUSE,
    };
    let complete = Rc::clone(state);
    Transfer::new(settings, holdings, None, move |pin: &Pin| {
        if let Ok(version) = pin.version.parse() {
            complete
                .rollout
                .borrow_mut()
                .chunks_complete(Instant::now(), version);
            complete.changed.notify();
        }
    })
}

/// Keeps the transfer in step with the named versions and the live agents; never returns.
pub(super) async fn run(
    state: Rc<State>,
    holdings: Rc<Holdings>,
    transfer: Transfer,
    origin: Rc<PartOrigin>,
) {
    let http = Client::new().without_keep_alive();
    let mut begun = None;
    let mut seen = state.changed.count();
    wait_for_engine(&state).await;
    loop {
        if state.has_read() {
            transfer.set_members(state.members());
            if begun != Some(state.wanted()) {
                // Parts of another version would take the origin's link from the list of parts.
                transfer.set_wanted(None);
                begun = begin(&state, &holdings, &transfer, &origin, &http).await;
            }
        }
        state
            .rollout
            .borrow_mut()
            .set_missing_fraction(transfer.progress().missing_fraction());
        let changed = state.changed.changed(seen);
        if let Ok(count) = compio::time::timeout(TICK, changed).await {
            seen = count;
        }
    }
}

/// Begins the transfer of the wanted version, and returns its number; `None` when another one is wanted meanwhile.
async fn begin(
    state: &State,
    holdings: &Holdings,
    transfer: &Transfer,
    origin: &PartOrigin,
    http: &Client,
) -> Option<u64> {
    wait_for_targets(state).await;
    transfer.set_members(state.members());
    let (model, from) = (state.model()?, state.origin()?);
    origin.address.set(from.address);
    let version = state.wanted();
    let found = find_manifest(state, http, &model, version).await?;
    holdings.add_named_version(&model, &version.to_string(), &found);
    adopt_staged(state, holdings, &model, &found).await;
    origin
        .not_before
        .set(Instant::now() + draw_delay(state, from.bytes_per_s));
    transfer.set_wanted(Some(Order {
        pin: Pin::new(&model, &version.to_string(), found.digest()),
        plan: Plan::OriginBytes,
        origin_chunk_time: chunk_time(state, from.bytes_per_s),
    }));
    Some(version)
}

/// Waits until the targets were read since the newest version was named, but not for long: while the store is away, those
/// that were read before have to do.
async fn wait_for_targets(state: &State) {
    let end = Instant::now() + TARGETS_TIME;
    while !state.is_current() && Instant::now() < end {
        let seen = state.changed.count();
        let _ = compio::time::timeout_at(end, state.changed.changed(seen)).await;
    }
}

/// Waits until the engine tells its state, which may start later than the agent.
///
/// What is staged in it need not be fetched: agents that all start together would otherwise draw what they have.
async fn wait_for_engine(state: &State) {
    let end = Instant::now() + ENGINE_TIME;
    while state.report.borrow().is_none() && Instant::now() < end {
        let seen = state.changed.count();
        let _ = compio::time::timeout_at(end, state.changed.changed(seen)).await;
    }
}

/// Gets the list of parts from the other agents of the domain or from the origin.
///
/// `None` when another version is wanted meanwhile.
async fn find_manifest(state: &State, http: &Client, model: &str, version: u64) -> Option<Version> {
    let (peers, rank) = domain_order(state, model, version);
    let mut search = ManifestSearch::new(Instant::now(), rank, peers.len());
    let mut sightings: HashMap<Digest, usize> = HashMap::new();
    while state.wanted() == version {
        let round = search.next_round(Instant::now());
        for peer in round.peers.iter().filter_map(|place| peers.get(*place)) {
            match peer_manifest(http, *peer, model, version).await {
                Ok(found) => return Some(found),
                Err(Error::Status(StatusCode::NOT_FOUND)) => {}
                Err(error) => manifest_failed(model, version, *peer, &error),
            }
        }
        if round.origin {
            let origin = state.origin()?.address;
            match fetch_manifest(http, origin, model, version).await {
                Ok(found) => {
                    search.origin_answered();
                    let count = sightings.entry(found.digest()).or_default();
                    *count += 1;
                    match *count >= SIGHTINGS {
                        true => return Some(found),
                        false => continue,
                    }
                }
                Err(error) => {
                    manifest_failed(model, version, origin, &error);
                    search.origin_failed(Instant::now());
                }
            }
        }
        compio::time::sleep(round.pause).await;
    }
    None
}

fn manifest_failed(model: &str, version: u64, from: SocketAddr, error: &Error) {
    event!(
        event::MANIFEST_FAILED,
        pin = format_args!("{model}@{version}"),
        from = from,
        error = error
    );
}

/// Returns the other agents in the domain's order for the list of parts, and how many of them come before this one.
fn domain_order(state: &State, model: &str, version: u64) -> (Vec<SocketAddr>, usize) {
    let key = Digest::of(format!("{model}/{version}").as_bytes()).prefix();
    let members = state.members();
    let me = state.me();
    let owners = members.owner_order(&me.domain, key).into_iter();
    let mut order: Vec<SocketAddr> = owners.map(|peer| peer.address).collect();
    let rank = order.iter().position(|address| *address == me.address);
    if let Some(rank) = rank {
        order.remove(rank);
    }
    let rank = rank.unwrap_or(order.len());
    (order, rank)
}

async fn peer_manifest(
    http: &Client,
    peer: SocketAddr,
    model: &str,
    version: u64,
) -> Result<Version, Error> {
    let request = Request::get(format!("/manifests/{model}/{version}")).body(Body::empty())?;
    let answer = http.send(peer, request, Instant::now() + PEER_CALL).await?;
    let status = answer.status();
    let text = answer.into_body().collect(MAX_MANIFEST).await?;
    if status != StatusCode::OK {
        return Err(Error::Status(status));
    }
    let manifest: Manifest = serde_json::from_slice(&text)?;
    Ok(Version::check(manifest.digest(), manifest)?)
}

async fn fetch_manifest(
    http: &Client,
    origin: SocketAddr,
    model: &str,
    version: u64,
) -> Result<Version, Error> {
    let request = platform::origin::manifest(model, version);
    let answer = http
        .send(origin, request, Instant::now() + MANIFEST_TIME)
        .await?;
    let status = answer.status();
    let text = answer.into_body().collect(MAX_MANIFEST).await?;
    if status != StatusCode::OK {
        return Err(Error::Status(status));
    }
    let manifest: Manifest = platform::origin::decode_manifest(model, version, &text)?;
    Ok(Version::check(manifest.digest(), manifest)?)
}

/// Returns the time after which this agent begins to draw, by its place among the agents.
fn draw_delay(state: &State, bytes_per_s: u64) -> Duration {
    let round = chunk_time(state, bytes_per_s) * state.members().len() as u32;
    let share = state.rollout.borrow().position().fraction();
    round.mul_f64(share).min(LONGEST_DELAY)
}

/// Returns the time in which the origin's link carries one part.
fn chunk_time(state: &State, bytes_per_s: u64) -> Duration {
    let seconds = f64::from(state.piece_bytes()) / bytes_per_s.max(1) as f64;
    Duration::from_secs_f64(seconds)
}

/// Takes what is staged in the engine and belongs to `version` into the holdings.
///
/// An engine that is there from the start has the first version staged, and one whose agent restarted may have more.
async fn adopt_staged(state: &State, holdings: &Holdings, model: &str, version: &Version) {
    let staged = match state.engine.staged(model).await {
        Ok(staged) => staged,
        Err(error) => {
            event!(event::STAGED_UNREAD, error = error);
            return;
        }
    };
    for chunk in staged {
        if chunk >= version.chunk_count() || holdings.contains(&version.chunk_digest(chunk)) {
            continue;
        }
        match state.engine.read(model, chunk).await {
            Ok(bytes) => match version.verify_chunk(chunk, bytes) {
                Ok(content) => holdings.insert(content, true),
                // The first one that differs tells that another version is staged.
                Err(_) => return,
            },
            Err(error) => {
                event!(event::STAGED_UNREAD, error = error);
                return;
            }
        }
    }
}

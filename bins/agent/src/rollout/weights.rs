//! Fetches the chunks of the wanted version.

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

/// Maximum time between two checks of the wanted version, which can also change as time passes.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum concurrent chunk requests; most of them wait at the owner until it has the chunk.
const MAX_REQUESTS: usize = 16;
/// Maximum concurrent requests for chunks from outside the failure domain.
const MAX_UPSTREAM_REQUESTS: usize = 12;
/// Maximum delay before a failed call to the origin is retried; a version must arrive within seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Timeout of a manifest request to the origin, whose link may be full of chunks.
const ORIGIN_MANIFEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a manifest, in bytes.
const MAX_MANIFEST_BYTES: usize = 2 << 20;
/// Maximum time to wait for the targets to be read again.
const TARGETS_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time to wait for the engine's first report.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which most agents have learned of a version and read its manifest.
const MAX_START_TIME: Duration = Duration::from_millis(800);
/// Timeout of a manifest request to another agent.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for staged chunks; without a response they are fetched from elsewhere.
const STAGED_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of equal manifests that the origin must send before one is accepted; it may send a corrupt one.
const REQUIRED_COPIES: usize = 2;

/// Why a manifest could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Error {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("server responded with status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Malformed(#[from] platform::origin::Error),
    #[error("malformed manifest from an agent: {0}")]
    Json(#[from] serde_json::Error),
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Inconsistent(#[from] burst::Error),
    #[error("manifest lists {listed} chunks, but the engine loads {loaded}")]
    ChunkCount { listed: u32, loaded: u32 },
}

/// Creates the transfer of this agent, which draws from `origin`.
pub(super) fn transfer(
    state: &Rc<State>,
    holdings: Rc<Holdings>,
    origin: Rc<PartOrigin>,
) -> (Transfer, Worker) {
    let settings = Settings {
        local: state.local_peer(),
        incarnation: 0,
        origin: Origin::Parts(origin),
        engine: None,
        max_requests: MAX_REQUESTS,
        max_upstream_requests: MAX_UPSTREAM_REQUESTS,
        max_retry_delay: MAX_RETRY_DELAY,
    };
    let state = Rc::clone(state);
    Transfer::new(settings, holdings, None, move |pin: &Pin| {
        if let Ok(version) = pin.version.parse() {
            state
                .rollout
                .borrow_mut()
                .chunks_complete(Instant::now(), version);
            state.changed.notify();
        }
    })
}

/// Keeps the transfer up to date with the wanted version and the live agents; never returns.
pub(super) async fn run(
    state: Rc<State>,
    holdings: Rc<Holdings>,
    transfer: Transfer,
    origin: Rc<PartOrigin>,
) {
    let http = Client::new().without_keep_alive();
    let mut transferring = None;
    let mut seen = state.changed.count();
    wait_for_engine(&state).await;
    loop {
        if state.has_targets() {
            transfer.set_members(state.members());
            if transferring != Some(state.wanted_version()) {
                // Chunks of another version would delay the manifest on the origin's link.
                transfer.set_wanted(None);
                transferring = start_transfer(&state, &holdings, &transfer, &origin, &http).await;
            }
        }
        state
            .rollout
            .borrow_mut()
            .set_missing_fraction(transfer.progress().missing_fraction());
        let changed = state.changed.changed(seen);
        if let Ok(count) = compio::time::timeout(MAX_CHECK_INTERVAL, changed).await {
            seen = count;
        }
    }
}

/// Starts the transfer of the wanted version and returns its number.
///
/// Returns `None` if the model or the origin is unknown, or if another version becomes wanted meanwhile.
async fn start_transfer(
    state: &State,
    holdings: &Holdings,
    transfer: &Transfer,
    origin: &PartOrigin,
    http: &Client,
) -> Option<u64> {
    wait_for_targets(state).await;
    transfer.set_members(state.members());
    let (model, source) = (state.model()?, state.origin()?);
    origin.address.set(source.address);
    let version = state.wanted_version();
    let manifest = find_manifest(state, http, &model, version).await?;
    holdings.add_named_version(&model, &version.to_string(), &manifest);
    adopt_staged(state, holdings, &model, &manifest).await;
    transfer.set_wanted(Some(Order {
        pin: Pin::new(&model, &version.to_string(), manifest.digest()),
        plan: Plan::OriginBytes,
        origin_chunk_time: chunk_time(state, source.bytes_per_s),
        draws_since: state
            .rollout
            .borrow()
            .named_at(version)
            .map(|named_at| named_at + MAX_START_TIME),
    }));
    Some(version)
}

/// Waits until the targets were read since the newest version was named, or until [`TARGETS_TIMEOUT`]; while the store
/// is unavailable, the targets of the last read are used.
async fn wait_for_targets(state: &State) {
    let end = Instant::now() + TARGETS_TIMEOUT;
    while !state.has_current_targets() && Instant::now() < end {
        let seen = state.changed.count();
        let _ = compio::time::timeout_at(end, state.changed.changed(seen)).await;
    }
}

/// Waits for the first report of the engine, which may start later than the agent, or until [`ENGINE_TIMEOUT`].
///
/// Chunks staged in the engine need not be fetched; without this wait, agents that start together would draw chunks
/// that their engines have.
async fn wait_for_engine(state: &State) {
    let end = Instant::now() + ENGINE_TIMEOUT;
    while state.report.borrow().is_none() && Instant::now() < end {
        let seen = state.changed.count();
        let _ = compio::time::timeout_at(end, state.changed.changed(seen)).await;
    }
}

/// Fetches the manifest from the other agents of the failure domain or from the origin.
///
/// Returns `None` if another version becomes wanted meanwhile or the origin is no longer known.
async fn find_manifest(state: &State, http: &Client, model: &str, version: u64) -> Option<Version> {
    let (peers, rank) = peers_and_rank(state, model, version);
    let mut search = ManifestSearch::new(Instant::now(), rank, peers.len());
    let mut copies: HashMap<Digest, usize> = HashMap::new();
    while state.wanted_version() == version {
        let round = search.next_round(Instant::now());
        for peer in round.peers.iter().filter_map(|index| peers.get(*index)) {
            let fetched = fetch_from_peer(http, *peer, model, version).await;
            match fetched.and_then(|manifest| check_count(state, manifest)) {
                Ok(manifest) => return Some(manifest),
                Err(Error::Status(StatusCode::NOT_FOUND)) => {}
                Err(error) => log_manifest_failed(model, version, *peer, &error),
            }
        }
        if round.origin {
            let origin = state.origin()?.address;
            let fetched = fetch_from_origin(http, origin, model, version).await;
            match fetched.and_then(|manifest| check_count(state, manifest)) {
                Ok(manifest) => {
                    search.origin_answered();
                    let count = copies.entry(manifest.digest()).or_default();
                    *count += 1;
                    match *count >= REQUIRED_COPIES {
                        true => return Some(manifest),
                        false => continue,
                    }
                }
                Err(error) => {
                    log_manifest_failed(model, version, origin, &error);
                    search.origin_failed(Instant::now());
                }
            }
        }
        compio::time::sleep(round.pause).await;
    }
    None
}

/// Checks that `manifest` lists all chunks that the engine loads.
///
/// In place of a chunk that it doesn't list, the engine would load one of another version.
fn check_count(state: &State, manifest: Version) -> Result<Version, Error> {
    let listed = manifest.chunk_count();
    match state.chunk_count() {
        Some(loaded) if loaded != listed => Err(Error::ChunkCount { listed, loaded }),
        _ => Ok(manifest),
    }
}

fn log_manifest_failed(model: &str, version: u64, from: SocketAddr, error: &Error) {
    event!(
        event::MANIFEST_FAILED,
        pin = format_args!("{model}@{version}"),
        from = from,
        error = error
    );
}

/// Returns the other agents of the failure domain in the order in which they fetch the manifest, and the number of
/// agents ahead of this one.
fn peers_and_rank(state: &State, model: &str, version: u64) -> (Vec<SocketAddr>, usize) {
    let key = Digest::of(format!("{model}/{version}").as_bytes()).prefix();
    let members = state.members();
    let local = state.local_peer();
    let owners = members.owner_order(&local.domain, key).into_iter();
    let mut order: Vec<SocketAddr> = owners.map(|peer| peer.address).collect();
    let rank = order.iter().position(|address| *address == local.address);
    if let Some(rank) = rank {
        order.remove(rank);
    }
    let rank = rank.unwrap_or(order.len());
    (order, rank)
}

async fn fetch_from_peer(
    http: &Client,
    peer: SocketAddr,
    model: &str,
    version: u64,
) -> Result<Version, Error> {
    let request = Request::get(format!("/manifests/{model}/{version}")).body(Body::empty())?;
    let response = http
        .send(peer, request, Instant::now() + PEER_TIMEOUT)
        .await?;
    let status = response.status();
    let body = response.into_body().collect(MAX_MANIFEST_BYTES).await?;
    if status != StatusCode::OK {
        return Err(Error::Status(status));
    }
    let manifest: Manifest = serde_json::from_slice(&body)?;
    Ok(Version::check(manifest.digest(), manifest)?)
}

async fn fetch_from_origin(
    http: &Client,
    origin: SocketAddr,
    model: &str,
    version: u64,
) -> Result<Version, Error> {
    let request = platform::origin::manifest(model, version);
    let response = http
        .send(origin, request, Instant::now() + ORIGIN_MANIFEST_TIMEOUT)
        .await?;
    let status = response.status();
    let body = response.into_body().collect(MAX_MANIFEST_BYTES).await?;
    if status != StatusCode::OK {
        return Err(Error::Status(status));
    }
    let manifest: Manifest = platform::origin::decode_manifest(model, version, &body)?;
    Ok(Version::check(manifest.digest(), manifest)?)
}

/// Returns the time that the origin's link needs for one chunk.
fn chunk_time(state: &State, bytes_per_s: u64) -> Duration {
    let seconds = f64::from(state.chunk_bytes()) / bytes_per_s.max(1) as f64;
    Duration::from_secs_f64(seconds)
}

/// Adds the chunks of `version` that are staged in the engine to the holdings.
///
/// An engine that existed from the start has the first version staged; after a restart of the agent it may have others.
async fn adopt_staged(state: &State, holdings: &Holdings, model: &str, version: &Version) {
    let connection = state.engine.connect(STAGED_TIMEOUT);
    let staged = match connection.staged_chunks(model).await {
        Ok(staged) => staged,
        Err(error) => {
            event!(event::STAGED_UNREAD, error = error);
            return;
        }
    };
    for index in staged {
        if index >= version.chunk_count() || holdings.contains(&version.chunk_digest(index)) {
            continue;
        }
        let length = version.manifest().chunk_len(index).unwrap_or(0);
        match connection.read_staged(model, index, length).await {
            Ok(bytes) => match version.verify_chunk(index, bytes) {
                Ok(content) => holdings.insert(content, true),
                // A chunk that differs means that another version is staged.
                Err(_) => return,
            },
            Err(error) => {
                event!(event::STAGED_UNREAD, error = error);
                return;
            }
        }
    }
}

//! Gets the parts of the wanted version.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::Version;
use catalog::Plan;
use node::event;
use node::http::{self, Client, StatusCode};
use weights::{Digest, Manifest, Pin};

use super::state::State;
use crate::transfer::{Holdings, Order, Origin, Settings, Transfer, Worker};

/// Parts requested at once.
const PARALLEL: usize = 8;
/// Time allowed for the list of parts; the origin's link may be full of parts.
const MANIFEST_TIME: Duration = Duration::from_secs(2);
/// Largest list of parts that is read, in bytes.
const MAX_MANIFEST: usize = 2 << 20;
/// Pause after a list of parts could not be read.
const PAUSE: Duration = Duration::from_millis(100);
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
    #[error(transparent)]
    Contradictory(#[from] burst::Error),
}

/// Returns the transfer of this agent; `origin` is kept at the address of the origin.
pub(super) fn transfer(
    state: &Rc<State>,
    holdings: Rc<Holdings>,
    origin: Rc<Cell<SocketAddr>>,
) -> (Transfer, Worker) {
    let settings = Settings {
        me: state.me(),
        incarnation: 0,
        origin: Origin::Parts(origin),
        engine: None,
        parallel: PARALLEL,
    };
    let complete = Rc::clone(state);
    Transfer::new(settings, holdings, None, move |pin: &Pin| {
        if let Ok(version) = pin.version.parse() {
            complete.rollout.borrow_mut().complete(version);
            complete.changed.notify();
        }
    })
}

/// Keeps the transfer in step with the named versions and the live agents; never returns.
pub(super) async fn run(
    state: Rc<State>,
    holdings: Rc<Holdings>,
    transfer: Transfer,
    origin: Rc<Cell<SocketAddr>>,
) {
    let http = Client::new();
    let mut wanted = None;
    let mut seen = state.changed.count();
    loop {
        transfer.set_members(state.members());
        if let (Some(model), Some(from)) = (state.model(), state.origin.get()) {
            origin.set(from.address);
            let version = state.wanted();
            if wanted != Some(version)
                && let Some(found) = manifest(&state, &http, &model, version).await
            {
                wanted = Some(version);
                let pin = Pin::new(&model, &version.to_string(), found.digest());
                holdings.add_version(&found);
                state.digests.borrow_mut().insert(version, found.digest());
                adopt_staged(&state, &holdings, &model, &found).await;
                transfer.want(Some(Order {
                    pin,
                    plan: Plan::OriginBytes,
                }));
            }
        }
        seen = state.changed.changed(seen).await;
    }
}

/// Fetches the list of parts until two equal ones came; `None` when another version is wanted meanwhile.
async fn manifest(state: &State, http: &Client, model: &str, version: u64) -> Option<Version> {
    let mut sightings: HashMap<Digest, usize> = HashMap::new();
    loop {
        if state.wanted() != version {
            return None;
        }
        let origin = state.origin.get()?;
        match fetch_manifest(http, origin.address, model, version).await {
            Ok(found) => {
                let count = sightings.entry(found.digest()).or_default();
                *count += 1;
                if *count >= SIGHTINGS {
                    return Some(found);
                }
            }
            Err(error) => {
                event!(
                    event::MANIFEST_FAILED,
                    pin = format_args!("{model}@{version}"),
                    from = origin.address,
                    error = error
                );
                compio::time::sleep(PAUSE).await;
            }
        }
    }
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
    let text = answer.into_body().bytes(MAX_MANIFEST).await?;
    if status != StatusCode::OK {
        return Err(Error::Status(status));
    }
    let manifest: Manifest = platform::origin::decode_manifest(model, version, &text)?;
    Ok(Version::check(manifest.digest(), manifest)?)
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
        if chunk >= version.chunks() || holdings.contains(&version.chunk(chunk)) {
            continue;
        }
        match state.engine.read(model, chunk).await {
            Ok(bytes) => match version.verify(chunk, bytes) {
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

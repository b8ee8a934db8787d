//! Waits for this target's turn to switch: polls the predecessor in the switch order until it serves the new weights.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gate::{Event, turn};
use gossip::Phase;
use node::http::{Body, Client, Request, StatusCode};
use serde::{Deserialize, Serialize};
use weights::Digest;

use crate::Shared;

/// Path on the call port that returns the weights that the gate serves.
pub const WEIGHTS_PATH: &str = "/weights";

/// Interval between two polls of the predecessor, and timeout of each.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Response on [`WEIGHTS_PATH`].
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct Weights {
    /// Digest of the weights that the gate serves; `None` while it is closed or draining.
    pub open: Option<Digest>,
}

/// Informs the gate when it is this target's turn; never returns.
pub async fn run(shared: Rc<Shared>, http: Client) {
    loop {
        let seen = shared.changed.count();
        if let Some(wanted) = shared.awaits_turn() {
            let ready = match predecessor(&shared, wanted) {
                None => true,
                Some(address) => open_weights(&http, address).await == Some(wanted),
            };
            // The wanted weights may have changed during the request.
            if ready && shared.awaits_turn() == Some(wanted) {
                shared.handle(Event::Turn(true));
            }
        }
        // A change of members or weights is noticed at once; the predecessor's weights have to be polled.
        let _ = compio::time::timeout(POLL_INTERVAL, shared.changed.changed(seen)).await;
    }
}

/// Returns the address of the target that must switch before this one, from the records of the agent's view.
fn predecessor(shared: &Shared, wanted: Digest) -> Option<SocketAddr> {
    let settings = &shared.settings;
    let view = shared.view.borrow();
    let live: Vec<_> = view
        .targets()
        .filter(|(_, target)| {
            target.domain == settings.domain
                && target.service == settings.service
                && target.phase == Phase::Live
        })
        .map(|(name, target)| (name, target.call))
        .collect();
    let names: Vec<_> = live.iter().map(|(name, _)| *name).collect();
    let predecessor = turn::predecessor(&settings.name, wanted, &names)?;
    live.iter()
        .find(|(name, _)| *name == predecessor)
        .map(|(_, address)| *address)
}

/// Requests the digest of the weights that the agent at `address` serves.
async fn open_weights(http: &Client, address: SocketAddr) -> Option<Digest> {
    let request = Request::get(WEIGHTS_PATH).body(Body::empty()).ok()?;
    let response = http
        .send(address, request, Instant::now() + POLL_INTERVAL)
        .await
        .ok()?;
    let ok = response.status() == StatusCode::OK;
    let body = response.into_body().collect(4096).await.ok()?;
    let weights: Weights = serde_json::from_slice(&body).ok().filter(|_| ok)?;
    weights.open
}

//! Asks the predecessor in the switch order whether it serves the new weights.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gate::{Event, turn};
use gossip::Phase;
use node::http::{Body, Client, Request, StatusCode};
use serde::{Deserialize, Serialize};
use weights::Digest;

use crate::Shared;

/// Path on the call port under which an agent tells which weights its gate serves.
pub const PATH: &str = "/weights";

/// Time between two questions, and time allowed for one.
const INTERVAL: Duration = Duration::from_secs(1);

/// Answer on [`PATH`].
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct Weights {
    /// Digest of the weights in service; `None` while the gate is closed or drains.
    pub open: Option<Digest>,
}

/// Watches for this target's turn; never returns.
pub async fn run(shared: Rc<Shared>, http: Client) {
    loop {
        let seen = shared.changed.count();
        if let Some(wanted) = shared.awaits_turn() {
            let ready = match predecessor(&shared, wanted) {
                None => true,
                Some(address) => asked(&http, address).await == Some(wanted),
            };
            // The wanted weights may have changed during the question.
            if ready && shared.awaits_turn() == Some(wanted) {
                shared.handle(Event::Turn(true));
            }
        }
        // A change of members or weights may decide at once; the predecessor's answer has to be polled.
        let _ = compio::time::timeout(INTERVAL, shared.changed.changed(seen)).await;
    }
}

/// Returns the address of the target that must switch first, from the records of the agent's view.
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
    let ahead = turn::predecessor(&settings.name, wanted, &names)?;
    live.iter()
        .find(|(name, _)| *name == ahead)
        .map(|(_, address)| *address)
}

async fn asked(http: &Client, address: SocketAddr) -> Option<Digest> {
    let request = Request::get(PATH).body(Body::empty()).ok()?;
    let answer = http
        .send(address, request, Instant::now() + INTERVAL)
        .await
        .ok()?;
    let ok = answer.status() == StatusCode::OK;
    let body = answer.into_body().collect(4096).await.ok()?;
    let weights: Weights = serde_json::from_slice(&body).ok().filter(|_| ok)?;
    weights.open
}

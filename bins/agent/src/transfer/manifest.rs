//! Fetches the manifest of a version.

use std::net::SocketAddr;
use std::time::Duration;

use burst::{Members, Stripes, Version};
use catalog::Plan;
use node::event;
use node::http::StatusCode;

use super::fetch::{Error, Fetcher};

/// Number of rounds over the peers before the store is asked. A manifest has up to 1 MB, so at full scale the store
/// must not send it to every agent.
const PEER_ROUNDS: u32 = 10;

/// Delay after the first round. It doubles with each round, up to [`MAX_RETRY_DELAY`]. A longer first delay would
/// postpone the start of all agents that wait for another agent to receive the manifest.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between rounds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of peers per domain that are asked; only those before the local agent in the owner order are.
const MAX_PEERS: usize = 3;

/// Fetches the manifest from the first agents of the own domain, the first agents of the first domain in rendezvous
/// order or the store, in this order of preference. Retries until it succeeds.
pub(super) async fn fetch(fetcher: &Fetcher, members: &Members, plan: Plan) -> Version {
    let peers = peers_to_ask(fetcher, members, plan);
    let mut round = 0;
    loop {
        for peer in &peers {
            match fetcher.manifest_from_peer(*peer).await {
                Ok(version) => return version,
                Err(Error::Status(StatusCode::NOT_FOUND)) => {}
                Err(error) => {
                    node::event!(
                        event::MANIFEST_FAILED,
                        pin = fetcher.pin,
                        from = peer,
                        error = error
                    );
                }
            }
        }
        if peers.is_empty() || round >= PEER_ROUNDS {
            match fetcher.manifest_from_store().await {
                Ok(version) => return version,
                Err(error) => {
                    node::event!(
                        event::MANIFEST_FAILED,
                        pin = fetcher.pin,
                        from = "store",
                        error = error
                    );
                }
            }
        }
        let delay = FIRST_RETRY_DELAY * 2u32.pow(round.min(PEER_ROUNDS));
        compio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
        round += 1;
    }
}

fn peers_to_ask(fetcher: &Fetcher, members: &Members, plan: Plan) -> Vec<SocketAddr> {
    if plan == Plan::Direct {
        return Vec::new();
    }
    let local = &fetcher.settings.local;
    // No stripe has this index, so the requests for manifests don't all go to the owner of a particular stripe.
    let key = Stripes::new(fetcher.pin.digest, 0).key(u32::MAX);
    let preceding = |domain: &str| {
        let owners = members
            .owner_order(domain, key)
            .into_iter()
            .map(|peer| peer.address);
        owners
            .take_while(|peer| *peer != local.address)
            .take(MAX_PEERS)
            .collect::<Vec<_>>()
    };
    let mut peers = preceding(&local.domain);
    if let Some(home) = members.domain_order(key).first()
        && *home != local.domain
    {
        peers.extend(preceding(home));
    }
    peers
}

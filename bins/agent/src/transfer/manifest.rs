//! Where an agent gets the manifest of a version.

use std::net::SocketAddr;
use std::time::Duration;

use burst::{Members, Stripes, Version};
use catalog::Plan;
use node::event;
use node::http::StatusCode;

use super::fetch::{Error, Fetcher};

/// Rounds over the peers before the store is asked. A manifest has up to 1 MB, so at target size it must not come from
/// the store for each agent.
const ROUNDS: u32 = 10;

/// Pause after the first round; it doubles with each round, up to [`LONGEST`]. A longer pause delays the start of all
/// agents behind the first ones.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between rounds.
const LONGEST: Duration = Duration::from_secs(1);

/// Agents before this one in the order that are asked.
const PEERS: usize = 3;

/// Gets the manifest from the agents that come first in the domain, then in the home domain, then from the store.
pub(super) async fn find(fetcher: &Fetcher, members: &Members, plan: Plan) -> Version {
    let peers = peers(fetcher, members, plan);
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
        if peers.is_empty() || round >= ROUNDS {
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
        compio::time::sleep((PAUSE * 2u32.pow(round.min(ROUNDS))).min(LONGEST)).await;
        round += 1;
    }
}

fn peers(fetcher: &Fetcher, members: &Members, plan: Plan) -> Vec<SocketAddr> {
    if plan == Plan::Direct {
        return Vec::new();
    }
    let me = &fetcher.settings.local;
    // No stripe has this number, so the manifest's order doesn't burden the owner of a stripe in particular.
    let key = Stripes::new(fetcher.pin.digest, 0).key(u32::MAX);
    let before = |domain: &str| {
        let owners = members
            .owner_order(domain, key)
            .into_iter()
            .map(|peer| peer.address);
        owners
            .take_while(|peer| *peer != me.address)
            .take(PEERS)
            .collect::<Vec<_>>()
    };
    let mut peers = before(&me.domain);
    if let Some(home) = members.domain_order(key).first()
        && *home != me.domain
    {
        peers.extend(before(home));
    }
    peers
}

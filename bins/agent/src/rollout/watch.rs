//! What operators name and which targets live, from the platform's store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::event;
use platform::{Client, Error, Listing, config, target, versions};

use super::state::State;

/// Time allowed for a call of the store, beside the wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of one watch call; every call has a price.
const WAIT: Duration = Duration::from_secs(25);
/// Bounds of the pause after a failed call; it doubles with each failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// Follows all kinds that the agent needs; never returns.
pub(super) async fn run(state: Rc<State>) {
    let client = Client::new(state.settings.platform, TIMEOUT);
    let configs = follow(&client, config::KIND, |listing, _| {
        take_config(&state, listing)
    });
    let named = follow(&client, versions::KIND, |listing, _| {
        take_versions(&state, listing);
    });
    let targets = follow(&client, target::KIND, |listing, whole| {
        take_targets(&state, listing, whole);
    });
    futures::join!(configs, named, targets);
}

/// Lists a kind and then watches it; `take` gets each list, and whether it holds all objects.
async fn follow(client: &Client, kind: &'static str, take: impl Fn(&Listing, bool)) {
    let mut after = None;
    let mut pause = PAUSE.0;
    loop {
        let listing = match after {
            Some(revision) => client.watch(kind, revision, WAIT).await,
            None => client.list(kind).await,
        };
        match listing {
            Ok(listing) => {
                if pause > PAUSE.0 {
                    event!(event::STORE_BACK, kind = kind);
                }
                pause = PAUSE.0;
                take(&listing, after.is_none());
                after = Some(listing.revision);
            }
            Err(Error::HistoryGone { .. }) => after = None,
            Err(error) => {
                if pause == PAUSE.0 {
                    event!(event::STORE_LOST, kind = kind, error = error);
                }
                compio::time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

fn take_config(state: &State, listing: &Listing) {
    let named = |object: &&platform::Object| object.name == config::NAME;
    let Some(object) = listing.objects.iter().find(named) else {
        return;
    };
    match config::decode(object) {
        Ok(config) => {
            let service = config.services.get(&state.settings.service);
            let facts = service.and_then(|service| service.engine.clone());
            state.origin.set(config.origin());
            state.facts.replace(facts);
            state.changed.notify();
        }
        Err(error) => event!(event::OBJECT_MALFORMED, error = error),
    }
}

fn take_versions(state: &State, listing: &Listing) {
    for object in &listing.objects {
        match versions::decode(object) {
            Ok(named) if state.model().is_none_or(|model| model == named.model) => {
                let news = state
                    .rollout
                    .borrow_mut()
                    .name(Instant::now(), named.version);
                if news {
                    event!(
                        event::VERSION_NAMED,
                        model = named.model,
                        version = named.version
                    );
                    state.update_place();
                    state.changed.notify();
                }
            }
            Ok(_) => {}
            Err(error) => event!(event::OBJECT_MALFORMED, error = error),
        }
    }
}

fn take_targets(state: &State, listing: &Listing, whole: bool) {
    let decoded = listing.objects.iter().filter_map(|object| {
        target::decode(object)
            .inspect_err(|error| event!(event::OBJECT_MALFORMED, error = error))
            .ok()
    });
    if whole {
        let targets: BTreeMap<_, _> = decoded.map(|target| (target.id.clone(), target)).collect();
        return state.set_targets(targets);
    }
    for target in decoded {
        let id = target.id.clone();
        state.set_target(&id, Some(target));
    }
    for id in &listing.deleted {
        state.set_target(id, None);
    }
}

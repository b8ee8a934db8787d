//! What operators name and which targets live, from the platform's store.
//!
//! Every call of the store has a price, and a watch returns with every change. The registered targets are read at the
//! start and again whenever a version is named. Entries tell which versions are named and what the agent needs of the
//! configuration, which may be large; both are read from the store only while no entry does.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join;
use node::{Backoff, event};
use platform::{Client, Error, Follower, Listing, config, target, versions};

use super::state::State;

/// Time allowed for a call of the store, beside the wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed for a call of an entry.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait of one watch call.
const WAIT: Duration = Duration::from_secs(29);
/// Time between two checks whether entries still send what is in the store.
const ENTRY_INFO_CHECK: Duration = Duration::from_millis(500);
/// Time between two readings of the targets while parts are missing. Agents that saw different targets may take each other
/// for the owner of a part.
const MEMBERS_TIME: Duration = Duration::from_secs(2);
/// Time between two readings before the own engine is registered.
const UNREGISTERED: Duration = Duration::from_millis(500);
/// Time after the start in which an entry should have sent what the agent needs of the store.
const ENTRY_INFO_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bounds of the pause after a failed call; it doubles with each failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// Follows all kinds that the agent needs; never returns.
pub(super) async fn run(state: Rc<State>) {
    let client = Client::new(state.settings.platform, TIMEOUT);
    let backoff = Backoff::new(PAUSE.0, PAUSE.1);
    let named = Follower::new(&client, versions::KIND, backoff);
    join(
        follow_versions(&state, named),
        refresh(&state, &client, backoff),
    )
    .await;
}

/// Follows the versions while no entry tells them.
async fn follow_versions(state: &State, mut follower: Follower) {
    compio::time::sleep(ENTRY_INFO_TIMEOUT).await;
    let mut first = true;
    loop {
        if state.has_entry_info(Instant::now()) {
            // What is read next may have been named at any time since.
            first = true;
            compio::time::sleep(ENTRY_INFO_CHECK).await;
            continue;
        }
        match follower.next(WAIT).await {
            Ok(update) => take_versions(state, &update.listing, std::mem::take(&mut first)),
            Err(failed) => compio::time::sleep(failed.pause).await,
        }
    }
}

/// Reads the targets, and the configuration where no entry tells it, at the start, after a version was named, and while
/// parts of it are missing.
async fn refresh(state: &State, client: &Client, mut backoff: Backoff) {
    let started = Instant::now();
    let mut read_at = started;
    let mut first = true;
    loop {
        let newest = state.rollout.borrow().newest();
        let old = read_at.elapsed() >= MEMBERS_TIME && state.has_missing_chunks();
        if !first && !old && state.is_current() && state.is_registered() {
            let changed = state.changed.changed(state.changed.count());
            let _ = compio::time::timeout(MEMBERS_TIME, changed).await;
            continue;
        }
        match read(state, client, started).await {
            Ok((configs, targets)) => {
                if backoff.is_failing() {
                    event!(event::STORE_BACK, kind = target::KIND);
                }
                backoff.record_success();
                read_at = Instant::now();
                if let Some(configs) = configs {
                    take_config(state, &configs);
                }
                take_targets(state, newest, &targets);
                first = state.model().is_none();
                if first || !state.is_registered() {
                    compio::time::sleep(UNREGISTERED).await;
                }
            }
            Err(error) => {
                if !backoff.is_failing() {
                    event!(event::STORE_LOST, kind = target::KIND, error = error);
                }
                compio::time::sleep(backoff.record_failure()).await;
            }
        }
    }
}

/// Returns the objects of the targets, from an entry of the failure domain where one passes them on: all agents read them
/// when a version is named, and the links between regions carry the version then.
async fn read_targets(state: &State, store: &Client) -> Result<Listing, Error> {
    if let Some(relay) = state.relay(Instant::now()) {
        let relay = Client::new(relay, RELAY_TIMEOUT);
        if let Ok(listing) = relay.list(target::KIND).await {
            return Ok(listing);
        }
    }
    store.list_stale(target::KIND).await
}

/// Returns the objects of the configuration, unless an entry tells it or should do so soon, and those of the targets.
///
/// The list of targets may be seconds old, which costs less.
async fn read(
    state: &State,
    client: &Client,
    started: Instant,
) -> Result<(Option<Listing>, Listing), Error> {
    let now = Instant::now();
    let early = now.saturating_duration_since(started) < ENTRY_INFO_TIMEOUT;
    let configs = match early || state.has_entry_info(now) {
        true => None,
        false => Some(client.list(config::KIND).await?),
    };
    Ok((configs, read_targets(state, client).await?))
}

fn take_config(state: &State, listing: &Listing) {
    let named = |object: &&platform::Object| object.name == config::NAME;
    let Some(object) = listing.objects.iter().find(named) else {
        return;
    };
    match config::decode(object) {
        Ok(config) => {
            if let Some(source) = config.weight_source(&state.settings.service) {
                state.set_source(Instant::now(), source, false);
            }
        }
        Err(error) => event!(event::OBJECT_MALFORMED, error = error),
    }
}

/// Takes the named versions; those of the first list were named at an unknown time.
fn take_versions(state: &State, listing: &Listing, first: bool) {
    for object in &listing.objects {
        match versions::decode(object) {
            Ok(named) if state.model().is_none_or(|model| model == named.model) => {
                let age = (!first).then_some(Duration::ZERO);
                state.name(Instant::now(), &named.model, named.version, age);
            }
            Ok(_) => {}
            Err(error) => event!(event::OBJECT_MALFORMED, error = error),
        }
    }
}

fn take_targets(state: &State, newest: Option<u64>, listing: &Listing) {
    let decoded = listing.objects.iter().filter_map(|object| {
        target::decode(object)
            .inspect_err(|error| event!(event::OBJECT_MALFORMED, error = error))
            .ok()
    });
    let targets: BTreeMap<_, _> = decoded.map(|target| (target.id.clone(), target)).collect();
    state.set_targets(newest, targets);
}

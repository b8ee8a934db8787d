//! Reads the required versions and the registered targets from the platform's store.
//!
//! Every call to the store has a cost, and a watch returns at every change. So the registered targets are not watched
//! but read at the start, whenever a version is named, and repeatedly while chunks are missing. Entries send the
//! required versions and the part of the configuration that the agent needs, because the whole configuration may be
//! large; both are read from the store only while no entry sends them.

use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, join, select};
use node::time::uptime;
use node::{Backoff, Stalls, event};
use platform::{Client, Error, Follower, Listing, ReadError, Update, config, target, versions};

use super::state::State;

/// Timeout of a call to the store, in addition to the wait of a watch.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call to an entry that relays the store.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(29);
/// Interval of the checks whether entries still send the contents of the store.
const ENTRY_INFO_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reads of the targets while chunks are missing.
///
/// Agents that read different sets of targets may each consider the other one the owner of a chunk.
const TARGETS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two reads until the model is known and this agent's engine is registered.
const UNREGISTERED_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start within which an entry should have sent what the agent needs from the store.
const ENTRY_INFO_TIMEOUT: Duration = Duration::from_millis(2500);
/// Minimum and maximum delay after a failed call; the delay doubles with each failure.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// Follows the versions, the targets and the configuration; never returns.
pub(super) async fn run(state: Rc<State>) {
    let client = Client::new(state.settings.platform, STORE_TIMEOUT);
    let backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
    let versions = Follower::new(&client, versions::KIND, backoff);
    join(
        follow_versions(&state, versions),
        refresh_targets(&state, &client, backoff),
    )
    .await;
}

/// Follows the versions in the store while no entry sends them.
async fn follow_versions(state: &State, mut follower: Follower) {
    compio::time::sleep(ENTRY_INFO_TIMEOUT).await;
    let mut first = true;
    loop {
        if state.has_entry_info(Instant::now()) {
            // The versions in the next listing may have been named at any time since the previous one.
            first = true;
            compio::time::sleep(ENTRY_INFO_CHECK_INTERVAL).await;
            continue;
        }
        let mut stalls = Stalls::new(uptime());
        match read_next(&mut follower, &mut stalls).await {
            Ok(update) => {
                let unread = stalls.unread_time(uptime());
                let age = (!std::mem::take(&mut first)).then_some(unread);
                add_versions(state, &update.listing, age);
            }
            Err(failed) => compio::time::sleep(failed.pause).await,
        }
    }
}

/// Reads the next update and records the stalls of this process meanwhile.
async fn read_next(follower: &mut Follower, stalls: &mut Stalls) -> Result<Update, ReadError> {
    let mut read = pin!(follower.next(WATCH_WAIT));
    loop {
        let beat = pin!(compio::time::sleep(Stalls::INTERVAL));
        match select(read.as_mut(), beat).await {
            Either::Left((read, _)) => return read,
            Either::Right(_) => {
                if let Some(stall) = stalls.beat(uptime()) {
                    event!(event::STALLED, ms = stall.as_millis());
                }
            }
        }
    }
}

/// Reads the targets at the start until the model is known and this agent's engine is registered, after a version was
/// named, and while chunks are missing. Reads the configuration with them if no entry sends it.
async fn refresh_targets(state: &State, client: &Client, mut backoff: Backoff) {
    let started = Instant::now();
    let mut read_at = started;
    let mut needs_read = true;
    loop {
        let newest = state.rollout.borrow().newest();
        let stale = read_at.elapsed() >= TARGETS_REFRESH_INTERVAL && state.has_missing_chunks();
        if !needs_read && !stale && state.has_current_targets() && state.is_registered() {
            let changed = state.changed.changed(state.changed.count());
            let _ = compio::time::timeout(TARGETS_REFRESH_INTERVAL, changed).await;
            continue;
        }
        match read_objects(state, client, started).await {
            Ok((configs, targets)) => {
                if backoff.is_failing() {
                    event!(event::STORE_BACK, kind = target::KIND);
                }
                backoff.record_success();
                read_at = Instant::now();
                if let Some(configs) = configs {
                    apply_config(state, &configs);
                }
                apply_targets(state, newest, &targets);
                needs_read = state.model().is_none();
                if needs_read || !state.is_registered() {
                    compio::time::sleep(UNREGISTERED_REFRESH_INTERVAL).await;
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

/// Returns the target objects, from an entry of the failure domain if one relays the store.
///
/// All agents read them when a version is named; a relay keeps these reads off the links between regions, which then
/// carry the chunks of that version.
async fn read_targets(state: &State, store: &Client) -> Result<Listing, Error> {
    if let Some(relay) = state.relay(Instant::now()) {
        // Shares the newest era, so that a relay that is behind the restored store is refused.
        let relay = store.with_server(relay, RELAY_TIMEOUT);
        if let Ok(listing) = relay.list(target::KIND).await {
            return Ok(listing);
        }
    }
    store.list_stale(target::KIND).await
}

/// Returns the configuration objects, unless an entry sends the configuration or should do so soon, and the target
/// objects.
///
/// The list of targets may be seconds old, because a stale read costs less.
async fn read_objects(
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

fn apply_config(state: &State, listing: &Listing) {
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

/// Records the required versions of `listing`, which were named at most `age` ago, or at an unknown time if `None`.
fn add_versions(state: &State, listing: &Listing, age: Option<Duration>) {
    for object in &listing.objects {
        match versions::decode(object) {
            Ok(named) if state.model().is_none_or(|model| model == named.model) => {
                state.add_named_version(Instant::now(), &named.model, named.version, age);
            }
            Ok(_) => {}
            Err(error) => event!(event::OBJECT_MALFORMED, error = error),
        }
    }
}

fn apply_targets(state: &State, newest: Option<u64>, listing: &Listing) {
    let decoded = listing.objects.iter().filter_map(|object| {
        target::decode(object)
            .inspect_err(|error| event!(event::OBJECT_MALFORMED, error = error))
            .ok()
    });
    let targets: BTreeMap<_, _> = decoded.map(|target| (target.id.clone(), target)).collect();
    state.set_targets(newest, targets);
}

//! Follows the objects that operators and targets write to the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::Target;
use futures::future::{Either, select};
use node::time::uptime;
use node::{Stalls, event};
use platform::{Listing, Object, ReadError, Update, config, target, versions};

use super::evacuations;
use super::gateway::Gateway;
use super::neighbours;
use super::reader::Reader;
use super::relays::Source;
use super::targets::{Insertion, Registrations, Removal};
use super::watches::Watches;

/// Wait of a watch of the configuration, as a fraction of the time after a store outage within which the deployment's
/// bounds must hold again. A call that the store never answers must end within that time.
const CONFIG_WAIT_FACTOR: f64 = 0.6;
/// Wait of a watch of the configuration while this entry serves other entries, which must detect soon that it no longer
/// reaches the store.
const SHARED_CONFIG_WAIT: Duration = Duration::from_millis(600);
/// Wait of a watch of the other kinds. It is long because every call has a cost.
const WATCH_WAIT: Duration = Duration::from_secs(29);
/// Pause between watches of targets at the store while targets are added or removed, or while this entry serves other
/// entries, and between reads of the configuration at the store while no relay serves it, so that changes arrive in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between watches of targets at the store while no target is added or removed and this entry serves no other
/// entries, as a fraction of the time within which requests must stop going to a target that leaves.
const LONG_BATCH_FACTOR: f64 = 0.4;
/// Interval between checks for targets that did not register again.
const EXPIRY_CHECK_INTERVAL: Duration = Stalls::INTERVAL;
/// Time in which agents tell an entry that was stalled which versions were named meanwhile, and when.
const AGENT_REPORT_TIME: Duration = Duration::from_millis(300);

/// Follows all kinds of objects that the ingress needs; never returns.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let heartbeat = gateway.settings.bounds.heartbeat;
    let targets = RefCell::new(Registrations::new(heartbeat));
    let watches = Watches::default();
    let stalls = RefCell::new(Stalls::new(uptime()));
    let targets_read = Cell::new(None);
    let config_reader = Reader::new(&gateway, config::KIND, &watches);
    gateway.relay.begin_start();
    let configs = async {
        neighbours::wait(&gateway, &targets_read).await;
        gateway.relay.end_start();
        // Readers whose watches wait at the store may have to read for others now, or from others.
        watches.connectivity_changed.notify();
        follow_config(config_reader, &gateway, &watches).await;
    };
    let named = follow_versions(
        Reader::new(&gateway, versions::KIND, &watches),
        &gateway,
        &stalls,
        &watches,
    );
    let registered = follow_targets(
        Reader::new(&gateway, target::KIND, &watches),
        &gateway,
        &targets,
        &targets_read,
        &watches,
    );
    let expired = expire(&gateway, &targets, &stalls);
    let evacuated = async {
        if let Some(bound) = gateway.settings.bounds.evacuation {
            evacuations::follow(&gateway, bound, &watches).await;
        }
    };
    futures::join!(configs, named, registered, expired, evacuated);
}

/// Follows the configuration with short watches, which detect a store outage early.
///
/// When an outage starts or ends, or the store came back from an older copy, `watches` cancels the long watches of the
/// other kinds, which would otherwise wait for a response that never arrives. It also tells them of changes that they may
/// have missed.
async fn follow_config(mut reader: Reader<'_>, gateway: &Gateway, watches: &Watches) {
    let wait = gateway
        .settings
        .bounds
        .store_recovery
        .mul_f64(CONFIG_WAIT_FACTOR);
    loop {
        let failing = reader.is_failing();
        let source = reader.select_source(Instant::now());
        let wait = match source {
            Source::Shared => SHARED_CONFIG_WAIT,
            Source::Store | Source::Relay(_) => wait,
        };
        let Some(read) = read(&mut reader, wait, watches).await else {
            // Another reader learned that the store came back from an older copy.
            continue;
        };
        gateway.set_store_reachable(!reader.is_failing());
        if reader.is_failing() != failing {
            watches.connectivity_changed.notify();
        }
        match read {
            Ok(update) => {
                match source {
                    Source::Shared => gateway.relay.record_response(Instant::now()),
                    Source::Store | Source::Relay(_) => gateway.relay.record_gap(),
                }
                if !matches!(source, Source::Relay(_)) {
                    watches.record_revision(update.listing.revision);
                }
                apply_config(gateway, &update.listing);
                if !update.listing.is_empty() {
                    compio::time::sleep(config_pause(gateway, source)).await;
                }
            }
            Err(failed) => {
                match failed.error.is_refusal() {
                    true => gateway.relay.record_refusal(),
                    false => gateway.relay.record_gap(),
                }
                compio::time::sleep(failed.pause).await;
            }
        }
    }
}

/// Returns the pause after a read of the configuration.
///
/// An entry whose relays fail reads the store itself, and so do all others of its domain. Versions that appear during the
/// pause are skipped, which leaves room on the link to the store for smaller reads.
fn config_pause(gateway: &Gateway, source: Source) -> Duration {
    let replaces_relay =
        source == Source::Store && gateway.relays.borrow().has_relays(Instant::now());
    if replaces_relay {
        BATCH_INTERVAL
    } else {
        Duration::ZERO
    }
}

/// Follows the versions that operators name.
async fn follow_versions(
    mut reader: Reader<'_>,
    gateway: &Gateway,
    stalls: &RefCell<Stalls>,
    watches: &Watches,
) {
    let mut first = true;
    loop {
        // Versions are few and small, so every entry reads them from the store, and learns when each of them was named.
        match read(&mut reader, WATCH_WAIT, watches).await {
            Some(Ok(update)) => {
                let age = match std::mem::take(&mut first) {
                    true => None,
                    false => Some(age_at_read(stalls).await),
                };
                apply_versions(gateway, &update.listing, age);
            }
            Some(Err(failed)) => compio::time::sleep(failed.pause).await,
            None => {}
        }
    }
}

/// Returns how long ago at most a version was named that has just been read.
///
/// After a stall it may have been named at any time since the stall began. Agents that another entry told know better,
/// so this waits until they have reported it, in which case the age told by them stays in force.
async fn age_at_read(stalls: &RefCell<Stalls>) -> Duration {
    let unread = stalls.borrow().unread_time(uptime());
    if unread.is_zero() {
        return Duration::ZERO;
    }
    let named_since = uptime().saturating_sub(unread);
    compio::time::sleep(AGENT_REPORT_TIME).await;
    uptime().saturating_sub(named_since)
}

/// Follows the registrations of targets.
async fn follow_targets(
    mut reader: Reader<'_>,
    gateway: &Gateway,
    targets: &RefCell<Registrations>,
    targets_read: &Cell<Option<Instant>>,
    watches: &Watches,
) {
    loop {
        let source = reader.select_source(Instant::now());
        let read = read(&mut reader, WATCH_WAIT, watches).await;
        let now = Instant::now();
        match read {
            Some(Ok(update)) => {
                let listing = &update.listing;
                let (revision, reached_for) = (listing.revision, listing.reached_for);
                targets
                    .borrow_mut()
                    .record_success(now, revision, reached_for);
                let change_count = gateway.change_count();
                apply_targets(gateway, &mut targets.borrow_mut(), &update);
                targets_read.set(targets_read.get().or(Some(now)));
                let membership_changed =
                    gateway.change_count() != change_count || !update.listing.deleted.is_empty();
                compio::time::sleep(batch_pause(gateway, source, membership_changed)).await;
            }
            Some(Err(failed)) => {
                targets.borrow_mut().record_failure(now);
                compio::time::sleep(failed.pause).await;
            }
            // An outage has begun or ended, or the store came back from an older copy.
            None if gateway.is_store_reachable() => targets.borrow_mut().record_reachable(now),
            None => targets.borrow_mut().record_failure(now),
        }
    }
}

/// Returns the pause before the next watch of targets, in which changes are batched.
fn batch_pause(gateway: &Gateway, source: Source, membership_changed: bool) -> Duration {
    match source {
        Source::Store if !membership_changed => gateway
            .settings
            .bounds
            .target_drain
            .mul_f64(LONG_BATCH_FACTOR),
        Source::Store | Source::Shared => BATCH_INTERVAL,
        // The relay has already batched the changes.
        Source::Relay(_) => Duration::ZERO,
    }
}

/// Reads the next update with a watch of up to `wait`; returns `None` if a change of the store's connectivity cancelled the
/// call.
///
/// A watch whose response may have been lost is replaced by a short one.
pub(super) async fn read(
    reader: &mut Reader<'_>,
    wait: Duration,
    watches: &Watches,
) -> Option<Result<Update, ReadError>> {
    let connectivity = &watches.connectivity_changed;
    let seen = connectivity.count();
    loop {
        let overtaken = reader.known().map(|known| watches.overtaken(known));
        let overtaken = async {
            match overtaken {
                Some(overtaken) => overtaken.await,
                None => std::future::pending().await,
            }
        };
        let (cancelled, overtaken) = (pin!(connectivity.changed(seen)), pin!(overtaken));
        let interrupted = select(cancelled, overtaken);
        let revision = match select(pin!(reader.next(wait)), interrupted).await {
            Either::Left((read, _)) => return Some(read),
            Either::Right((Either::Left(_), _)) => return None,
            Either::Right((Either::Right((revision, _)), _)) => revision,
        };
        reader.check(revision);
    }
}

fn apply_config(gateway: &Gateway, listing: &Listing) {
    let Some(object) = listing
        .objects
        .iter()
        .find(|object| object.name == config::NAME)
    else {
        return;
    };
    match config::decode(object) {
        Ok(config) => {
            let in_force = gateway.config().map(|config| config.version);
            if let Some(in_force) = in_force.filter(|version| *version > config.version) {
                // The store came back from an older copy; operators write the newer configuration again.
                event!(
                    event::CONFIG_OUTDATED,
                    version = config.version,
                    in_force = in_force
                );
                return;
            }
            let config = Rc::new(config);
            event!(
                event::CONFIG_IN_FORCE,
                version = config.version,
                revision = object.revision.number,
                era = object.revision.era,
                routes = config.route_count(),
                keys = config
                    .key_count()
                    .map_or_else(|| "unused".to_owned(), |count| count.to_string())
            );
            gateway.update(|scheduler, _| scheduler.set_config(config));
        }
        Err(error) => event!(event::OBJECT_MALFORMED, error = error),
    }
}

/// Applies the named versions, which were named `age` ago, or at an unknown time if `None`.
fn apply_versions(gateway: &Gateway, listing: &Listing, age: Option<Duration>) {
    for object in &listing.objects {
        match versions::decode(object) {
            Ok(named) => {
                let is_new = gateway.update(|scheduler, now| {
                    match age.and_then(|age| now.checked_sub(age)) {
                        Some(at) => scheduler.require_version(at, &named.model, named.version),
                        None => scheduler.add_undated_version(&named.model, named.version),
                    }
                });
                if is_new {
                    gateway.record_change();
                    event!(
                        event::VERSION_NAMED,
                        model = named.model,
                        version = named.version,
                        age_ms = age.map_or_else(
                            || "unknown".to_owned(),
                            |age| age.as_millis().to_string()
                        )
                    );
                }
            }
            Err(error) => event!(event::OBJECT_MALFORMED, error = error),
        }
    }
}

fn apply_targets(gateway: &Gateway, targets: &mut Registrations, update: &Update) {
    let now = Instant::now();
    let listing = &update.listing;
    for object in &listing.objects {
        apply_target(gateway, targets, object);
    }
    let mut removed = listing.deleted.clone();
    if update.whole {
        let listed: BTreeSet<&str> = listing
            .objects
            .iter()
            .map(|object| object.name.as_str())
            .collect();
        removed = targets.unlisted(&listed);
    }
    for id in removed {
        let removal = targets.remove(now, &id);
        let gone = removal == Removal::Gone;
        event!(event::TARGET_REMOVED, target = id, gone = gone);
        if gone {
            gateway.update(|scheduler, _| scheduler.remove_target(&id));
        }
    }
}

fn apply_target(gateway: &Gateway, targets: &mut Registrations, object: &Object) {
    match target::decode(object) {
        Ok(target) => {
            log_registration(&target);
            let id = target.id.clone();
            match targets.insert(Instant::now(), target, object.revision) {
                Insertion::New(target) => {
                    gateway.record_change();
                    put_target(gateway, target);
                }
                Insertion::Known(target) => put_target(gateway, target),
                Insertion::Unconfirmed => event!(event::TARGET_UNCONFIRMED, target = id),
            }
        }
        Err(error) => {
            // A malformed object describes no usable target, and an earlier registration may be out of date.
            event!(event::OBJECT_MALFORMED, error = error);
            gateway.update(|scheduler, _| scheduler.remove_target(&object.name));
        }
    }
}

fn log_registration(target: &Target) {
    event!(
        event::TARGET_REGISTERED,
        target = target.id,
        address = target.address,
        draining = target.draining,
        weights = format_args!("{:?}", target.weights)
    );
}

fn put_target(gateway: &Gateway, target: Target) {
    let (id, cold) = (target.id.clone(), target.cold_period);
    gateway.update(|scheduler, now| {
        scheduler.put_target(target);
        scheduler.set_cold_period(now, &id, cold);
    });
}

/// Removes targets that did not register again after a store outage, and adds those that left before the store came
/// back from an older copy but turn out to be live.
///
/// It runs all the time, so it also detects stalls of this process.
async fn expire(gateway: &Gateway, targets: &RefCell<Registrations>, stalls: &RefCell<Stalls>) {
    loop {
        compio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        if let Some(stall) = stalls.borrow_mut().beat(uptime()) {
            event!(event::STALLED, ms = stall.as_millis());
        }
        let now = Instant::now();
        let gone = targets.borrow_mut().expire(now);
        for id in gone {
            event!(event::TARGET_REMOVED, target = id, gone = true);
            gateway.update(|scheduler, _| scheduler.remove_target(&id));
        }
        let confirmed = targets.borrow_mut().confirm(now);
        for target in confirmed {
            log_registration(&target);
            gateway.record_change();
            put_target(gateway, target);
        }
    }
}

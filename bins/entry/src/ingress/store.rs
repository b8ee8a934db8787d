//! What operators and targets wrote into the platform's store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use node::{Notify, event};
use platform::{Listing, Object, ReadError, Update, config, target, versions};

use super::gateway::Gateway;
use super::reader::Reader;
use super::relays::Source;
use super::targets::{Change, Registry};

/// Wait of one watch of the configuration, as a share of the time after the store's return in which the deployment's
/// bounds hold again: a call that a silent store never answers must end within it.
const SHORT_WAIT: f64 = 0.6;
/// The same where other entries read what this one reads: they must notice soon that it reads nothing any more.
const SHARED_WAIT: Duration = Duration::from_millis(600);
/// Longest wait of one watch call; every call has a price.
const WAIT: Duration = Duration::from_secs(29);
/// Time between two watches of targets, in which changes that come together gather, while targets come or go.
const GATHERING: Duration = Duration::from_millis(500);
/// The same while they only change, as a share of the time in which requests must stop to go to a target that leaves.
const LONG_GATHERING: f64 = 0.4;
/// Time between two looks for targets that did not register again.
const EXPIRY: Duration = Duration::from_millis(100);

/// Follows all kinds that the ingress needs; never returns.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let targets = RefCell::new(Registry::default());
    let pulse = Notify::default();
    let configs = follow_config(Reader::new(&gateway, config::KIND), &gateway, &pulse);
    let named = follow_versions(Reader::new(&gateway, versions::KIND), &gateway, &pulse);
    let registered = follow_targets(
        Reader::new(&gateway, target::KIND),
        &gateway,
        &targets,
        &pulse,
    );
    let expired = expire(&gateway, &targets);
    futures::join!(configs, named, registered, expired);
}

/// Follows the configuration by short watches, which tell soon when the store falls silent: then, and when it is back,
/// `pulse` ends the long watches of the other kinds, which would wait for an answer that doesn't come.
async fn follow_config(mut reader: Reader<'_>, gateway: &Gateway, pulse: &Notify) {
    let wait = gateway.settings.bounds.contact.mul_f64(SHORT_WAIT);
    loop {
        let failing = reader.is_failing();
        let source = reader.choose(Instant::now());
        let read = match source {
            Source::Shared => reader.next(SHARED_WAIT).await,
            Source::Store | Source::Relay(_) => reader.next(wait).await,
        };
        gateway.set_in_touch(!reader.is_failing());
        if reader.is_failing() != failing {
            pulse.notify();
        }
        match read {
            Ok(update) => {
                if source == Source::Shared {
                    gateway.relay.confirm(Instant::now());
                }
                take_config(gateway, &update.listing);
            }
            Err(failed) => compio::time::sleep(failed.pause).await,
        }
    }
}

/// Follows the versions that operators name.
async fn follow_versions(mut reader: Reader<'_>, gateway: &Gateway, pulse: &Notify) {
    let mut first = true;
    loop {
        // Versions are few and small, and every entry must know when each of them was named.
        match read(&mut reader, pulse).await {
            Some(Ok(update)) => take_versions(gateway, &update.listing, std::mem::take(&mut first)),
            Some(Err(failed)) => compio::time::sleep(failed.pause).await,
            None => {}
        }
    }
}

/// Follows the registrations of targets.
async fn follow_targets(
    mut reader: Reader<'_>,
    gateway: &Gateway,
    targets: &RefCell<Registry>,
    pulse: &Notify,
) {
    loop {
        let source = reader.choose(Instant::now());
        let read = read(&mut reader, pulse).await;
        let now = Instant::now();
        match read {
            Some(Ok(update)) => {
                targets.borrow_mut().answered(now);
                let news = gateway.news();
                take_targets(gateway, &mut targets.borrow_mut(), &update);
                let membership_changed =
                    gateway.news() != news || !update.listing.deleted.is_empty();
                compio::time::sleep(gathering(gateway, source, membership_changed)).await;
            }
            Some(Err(failed)) => {
                targets.borrow_mut().failed(now);
                compio::time::sleep(failed.pause).await;
            }
            None => targets.borrow_mut().failed(now),
        }
    }
}

/// Returns the time until the next watch of targets, in which changes gather.
fn gathering(gateway: &Gateway, source: Source, membership_changed: bool) -> Duration {
    match source {
        Source::Store if !membership_changed => {
            gateway.settings.bounds.drain.mul_f64(LONG_GATHERING)
        }
        Source::Store | Source::Shared => GATHERING,
        // They have gathered there.
        Source::Relay(_) => Duration::ZERO,
    }
}

/// Reads on; `None` when `pulse` ended the call.
async fn read(reader: &mut Reader<'_>, pulse: &Notify) -> Option<Result<Update, ReadError>> {
    let beat = pulse.changed(pulse.count());
    match select(pin!(reader.next(WAIT)), pin!(beat)).await {
        Either::Left((read, _)) => Some(read),
        Either::Right(_) => None,
    }
}

fn take_config(gateway: &Gateway, listing: &Listing) {
    let Some(object) = listing
        .objects
        .iter()
        .find(|object| object.name == config::NAME)
    else {
        return;
    };
    match config::decode(object) {
        Ok(config) => {
            let config = Rc::new(config);
            event!(
                event::CONFIG_IN_FORCE,
                version = config.version,
                revision = object.revision,
                routes = config.route_count()
            );
            gateway.update(|scheduler, _| scheduler.set_config(config));
        }
        Err(error) => event!(event::OBJECT_MALFORMED, error = error),
    }
}

/// Takes the named versions; those of the first list were named at an unknown time.
fn take_versions(gateway: &Gateway, listing: &Listing, first: bool) {
    for object in &listing.objects {
        match versions::decode(object) {
            Ok(named) => {
                let news = gateway.update(|scheduler, now| match first {
                    true => scheduler.add_undated_version(&named.model, named.version),
                    false => scheduler.require_version(now, &named.model, named.version),
                });
                if news {
                    gateway.count_news();
                    event!(
                        event::VERSION_NAMED,
                        model = named.model,
                        version = named.version,
                        age_ms = if first { "unknown" } else { "0" }
                    );
                }
            }
            Err(error) => event!(event::OBJECT_MALFORMED, error = error),
        }
    }
}

fn take_targets(gateway: &Gateway, targets: &mut Registry, update: &Update) {
    let now = Instant::now();
    let listing = &update.listing;
    for object in &listing.objects {
        take_target(gateway, targets, object);
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
        let change = targets.remove(now, &id);
        let gone = change == Change::Gone;
        event!(event::TARGET_REMOVED, target = id, gone = gone);
        if gone {
            gateway.update(|scheduler, _| scheduler.remove_target(&id));
        }
    }
}

fn take_target(gateway: &Gateway, targets: &mut Registry, object: &Object) {
    match target::decode(object) {
        Ok(target) => {
            event!(
                event::TARGET_REGISTERED,
                target = target.id,
                address = target.address,
                draining = target.draining,
                weights = format_args!("{:?}", target.weights)
            );
            if targets.put(&target.id) {
                gateway.count_news();
            }
            let (id, cold) = (target.id.clone(), target.cold_period);
            gateway.update(|scheduler, now| {
                scheduler.put_target(target);
                scheduler.set_cold_period(now, &id, cold);
            });
        }
        Err(error) => {
            // The entry names no target to use; one that it named before is no longer known to be as it was.
            event!(event::OBJECT_MALFORMED, error = error);
            gateway.update(|scheduler, _| scheduler.remove_target(&object.name));
        }
    }
}

/// Removes targets that did not register again after the store's return.
async fn expire(gateway: &Gateway, targets: &RefCell<Registry>) {
    loop {
        compio::time::sleep(EXPIRY).await;
        let gone = targets.borrow_mut().expire(Instant::now());
        for id in gone {
            event!(event::TARGET_REMOVED, target = id, gone = true);
            gateway.update(|scheduler, _| scheduler.remove_target(&id));
        }
    }
}

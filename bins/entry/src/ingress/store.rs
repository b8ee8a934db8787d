//! What operators and targets wrote into the platform's store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use node::{Backoff, Notify, event};
use platform::{Client, Failed, Follower, Listing, Object, Update, config, target, versions};

use super::gateway::Gateway;
use super::targets::{Change, Registry};

/// Time allowed for a call of the store, beside the wait of a watch.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Wait of one watch of the configuration, as a share of the time after the store's return in which the deployment's
/// bounds hold again: a call that a silent store never answers must end within it.
const SHORT_WAIT: f64 = 0.6;
/// Longest wait of one watch call; every call has a price.
const WAIT: Duration = Duration::from_secs(29);
/// Time between two watches of targets, in which changes that come together gather, while targets come or go.
const GATHERING: Duration = Duration::from_millis(500);
/// The same while they only change, as a share of the time in which requests must stop to go to a target that leaves.
const LONG_GATHERING: f64 = 0.4;
/// Bounds of the pause after a failed call; it doubles with each failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Time between two looks for targets that did not register again.
const EXPIRY: Duration = Duration::from_millis(100);

/// Follows all kinds that the ingress needs; never returns.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let client = Client::new(gateway.settings.platform, TIMEOUT);
    let follower = |kind| Follower::new(&client, kind, Backoff::new(PAUSE.0, PAUSE.1));
    let targets = RefCell::new(Registry::default());
    let pulse = Notify::default();
    let configs = follow_config(follower(config::KIND), &gateway, &pulse);
    let named = follow_versions(follower(versions::KIND), &gateway, &pulse);
    let registered = follow_targets(follower(target::KIND), &gateway, &targets, &pulse);
    let expired = expire(&gateway, &targets);
    futures::join!(configs, named, registered, expired);
}

/// Follows the configuration by short watches, which tell soon when the store falls silent: then, and when it is back,
/// `pulse` ends the long watches of the other kinds, which would wait for an answer that doesn't come.
async fn follow_config(mut follower: Follower, gateway: &Gateway, pulse: &Notify) {
    let wait = gateway.settings.bounds.contact.mul_f64(SHORT_WAIT);
    loop {
        let failing = follower.is_failing();
        let read = follower.next(wait).await;
        gateway.set_in_touch(!follower.is_failing());
        if follower.is_failing() != failing {
            pulse.notify();
        }
        match read {
            Ok(update) => take_config(gateway, &update.listing),
            Err(failed) => compio::time::sleep(failed.pause).await,
        }
    }
}

/// Follows the versions that operators name.
async fn follow_versions(mut follower: Follower, gateway: &Gateway, pulse: &Notify) {
    let mut first = true;
    loop {
        match read(&mut follower, pulse).await {
            Some(Ok(update)) => take_versions(gateway, &update.listing, std::mem::take(&mut first)),
            Some(Err(failed)) => compio::time::sleep(failed.pause).await,
            None => {}
        }
    }
}

/// Follows the registrations of targets.
async fn follow_targets(
    mut follower: Follower,
    gateway: &Gateway,
    targets: &RefCell<Registry>,
    pulse: &Notify,
) {
    let gathering = gateway.settings.bounds.drain.mul_f64(LONG_GATHERING);
    loop {
        let read = read(&mut follower, pulse).await;
        let now = Instant::now();
        match read {
            Some(Ok(update)) => {
                targets.borrow_mut().answered(now);
                let news = gateway.news();
                take_targets(gateway, &mut targets.borrow_mut(), &update);
                let membership_changed =
                    gateway.news() != news || !update.listing.deleted.is_empty();
                compio::time::sleep(if membership_changed {
                    GATHERING
                } else {
                    gathering
                })
                .await;
            }
            Some(Err(failed)) => {
                targets.borrow_mut().failed(now);
                compio::time::sleep(failed.pause).await;
            }
            None => targets.borrow_mut().failed(now),
        }
    }
}

/// Reads on; `None` when `pulse` ended the call.
async fn read(follower: &mut Follower, pulse: &Notify) -> Option<Result<Update, Failed>> {
    let beat = pulse.changed(pulse.count());
    match select(pin!(follower.next(WAIT)), pin!(beat)).await {
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
                routes = config.routes()
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
                    true => scheduler.find_version(&named.model, named.version),
                    false => scheduler.name_version(now, &named.model, named.version),
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
            gateway.update(|scheduler, _| scheduler.put_target(target));
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

//! What operators and targets wrote into the platform's store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use node::{Notify, event};
use platform::{Client, Error, Listing, Object, config, target, versions};

use super::gateway::Gateway;
use super::targets::{Change, Registry};

/// Time allowed for a call of the store, beside the wait of a watch.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Wait of one watch of the configuration, as a share of the time after the store's return in which the deployment's
/// bounds hold again: a call that a silent store never answers must end within it.
const SHORT_WAIT: f64 = 0.6;
/// Longest wait of one watch call; every call has a price.
const WAIT: Duration = Duration::from_secs(25);
/// Time between two watches of targets, in which changes that come together gather.
const GATHERING: Duration = Duration::from_millis(500);
/// Bounds of the pause after a failed call; it doubles with each failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Time between two looks for targets that did not register again.
const EXPIRY: Duration = Duration::from_millis(100);

/// Follows all kinds that the ingress needs; never returns.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let client = Client::new(gateway.settings.platform, TIMEOUT);
    let targets = Rc::new(RefCell::new(Registry::default()));
    let pulse = Notify::default();
    let configs = follow_config(&client, &gateway, &pulse);
    let mut first = true;
    let named = follow(&client, versions::KIND, &pulse, |listing, _| {
        take_versions(&gateway, &listing, std::mem::take(&mut first));
    });
    let registered = follow_targets(&client, &gateway, &targets, &pulse);
    let expired = expire(&gateway, &targets);
    futures::join!(configs, named, registered, expired);
}

/// Follows the configuration by short watches, which tell soon when the store falls silent: then, and when it is back,
/// `pulse` ends the long watches of the other kinds, which would wait for an answer that doesn't come.
async fn follow_config(client: &Client, gateway: &Gateway, pulse: &Notify) {
    let wait = gateway.settings.bounds.contact.mul_f64(SHORT_WAIT);
    let mut after = None;
    let mut pause = PAUSE.0;
    loop {
        let listing = match after {
            Some(revision) => client.watch(config::KIND, revision, wait).await,
            None => client.list(config::KIND).await,
        };
        match listing {
            Ok(listing) => {
                if pause > PAUSE.0 {
                    event!(event::STORE_BACK, kind = config::KIND);
                    pulse.notify();
                }
                pause = PAUSE.0;
                after = Some(listing.revision);
                take_config(gateway, &listing);
            }
            Err(Error::HistoryGone { .. }) => after = None,
            Err(error) => {
                if pause == PAUSE.0 {
                    event!(event::STORE_LOST, kind = config::KIND, error = error);
                    pulse.notify();
                }
                compio::time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

/// Watches or lists a kind; `None` when `pulse` ended the call.
async fn read(
    client: &Client,
    kind: &str,
    after: Option<u64>,
    pulse: &Notify,
) -> Option<Result<Listing, Error>> {
    let call = async {
        match after {
            Some(revision) => client.watch(kind, revision, WAIT).await,
            None => client.list(kind).await,
        }
    };
    let beat = pulse.changed(pulse.count());
    match select(pin!(call), pin!(beat)).await {
        Either::Left((listing, _)) => Some(listing),
        Either::Right(_) => None,
    }
}

/// Lists a kind and then watches it; `take` gets each list, and whether it holds all objects.
async fn follow(
    client: &Client,
    kind: &'static str,
    pulse: &Notify,
    mut take: impl FnMut(Listing, bool),
) {
    let mut after = None;
    let mut pause = PAUSE.0;
    loop {
        let Some(listing) = read(client, kind, after, pulse).await else {
            continue;
        };
        match listing {
            Ok(listing) => {
                if pause > PAUSE.0 {
                    event!(event::STORE_BACK, kind = kind);
                }
                pause = PAUSE.0;
                let whole = after.is_none();
                after = Some(listing.revision);
                take(listing, whole);
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

/// Follows the registrations of targets.
async fn follow_targets(
    client: &Client,
    gateway: &Gateway,
    targets: &RefCell<Registry>,
    pulse: &Notify,
) {
    let mut after = None;
    let mut pause = PAUSE.0;
    loop {
        let Some(listing) = read(client, target::KIND, after, pulse).await else {
            targets.borrow_mut().failed(Instant::now());
            continue;
        };
        let now = Instant::now();
        match listing {
            Ok(listing) => {
                pause = PAUSE.0;
                targets.borrow_mut().answered(now);
                take_targets(
                    gateway,
                    &mut targets.borrow_mut(),
                    &listing,
                    after.is_none(),
                );
                after = Some(listing.revision);
                compio::time::sleep(GATHERING).await;
            }
            Err(Error::HistoryGone { .. }) => after = None,
            Err(error) => {
                targets.borrow_mut().failed(now);
                event!(event::STORE_LOST, kind = target::KIND, error = error);
                compio::time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
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
                    gateway.count_version();
                    event!(
                        event::VERSION_NAMED,
                        model = named.model,
                        version = named.version
                    );
                }
            }
            Err(error) => event!(event::OBJECT_MALFORMED, error = error),
        }
    }
}

fn take_targets(gateway: &Gateway, targets: &mut Registry, listing: &Listing, whole: bool) {
    let now = Instant::now();
    for object in &listing.objects {
        take_target(gateway, targets, object);
    }
    let mut removed = listing.deleted.clone();
    if whole {
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
            targets.put(&target.id);
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

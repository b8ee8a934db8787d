//! What operators and targets wrote into the platform's store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::event;
use platform::{Client, Error, Listing, Object, config, target, versions};

use super::gateway::Gateway;
use super::targets::{Change, Registry};

/// Time allowed for a call of the store, beside the wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of one watch call; every call has a price.
const WAIT: Duration = Duration::from_secs(25);
/// Time between two watches of targets, in which changes that come together gather.
const GATHERING: Duration = Duration::from_millis(200);
/// Bounds of the pause after a failed call; it doubles with each failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Time between two looks for targets that did not register again.
const EXPIRY: Duration = Duration::from_millis(100);

/// Follows all kinds that the ingress needs; never returns.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let client = Client::new(gateway.settings.platform, TIMEOUT);
    let targets = Rc::new(RefCell::new(Registry::default()));
    let configs = follow(&client, config::KIND, |listing, _| {
        take_config(&gateway, &listing);
    });
    let mut first = true;
    let named = follow(&client, versions::KIND, |listing, _| {
        take_versions(&gateway, &listing, std::mem::take(&mut first));
    });
    let registered = follow_targets(&client, &gateway, &targets);
    let expired = expire(&gateway, &targets);
    futures::join!(configs, named, registered, expired);
}

/// Lists a kind and then watches it; `take` gets each list, and whether it holds all objects.
async fn follow(client: &Client, kind: &'static str, mut take: impl FnMut(Listing, bool)) {
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
async fn follow_targets(client: &Client, gateway: &Gateway, targets: &RefCell<Registry>) {
    let mut after = None;
    let mut pause = PAUSE.0;
    loop {
        let listing = match after {
            Some(revision) => client.watch(target::KIND, revision, WAIT).await,
            None => client.list(target::KIND).await,
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

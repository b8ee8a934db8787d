//! Watches the catalogue and the VM list of the platform; two entries of each failure domain do so.

use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::StoredEntry;
use gossip::{Key, Record, Value, Version};
use node::event;
use platform::{Listing, Object, Revision};

use super::Peering;

/// Maximum duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after a failed call, and interval between checks whether this entry is a watcher.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval at which the whole catalogue is listed again, in case a watch missed a change.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// Interval between reads of the VM list.
///
/// With the time for gossip included, a target gets no new work later than 3 s after the list shows it as leaving.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Object kind of catalogue entries.
const CATALOGUE_KIND: &str = "catalog";

/// Watches the platform whenever this entry is one of its domain's watchers; never returns.
pub(crate) async fn run(peering: Rc<Peering>) {
    futures::future::join(watch_catalogue(&peering), poll_vm_list(&peering)).await;
}

async fn watch_catalogue(peering: &Peering) {
    peering.wait_until_joined().await;
    let mut after = None;
    let mut listed = Instant::now();
    loop {
        if !peering.state.borrow().is_watcher() {
            compio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        if listed.elapsed() >= LIST_INTERVAL {
            after = None;
        }
        let era = peering.platform.era();
        after = after.filter(|after: &Revision| Some(after.era) == era);
        let listing = match after {
            Some(revision) => {
                peering
                    .platform
                    .watch(CATALOGUE_KIND, revision, WATCH_TIMEOUT)
                    .await
            }
            None => {
                listed = Instant::now();
                peering.platform.list(CATALOGUE_KIND).await
            }
        };
        match listing {
            Ok(listing) => after = Some(merge_listing(peering, &listing)),
            Err(platform::Error::HistoryGone { .. }) => after = None,
            Err(error) => {
                node::event!(event::WATCH_FAILED, error = error);
                compio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Merges the objects of a listing and returns the revision to watch after.
fn merge_listing(peering: &Peering, listing: &Listing) -> Revision {
    peering.merge(listing.objects.iter().filter_map(to_record).collect());
    listing.revision
}

/// Converts a stored object to a gossip record; logs malformed objects and returns `None` for them.
fn to_record(object: &Object) -> Option<Record> {
    let malformed = |error: serde_json::Error| {
        let (key, revision) = (&object.name, object.revision.ordinal());
        node::event!(
            event::ENTRY_MALFORMED,
            key = key,
            revision = revision,
            error = error
        );
    };
    let stored: StoredEntry = serde_json::from_str(object.value.get())
        .map_err(malformed)
        .ok()?;
    let text = serde_json::to_string(&stored.entry)
        .map_err(malformed)
        .ok()?;
    Some(Record {
        key: Key::Catalog(object.name.clone()),
        version: Version {
            major: object.revision.ordinal(),
            ..Version::default()
        },
        value: Value::Catalog(text),
    })
}

async fn poll_vm_list(peering: &Peering) {
    loop {
        compio::time::sleep(VM_LIST_INTERVAL).await;
        if !peering.state.borrow().is_watcher() {
            continue;
        }
        match peering.platform.leaving_vms().await {
            Ok(vms) => {
                let mut state = peering.state.borrow_mut();
                // A VM that isn't in the list may be new or gone; failure detection decides which.
                for vm in &vms {
                    state.declare_leaving(&vm.name, &peering.shared);
                }
            }
            Err(error) => node::event!(event::WATCH_FAILED, error = error),
        }
    }
}

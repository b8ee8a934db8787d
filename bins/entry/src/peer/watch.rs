//! The watch of the platform, by two entries of each domain.

use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::StoredEntry;
use gossip::{Key, Record, Value, Version};
use node::event;
use platform::{Listing, Object};

use super::Peering;

/// Longest wait of one watch call.
const WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call, and between looks whether this entry is a watcher.
const PAUSE: Duration = Duration::from_secs(1);

/// Time after which the whole catalogue is listed again, in case a watch missed a change.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// Time between two readings of the VM list; with gossip, a leaving target gets no new work 3 s after the list names it.
const VMS_INTERVAL: Duration = Duration::from_secs(2);

const KIND: &str = "catalog";

/// Watches the platform whenever this entry is one of its domain's watchers; never returns.
pub(crate) async fn run(peering: Rc<Peering>) {
    futures::future::join(catalogue(&peering), vms(&peering)).await;
}

async fn catalogue(peering: &Peering) {
    peering.join().await;
    let mut after = None;
    let mut listed = Instant::now();
    loop {
        if !peering.state.borrow().is_watcher() {
            compio::time::sleep(PAUSE).await;
            continue;
        }
        if listed.elapsed() >= LIST_INTERVAL {
            after = None;
        }
        let listing = match after {
            Some(revision) => peering.platform.watch(KIND, revision, WAIT).await,
            None => {
                listed = Instant::now();
                peering.platform.list(KIND).await
            }
        };
        match listing {
            Ok(listing) => after = Some(take(peering, &listing)),
            Err(platform::Error::HistoryGone { .. }) => after = None,
            Err(error) => {
                node::event!(event::WATCH_FAILED, error = error);
                compio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Merges the objects of a listing and returns the revision to watch after.
fn take(peering: &Peering, listing: &Listing) -> u64 {
    peering.merge(listing.objects.iter().filter_map(record).collect());
    listing.revision
}

fn record(object: &Object) -> Option<Record> {
    let malformed = |error: serde_json::Error| {
        let (key, revision) = (&object.name, object.revision);
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
            major: object.revision,
            ..Version::default()
        },
        value: Value::Catalog(text),
    })
}

async fn vms(peering: &Peering) {
    loop {
        compio::time::sleep(VMS_INTERVAL).await;
        if !peering.state.borrow().is_watcher() {
            continue;
        }
        match peering.platform.leaving_vms().await {
            Ok(vms) => {
                let mut state = peering.state.borrow_mut();
                // A VM that the list lacks may be new or gone; silence decides about it.
                for vm in &vms {
                    state.declare_leaving(&vm.name, &peering.shared);
                }
            }
            Err(error) => node::event!(event::WATCH_FAILED, error = error),
        }
    }
}

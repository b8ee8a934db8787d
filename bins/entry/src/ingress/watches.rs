//! Decides when a watch of the store that still waits must be replaced, because its response may never come.

use std::cell::Cell;
use std::time::Duration;

use node::Notify;
use platform::Revision;

/// Time in which a watch that waits returns a change that the store has already reported to another one.
const RESPONSE_TIME: Duration = Duration::from_millis(500);

/// What the short watches of the configuration tell the long ones of the other kinds.
///
/// A response of the store may be lost while its connection looks intact. The store's revision covers all kinds, so the
/// watch of the configuration shows when there is a change that a long watch may have missed.
#[derive(Debug, Default)]
pub(super) struct Watches {
    /// Notified when an outage of the store starts or ends, or the store came back from an older copy.
    pub(super) connectivity_changed: Notify,
    /// Newest revision that the store reported to the watch of the configuration.
    newest: Cell<Revision>,
    advanced: Notify,
}

impl Watches {
    /// Records the revision of a response of the store to the watch of the configuration.
    pub(super) fn record_revision(&self, revision: Revision) {
        if revision > self.newest.get() {
            self.newest.set(revision);
            self.advanced.notify();
        }
    }

    /// Waits until the store has changed after `known` and a watch that waits since then had the time to respond;
    /// returns the revision of the store.
    ///
    /// The change may be one of another kind.
    pub(super) async fn overtaken(&self, known: Revision) -> Revision {
        let mut seen = self.advanced.count();
        while self.newest.get() <= known {
            seen = self.advanced.changed(seen).await;
        }
        let newest = self.newest.get();
        compio::time::sleep(RESPONSE_TIME).await;
        newest
    }
}

//! Passes evidence of crashes on between entries.
//!
//! Entries don't know the entries of other failure domains, but all agents. An agent keeps what it learns for entries that
//! missed it or start later; it decides nothing.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use node::Notify;
use quarantine::{Evidence, PartId, Quarantine};
use wire::{Datagram, DatagramSocket};

/// Time after which an entry that doesn't ask for evidence any more is forgotten.
const SUBSCRIPTION: Duration = Duration::from_secs(3);
/// Pause between two sends, so that crashes that come together share a datagram.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// Evidence of crashes, and the entries that want it.
#[derive(Default)]
pub(super) struct EvidenceRelay {
    quarantine: RefCell<Quarantine>,
    /// When each entry last asked for evidence.
    subscribers: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Parts whose evidence changed and has not been sent yet.
    pending: RefCell<BTreeSet<PartId>>,
    changed: Notify,
}

impl EvidenceRelay {
    /// Merges the evidence of an entry.
    pub(super) fn merge(&self, now: Instant, evidence: &[Evidence]) {
        let changes = self.quarantine.borrow_mut().merge(now, evidence);
        if !changes.parts.is_empty() {
            self.pending.borrow_mut().extend(changes.parts);
            self.changed.notify();
        }
    }

    /// Adds `entry` to the entries that want evidence, and returns what it has to know.
    pub(super) fn subscribe(&self, now: Instant, entry: SocketAddr) -> Vec<Evidence> {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|_, asked| now.saturating_duration_since(*asked) < SUBSCRIPTION);
        subscribers.insert(entry, now);
        self.quarantine.borrow().summary(now)
    }

    /// Sends subscribers the evidence that has changed; never returns.
    pub(super) async fn send_changes(&self, socket: &DatagramSocket) {
        loop {
            let seen = self.changed.count();
            let parts = self.pending.take();
            if parts.is_empty() {
                self.changed.changed(seen).await;
                continue;
            }
            let evidence = self.quarantine.borrow().evidence(Instant::now(), parts);
            let subscribers: Vec<SocketAddr> = self.subscribers.borrow().keys().copied().collect();
            for datagram in Datagram::evidence(&evidence) {
                socket.send(&datagram, &subscribers).await;
            }
            compio::time::sleep(SEND_INTERVAL).await;
        }
    }
}

//! The objects that this entry holds, shared by the tasks that read them, pass them on and apply them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use node::time::{Uptime, uptime};
use node::{Notify, event};
use platform::{Revision, Update};
use replica::{Answer, Heard, Kind, Merge, Query, Replica};

use super::metrics::Metrics;

/// A [`Replica`] with notifications of its changes.
#[derive(Debug)]
pub(super) struct Objects {
    replica: RefCell<Replica>,
    metrics: Metrics,
    began: Uptime,
    /// Notified when objects change.
    changed: Notify,
    /// Notified when objects change or the store was heard.
    news: Notify,
}

impl Objects {
    /// Returns the objects of the entry at `own_address`, which holds none yet.
    pub(super) fn new(own_address: SocketAddr, metrics: Metrics) -> Self {
        Self {
            replica: RefCell::new(Replica::new(own_address)),
            metrics,
            began: uptime(),
            changed: Notify::default(),
            news: Notify::default(),
        }
    }

    /// Calls `read` with a shared reference to the replica.
    pub(super) fn view<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.replica.borrow())
    }

    /// Returns when the store was last heard for `kind`.
    pub(super) fn heard(&self, kind: Kind) -> Option<Heard> {
        self.view(|replica| replica.heard(kind))
    }

    /// Records that the store sent this entry something at `now` while it follows `kinds` there.
    pub(super) fn record_heard(
        &self,
        now: Uptime,
        kinds: impl Iterator<Item = Kind>,
        reached_since: Option<Uptime>,
    ) {
        let mut replica = self.replica.borrow_mut();
        for kind in kinds {
            replica.record_heard(now, kind, reached_since);
            // Changes of the small kinds arrive as soon as they are made.
            if kind != Kind::Config {
                replica.record_complete(now, kind);
            }
        }
        drop(replica);
        self.news.notify();
    }

    /// Applies an update that this entry read from the store.
    pub(super) fn apply(&self, kind: Kind, update: &Update, written_after: Option<Uptime>) {
        let unchanged_until = self.unchanged_until(kind);
        let mut replica = self.replica.borrow_mut();
        let changed = replica.apply(kind, update, written_after);
        replica.record_complete(uptime(), kind);
        drop(replica);
        if changed {
            self.record_change(kind, None, unchanged_until);
            self.changed.notify();
            self.news.notify();
        }
    }

    /// Merges the answer of `entry` that arrived at `now` to a query that was sent at `called`.
    pub(super) fn merge(
        &self,
        called: Uptime,
        now: Uptime,
        entry: SocketAddr,
        answer: &Answer,
    ) -> Merge {
        let unchanged_until = Kind::ALL.map(|kind| self.unchanged_until(kind));
        let merge = self.replica.borrow_mut().merge(called, now, answer);
        for kind in &merge.changed {
            self.record_change(*kind, Some(entry), unchanged_until[kind.index()]);
        }
        if !merge.changed.is_empty() {
            self.changed.notify();
        }
        if merge.is_later || !merge.changed.is_empty() {
            self.news.notify();
        }
        merge
    }

    /// Waits until there is an answer to a query that arrived at `arrived`, and returns it.
    ///
    /// `interval` is the time after which an entry that has not heard the store says so.
    pub(super) async fn answer(
        &self,
        arrived: Uptime,
        query: &Query,
        interval: Duration,
    ) -> Answer {
        loop {
            let seen = self.news.count();
            let now = uptime();
            if let Some(answer) = self.view(|replica| replica.answer(arrived, now, query)) {
                return answer;
            }
            let rest = query.wait().saturating_sub(now.saturating_sub(arrived));
            let news = self.news.changed(seen);
            let _ = compio::time::timeout(rest.min(interval), news).await;
        }
    }

    /// Waits until `kind` has changed after `after`, or all objects are needed, and returns the update.
    pub(super) async fn next_update(&self, kind: Kind, after: Option<Revision>) -> Update {
        loop {
            let seen = self.changed.count();
            if let Some(update) = self.view(|replica| replica.update_after(kind, after)) {
                return update;
            }
            self.changed.changed(seen).await;
        }
    }

    /// Returns the time until which the objects of `kind` are known not to have changed, or that of the start, and whether the
    /// kind has been read.
    fn unchanged_until(&self, kind: Kind) -> (Uptime, bool) {
        self.view(|replica| {
            let is_known = replica.revision(kind).is_some();
            let complete_at = replica.complete_at(kind).filter(|_| is_known);
            (complete_at.unwrap_or(self.began), is_known)
        })
    }

    /// Records a change of `kind` that came from `entry`, or from the store if that is `None`.
    fn record_change(
        &self,
        kind: Kind,
        entry: Option<SocketAddr>,
        (unchanged_until, was_known): (Uptime, bool),
    ) {
        let delay = uptime().saturating_sub(unchanged_until);
        self.metrics.observe_change(kind.name(), delay);
        let source = entry.map_or_else(|| "store".to_owned(), |entry| entry.to_string());
        let ms = delay.as_millis();
        match kind {
            _ if !was_known => event!(event::FIRST_READ, kind = kind, source = source, ms = ms),
            // Registrations change too often to be logged here; each is when it is applied.
            Kind::Targets => {}
            _ => event!(
                event::CHANGE_READ,
                kind = kind,
                source = source,
                delay_ms = ms
            ),
        }
    }
}

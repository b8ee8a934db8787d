//! Follows the objects of one kind at the source from which this entry currently reads them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use node::{Backoff, event};
use platform::{Client, Error, Follower, Listing, ReadError, Revision, Update};

use super::gateway::{Gateway, STORE_TIMEOUT};
use super::relays::{Relays, Source};
use super::watches::Watches;

/// Timeout of a call to another entry of the domain, in addition to the wait of a watch.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait of a watch at another entry, which bounds the time until a frozen entry is detected.
const RELAY_WAIT: Duration = Duration::from_millis(700);
/// Maximum wait of a watch at the store whose responses are served to other entries, which would wait as long if the
/// connection became unresponsive.
const SHARED_WAIT: Duration = Duration::from_secs(3);
/// Wait of a watch that checks whether an earlier one missed a change.
const CHECK_WAIT: Duration = Duration::from_millis(500);
/// Time for which a relay that does not serve a kind is not asked for this kind again.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);
/// Pause before the next source is asked after a refusal.
const SWITCH_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time to wait for relays that are still reading, if an older state of the kind is in use meanwhile.
const READING_PATIENCE: Duration = Duration::from_millis(500);
/// Maximum time to wait for relays that are still reading a kind that this entry has not read at all, before
/// [`PATIENCE_PER_RANK`] is added. The entry serves nobody meanwhile.
const FIRST_PATIENCE: Duration = Duration::from_secs(2);
/// Additional time for each entry before this one in the domain's order, so that those whose relays fail to read a large
/// configuration don't read it at the same time.
const PATIENCE_PER_RANK: Duration = Duration::from_millis(150);
/// Time for which an entry that has failed to read the store itself leaves it to the relays, before [`PATIENCE_PER_RANK`] is
/// added.
const OUTAGE_PATIENCE: Duration = Duration::from_millis(800);
/// Maximum of this time with [`PATIENCE_PER_RANK`].
const MAX_OUTAGE_PATIENCE: Duration = Duration::from_secs(2);
/// Maximum pause between the calls to relays meanwhile.
const OUTAGE_PAUSE: Duration = Duration::from_millis(300);
/// Length of a read from which on it is logged, in bytes.
const LARGE_READ_BYTES: usize = 64 << 10;
/// Minimum and maximum pause after a failed call; the pause doubles with each failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// A follower of one kind of objects that switches between [`Source`]s.
pub(super) struct Reader<'a> {
    gateway: &'a Gateway,
    kind: &'static str,
    follower: Follower,
    source: Source,
    /// Relays that don't serve the kind, and when they said so.
    refusals: BTreeMap<SocketAddr, Instant>,
    /// When this entry itself last failed to read the kind from the store, if it has not read it since.
    store_failed_at: Option<Instant>,
    /// Since when relays have been reading the kind while this reader waits for them.
    waiting_since: Option<Instant>,
    /// Notified when the store came back from an older copy.
    watches: &'a Watches,
    /// Revision of the store up to which no change can have been missed, or is being checked for.
    checked: Revision,
    /// Whether the next read checks for changes up to `checked`.
    checking: bool,
    /// When this reader was created; `None` once it has read the kind.
    unread_since: Option<Instant>,
}

impl<'a> Reader<'a> {
    /// Returns a reader of objects of `kind` that has not read anything yet.
    ///
    /// It notifies `watches` when it is the first to learn that the store came back from an older copy.
    pub(super) fn new(gateway: &'a Gateway, kind: &'static str, watches: &'a Watches) -> Self {
        let backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        Self {
            gateway,
            kind,
            follower: Follower::new(&client(gateway, Source::Store), kind, backoff),
            source: Source::Store,
            refusals: BTreeMap::new(),
            store_failed_at: None,
            waiting_since: None,
            watches,
            checked: Revision::default(),
            checking: false,
            unread_since: Some(Instant::now()),
        }
    }

    /// Returns the newest revision of the store up to which this reader knows all changes, or `None` if the next read must
    /// not be interrupted for newer ones.
    ///
    /// Watches of relays are so short that they need no checks. A first list, and a check itself, may take long at a slow
    /// store and would never end if each change interrupted them.
    pub(super) fn known(&self) -> Option<Revision> {
        let newest = self.follower.newest();
        let is_short = matches!(self.source, Source::Relay(_)) || self.checking;
        let interruptible = !is_short && newest > Revision::default();
        interruptible.then(|| newest.max(self.checked))
    }

    /// Makes the next read check soon whether a change up to `revision` was missed.
    pub(super) fn check(&mut self, revision: Revision) {
        self.checked = revision;
        self.checking = true;
    }

    /// Returns whether the last read failed.
    pub(super) fn is_failing(&self) -> bool {
        self.follower.is_failing()
    }

    /// Selects the source for the next read, and returns it.
    pub(super) fn select_source(&mut self, now: Instant) -> Source {
        self.refusals
            .retain(|_, at| now.saturating_duration_since(*at) < REFUSAL_BACKOFF);
        let is_refused = |relay: &SocketAddr| self.refusals.contains_key(relay);
        let relays = self.gateway.relays.borrow();
        let source = match relays.source_without(now, is_refused) {
            // Relays that refused the kind are asked again.
            Source::Store if self.leaves_store(now, &relays) => relays.source(now),
            source => source,
        };
        drop(relays);
        if source == self.source {
            return source;
        }
        if self.source == Source::Shared {
            self.gateway.relay.remove(self.kind);
        }
        if source == Source::Shared {
            // Other entries may list all objects, so this entry must read all of them and not only further changes.
            self.follower.restart();
            self.gateway.relay.begin_reading(self.kind);
        }
        event!(event::SOURCE_CHANGED, kind = self.kind, source = source);
        self.follower.set_client(&client(self.gateway, source));
        self.source = source;
        source
    }

    /// Reads the next update from the selected source; `wait` is the wait of a watch at the store.
    ///
    /// # Errors
    ///
    /// Returns why the read failed, and the time to wait before the next one.
    pub(super) async fn next(&mut self, wait: Duration) -> Result<Update, ReadError> {
        let wait = match self.source {
            Source::Store => wait,
            Source::Shared => wait.min(SHARED_WAIT),
            Source::Relay(_) => RELAY_WAIT,
        };
        let wait = match self.checking {
            true => wait.min(CHECK_WAIT),
            false => wait,
        };
        let called = Instant::now();
        let mut read = self.follower.next(wait).await;
        self.checking &= read.is_err();
        let now = Instant::now();
        if let Ok(update) = &read {
            self.record_size(now.saturating_duration_since(called), &update.listing);
            self.record_first_read(now);
        }
        if self.gateway.record_store_era() {
            self.watches.connectivity_changed.notify();
        }
        match (&mut read, self.source) {
            (Ok(update), Source::Shared) => {
                let relay = &self.gateway.relay;
                relay.update(now, self.kind, update);
            }
            (Ok(_), Source::Relay(relay)) => {
                self.refusals.remove(&relay);
            }
            (Err(failed), Source::Shared) if failed.error.is_refusal() => {
                self.gateway.relay.suspend(self.kind);
            }
            (Err(_), Source::Store) => self.store_failed_at = Some(now),
            (Err(failed), Source::Relay(relay)) => {
                failed.pause = match self.store_failed_at {
                    Some(_) => failed.pause.min(OUTAGE_PAUSE),
                    // The next read is at another source.
                    None if failed.error.is_refusal() => SWITCH_PAUSE,
                    None => failed.pause,
                };
                self.record_relay_failure(now, relay, &failed.error);
            }
            _ => {}
        }
        if read.is_ok() {
            self.waiting_since = None;
            self.store_failed_at = None;
        }
        read
    }

    /// Returns whether this entry leaves the store to the relays after it has failed to read it too.
    ///
    /// After an outage for all, entries that read a large configuration at the same time would fill the link to the store.
    fn leaves_store(&self, now: Instant, relays: &Relays) -> bool {
        let (rank, _) = relays.rank(now);
        let patience = (OUTAGE_PATIENCE + PATIENCE_PER_RANK * rank as u32).min(MAX_OUTAGE_PATIENCE);
        let failed_recently = |at: Instant| now.saturating_duration_since(at) < patience;
        relays.has_relays(now) && self.store_failed_at.is_some_and(failed_recently)
    }

    /// Records why a relay did not return the kind.
    ///
    /// A relay that is still reading is asked again for a while. One that responds otherwise may serve other kinds.
    fn record_relay_failure(&mut self, now: Instant, relay: SocketAddr, error: &Error) {
        match error {
            Error::Reading { .. } if self.is_patient(now) => {}
            Error::Reading { .. } => {
                self.refusals.insert(relay, now);
            }
            error if error.is_refusal() => {
                self.refusals.insert(relay, now);
            }
            _ => self.gateway.relays.borrow_mut().record_failure(now, relay),
        }
    }

    /// Returns whether this reader goes on waiting for relays that are reading.
    fn is_patient(&mut self, now: Instant) -> bool {
        let patience = match self.unread_since {
            Some(_) => {
                let (rank, _) = self.gateway.relays.borrow().rank(now);
                FIRST_PATIENCE + PATIENCE_PER_RANK * rank as u32
            }
            None => READING_PATIENCE,
        };
        let since = *self.waiting_since.get_or_insert(now);
        now.saturating_duration_since(since) < patience
    }

    /// Logs how long after the start the kind was read for the first time.
    fn record_first_read(&mut self, now: Instant) {
        if let Some(since) = self.unread_since.take() {
            event!(
                event::FIRST_READ,
                kind = self.kind,
                source = self.source,
                ms = now.saturating_duration_since(since).as_millis()
            );
        }
    }

    /// Counts the bytes of a read that took `time`, and logs a large one.
    fn record_size(&self, time: Duration, listing: &Listing) {
        let metrics = &self.gateway.metrics;
        metrics.count_store_read(self.kind, self.source.label(), listing.bytes);
        if listing.bytes >= LARGE_READ_BYTES {
            event!(
                event::STORE_READ,
                kind = self.kind,
                source = self.source,
                bytes = listing.bytes,
                ms = time.as_millis(),
                revision = listing.revision.number
            );
        }
    }
}

fn client(gateway: &Gateway, source: Source) -> Client {
    let store = &gateway.store;
    match source {
        Source::Store | Source::Shared => {
            store.with_server(gateway.settings.platform, STORE_TIMEOUT)
        }
        Source::Relay(relay) => store.with_server(relay, RELAY_TIMEOUT),
    }
}

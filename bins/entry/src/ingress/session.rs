//! Reads the store's objects, as long as it is this entry's turn to do so.
//!
//! Other entries may pass them on; [`replica::Peers`] decides from their silence whether this one reads a kind itself.

mod turns;

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use node::time::{Uptime, uptime};
use node::{Backoff, Stalls, event};
use platform::{Follower, ReadError, Revision, Update};
use replica::Kind;

use super::exchange;
use super::gateway::Gateway;
use super::watches::Watches;
use turns::{Turn, Turns};

/// Wait of a watch of the configuration, as a fraction of the time after a store outage within which the deployment's
/// bounds must hold again. A call that the store never answers must end within that time.
const CONFIG_WAIT_FACTOR: f64 = 0.6;
/// Maximum wait of this watch in a domain whose other entries count on hearing the store through this one.
const MAX_SHARED_WAIT: Duration = Duration::from_millis(500);
/// Wait of a watch of the other kinds. It is long because every call has a cost.
const WATCH_WAIT: Duration = Duration::from_secs(29);
/// Wait of a watch that checks whether an earlier one missed a change.
const CHECK_WAIT: Duration = Duration::from_millis(500);
/// Pause between watches of targets at the store while targets are added or removed, or while other entries get them from
/// this one, so that changes arrive in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between watches of targets at the store while no target is added or removed and this entry reads for itself, as a
/// fraction of the time within which requests must stop going to a target that leaves.
const LONG_BATCH_FACTOR: f64 = 0.4;
/// Silence of the store after which it may have been away meanwhile.
const MAX_GAP: Duration = Duration::from_millis(1500);
/// Length of a read from which on it is logged, in bytes.
const LARGE_READ_BYTES: usize = 64 << 10;
/// Minimum and maximum pause after a failed call; the pause doubles with each failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Reads of all kinds from the store by this entry.
pub(super) struct Session<'a> {
    gateway: &'a Gateway,
    stalls: &'a RefCell<Stalls>,
    watches: Watches,
    /// When this session began.
    began: Uptime,
    turns: Turns,
    /// When the store was last heard, as far as it has been passed on.
    heard_at: Cell<Option<Uptime>>,
    /// Since when the store has answered without a failure.
    reached_since: Cell<Option<Uptime>>,
}

/// A reader of one kind.
struct Reader {
    kind: Kind,
    follower: Follower,
    /// Revision of the store up to which no change can have been missed, or is being checked for.
    checked: Revision,
    /// Whether the next read checks for changes up to `checked`.
    is_checking: bool,
    /// Whether the last read succeeded, so that a change arrives when it is made.
    is_current: bool,
}

impl<'a> Session<'a> {
    /// Returns a session that has read nothing yet.
    pub(super) fn new(gateway: &'a Gateway, stalls: &'a RefCell<Stalls>) -> Self {
        let session = Self {
            gateway,
            stalls,
            watches: Watches::default(),
            began: uptime(),
            turns: Turns::default(),
            heard_at: Cell::new(None),
            reached_since: Cell::new(None),
        };
        session.turns.update(gateway, session.began);
        session
    }

    /// Records that this entry knows the others of its domain, if there are any.
    ///
    /// Until then it reads the small kinds itself, and leaves the configuration.
    pub(super) fn start(&self) {
        let now = uptime();
        self.turns.start(now);
        self.turns.update(self.gateway, now);
    }

    /// Updates whose turn it is, and passes on that the store was heard. It must be called several times a second.
    pub(super) fn tick(&self) {
        self.turns.update(self.gateway, uptime());
        self.record_heard();
        if self.gateway.record_store_era() {
            self.watches.connectivity_changed.notify();
        }
    }

    /// Returns whether this entry can't be sure to know all changes of `kind`, and since when.
    pub(super) fn failing_since(&self, now: Uptime, kind: Kind) -> Option<Uptime> {
        let heard_at = self.gateway.objects.heard(kind).map(|heard| heard.at);
        let heard_at = heard_at.unwrap_or(self.began);
        let is_failing = match self.gateway.peers.borrow().are_many() {
            // Others may hear the store while this entry doesn't.
            true => now.saturating_sub(heard_at) >= MAX_GAP,
            false => [kind, Kind::Config]
                .iter()
                .any(|kind| self.turns.of(*kind).is_failing.get()),
        };
        is_failing.then_some(heard_at)
    }

    /// Reads `kind` whenever it is this entry's turn; never returns.
    pub(super) async fn follow(&self, kind: Kind) {
        let mut reader = Reader::new(self.gateway, kind);
        let turn = self.turns.of(kind);
        loop {
            let seen = turn.changed.count();
            if !turn.is_own.get() {
                reader.is_current = false;
                turn.changed.changed(seen).await;
                continue;
            }
            let may_read = || self.turns.may_read_config(self.gateway, uptime());
            if kind == Kind::Config && !reader.is_current && !may_read() {
                compio::time::sleep(exchange::SWITCH_PAUSE).await;
                continue;
            }
            turn.has_called.set(true);
            match self.read(&mut reader).await {
                Some(Ok(update)) => {
                    let pause = self.apply(&mut reader, &update);
                    compio::time::sleep(pause).await;
                }
                Some(Err(failed)) => {
                    reader.is_current = false;
                    self.record_result(kind, true);
                    let pace = self.gateway.peers.borrow().pace();
                    compio::time::sleep(failed.pause + pace).await;
                }
                None => {}
            }
        }
    }

    /// Reads the next update; returns `None` if a change of the store's connectivity or the end of the turn cancelled the call.
    ///
    /// A watch whose response may have been lost is replaced by a short one.
    async fn read(&self, reader: &mut Reader) -> Option<Result<Update, ReadError>> {
        let revision = self
            .gateway
            .objects
            .view(|replica| replica.revision(reader.kind));
        if let Some(revision) = revision {
            reader.follower.skip_to(revision);
        }
        let turn = self.turns.of(reader.kind);
        let seen = (
            self.watches.connectivity_changed.count(),
            turn.changed.count(),
        );
        loop {
            let wait = self.wait(reader);
            let known = reader.known().filter(|_| wait == WATCH_WAIT);
            let interruption = pin!(self.interruption(turn, seen, known));
            match select(pin!(reader.follower.next(wait)), interruption).await {
                Either::Left((read, _)) => {
                    reader.is_checking &= read.is_err();
                    return Some(read);
                }
                Either::Right((None, _)) => return None,
                Either::Right((Some(revision), _)) => {
                    reader.checked = revision;
                    reader.is_checking = true;
                }
            }
        }
    }

    /// Waits until a read is to be cancelled. Returns `None` if the store's connectivity or the turn has changed since the
    /// counts in `seen`, and the store's revision if its watch may have missed a change after `known`.
    async fn interruption(
        &self,
        turn: &Turn,
        seen: (u64, u64),
        known: Option<Revision>,
    ) -> Option<Revision> {
        let connectivity = pin!(self.watches.connectivity_changed.changed(seen.0));
        let turn = pin!(turn.changed.changed(seen.1));
        let overtaken = pin!(async {
            match known {
                Some(known) => self.watches.overtaken(known).await,
                None => std::future::pending().await,
            }
        });
        match select(select(connectivity, turn), overtaken).await {
            Either::Left(_) => None,
            Either::Right((revision, _)) => Some(revision),
        }
    }

    /// Returns the wait of the next watch. A kind that is read alone must itself show that the store responds.
    ///
    /// The first one doesn't wait: others learn from its response that this entry hears the store.
    fn wait(&self, reader: &Reader) -> Duration {
        if !reader.is_current {
            return Duration::ZERO;
        }
        let recovery = self.gateway.settings.bounds.store_recovery;
        let config_wait = recovery.mul_f64(CONFIG_WAIT_FACTOR);
        let heartbeat = match self.gateway.peers.borrow().are_many() {
            true => config_wait.min(MAX_SHARED_WAIT),
            false => config_wait,
        };
        match reader.kind {
            _ if reader.is_checking => CHECK_WAIT.min(heartbeat),
            Kind::Config => heartbeat,
            _ if self.turns.of(Kind::Config).is_own.get() || !self.turns.has_started() => {
                WATCH_WAIT
            }
            _ => heartbeat,
        }
    }

    /// Applies an update and returns the pause before the next read.
    fn apply(&self, reader: &mut Reader, update: &Update) -> Duration {
        let kind = reader.kind;
        let gateway = self.gateway;
        let listing = &update.listing;
        let bytes = listing.bytes;
        gateway.metrics.count_store_read(kind.name(), bytes);
        if bytes >= LARGE_READ_BYTES {
            event!(
                event::STORE_READ,
                kind = kind,
                bytes = bytes,
                revision = listing.revision.number
            );
        }
        let now = uptime();
        let written_after = match reader.is_current {
            true => Some(now.saturating_sub(self.stalls.borrow().unread_time(now))),
            // The change may have been made at any time since the kind was last heard.
            false => gateway.objects.view(|replica| replica.complete_at(kind)),
        };
        let (is_first, has_joined) = gateway.objects.view(|replica| {
            let mut names = listing.objects.iter().map(|object| &object.name);
            let has_joined = names.any(|name| !replica.holds(kind, name));
            (replica.revision(kind).is_none(), has_joined)
        });
        gateway
            .objects
            .apply(kind, update, written_after.filter(|_| !is_first));
        if !std::mem::replace(&mut reader.is_current, true) {
            self.announce();
        }
        self.record_result(kind, false);
        if kind == Kind::Config {
            self.watches.record_revision(listing.revision);
        }
        match kind {
            _ if listing.is_empty() => Duration::ZERO,
            Kind::Config => gateway.peers.borrow().pace(),
            Kind::Targets => self.batch_pause(has_joined || !listing.deleted.is_empty()),
            Kind::Versions | Kind::Evacuations => Duration::ZERO,
        }
    }

    /// Tells other entries that this one has begun to hear the store.
    fn announce(&self) {
        if self.gateway.peers.borrow().are_many() {
            self.gateway.reading_begun.notify();
        }
    }

    /// Returns the pause before the next watch of targets, in which changes are batched.
    fn batch_pause(&self, membership_changed: bool) -> Duration {
        let is_shared = self.gateway.peers.borrow().are_many();
        match is_shared || membership_changed {
            true => BATCH_INTERVAL,
            false => {
                let drain = self.gateway.settings.bounds.target_drain;
                drain.mul_f64(LONG_BATCH_FACTOR)
            }
        }
    }

    /// Records whether a read of `kind` failed.
    ///
    /// When the configuration's reads begin or cease to fail, the watches of the other kinds are cancelled, which would
    /// otherwise wait for a response that never arrives.
    fn record_result(&self, kind: Kind, is_failing: bool) {
        let has_changed = self.turns.of(kind).record_result(is_failing);
        if is_failing {
            self.reached_since.set(None);
        }
        if kind == Kind::Config && has_changed {
            self.watches.connectivity_changed.notify();
        }
        if self.gateway.record_store_era() {
            self.watches.connectivity_changed.notify();
        }
        self.record_heard();
    }

    /// Passes on that the store was heard, for all kinds that are followed there without a failure.
    fn record_heard(&self) {
        let Some(heard_at) = self.gateway.store.heard_at() else {
            return;
        };
        let last = self.heard_at.replace(Some(heard_at));
        if last == Some(heard_at) {
            return;
        }
        let is_continuous = last.is_some_and(|last| heard_at.saturating_sub(last) < MAX_GAP);
        let since = self.reached_since.get().filter(|_| is_continuous);
        self.reached_since.set(Some(since.unwrap_or(heard_at)));
        let kinds = Kind::ALL.into_iter();
        let followed = kinds.filter(|kind| self.turns.of(*kind).is_followed());
        let objects = &self.gateway.objects;
        objects.record_heard(heard_at, followed, self.reached_since.get());
    }
}

impl Reader {
    fn new(gateway: &Gateway, kind: Kind) -> Self {
        let backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
        Self {
            kind,
            follower: Follower::new(&gateway.store, kind.name(), backoff),
            checked: Revision::default(),
            is_checking: false,
            is_current: false,
        }
    }

    /// Returns the newest revision of the store up to which this reader knows all changes, or `None` if the next read must
    /// not be interrupted for newer ones.
    ///
    /// A first list, and a check itself, may take long at a slow store and would never end if each change interrupted them.
    fn known(&self) -> Option<Revision> {
        let newest = self.follower.newest();
        let interruptible = !self.is_checking && newest > Revision::default();
        interruptible.then(|| newest.max(self.checked))
    }
}

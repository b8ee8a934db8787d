//! Whose turn it is to read the store, as seen by this entry.

use std::cell::Cell;
use std::time::Duration;

use node::time::Uptime;
use node::{Notify, event};
use replica::{Kind, Peers};

use crate::ingress::exchange;
use crate::ingress::gateway::Gateway;

/// Time in which other entries can tell that they read the configuration, before one that takes their place does.
const ASKING_TIME: Duration = exchange::SWITCH_PAUSE.saturating_mul(3);

/// The turns of this entry for all kinds.
#[derive(Default)]
pub(super) struct Turns {
    /// Since when this entry knows the others of its domain.
    started: Cell<Option<Uptime>>,
    turns: [Turn; Kind::ALL.len()],
}

/// Whether this entry reads a kind from the store, and how the reads go.
#[derive(Default)]
pub(super) struct Turn {
    /// Whether it is this entry's turn to read the kind.
    pub(super) is_own: Cell<bool>,
    /// Whether it has called the store since the turn began.
    pub(super) has_called: Cell<bool>,
    /// Whether the last read failed.
    pub(super) is_failing: Cell<bool>,
    /// Whether a read has failed since the turn began.
    has_failed: Cell<bool>,
    /// Notified when the turn begins or ends.
    pub(super) changed: Notify,
}

impl Turns {
    /// Returns the turn of `kind`.
    pub(super) fn of(&self, kind: Kind) -> &Turn {
        &self.turns[kind.index()]
    }

    /// Records that this entry knows the others of its domain, if there are any.
    pub(super) fn start(&self, now: Uptime) {
        self.started.set(Some(now));
    }

    /// Returns whether this entry knows the others of its domain.
    pub(super) fn has_started(&self) -> bool {
        self.started.get().is_some()
    }

    /// Begins and ends turns.
    pub(super) fn update(&self, gateway: &Gateway, now: Uptime) {
        for kind in Kind::ALL {
            let is_own = self.is_own(gateway, now, kind);
            let turn = self.of(kind);
            if turn.is_own.replace(is_own) != is_own {
                turn.has_called.set(false);
                turn.is_failing.set(false);
                turn.has_failed.set(false);
                turn.changed.notify();
                event!(event::SOURCE_CHANGED, kind = kind, reads_store = is_own);
            }
        }
    }

    /// Returns whether this entry may begin to read the configuration.
    ///
    /// An entry that takes the place of others reads the small kinds first, and the configuration if no other entry has begun
    /// to read it when the store has been heard for a moment. After an outage for all, entries that read a large configuration
    /// at the same time would fill the link to the store.
    pub(super) fn may_read_config(&self, gateway: &Gateway, now: Uptime) -> bool {
        let peers = gateway.peers.borrow();
        if !peers.are_many() || peers.rank().0 == 0 {
            return true;
        }
        // Those before this one had their turn earlier, unless the store was away for all.
        let pace = match self.turns.iter().any(|turn| turn.has_failed.get()) {
            true => peers.pace(),
            false => Duration::ZERO,
        };
        let heard_for = gateway.objects.view(|replica| replica.heard_for(now));
        heard_for.is_some_and(|time| time >= ASKING_TIME + pace)
    }

    fn is_own(&self, gateway: &Gateway, now: Uptime, kind: Kind) -> bool {
        if kind == Kind::Evacuations && gateway.settings.bounds.evacuation.is_none() {
            return false;
        }
        let Some(started) = self.started.get() else {
            // The small kinds tell who the others are; these may have the configuration.
            return kind != Kind::Config;
        };
        let peers = gateway.peers.borrow();
        let [silence, lag] = self.silence_and_lag(gateway, &peers, now, kind);
        // Others have had no chance to tell more before this entry knew them.
        let known_for = now.saturating_sub(started);
        peers.reads_store(silence.min(known_for), lag.min(known_for))
    }

    /// Returns for how long others have not heard the store for `kind`, and for how long they have not known all of it.
    fn silence_and_lag(
        &self,
        gateway: &Gateway,
        peers: &Peers,
        now: Uptime,
        kind: Kind,
    ) -> [Duration; 2] {
        // An entry that reads goes on unless another one before it does, too.
        let is_own = self.of(kind).is_own.get();
        let counts = |entry| !is_own || peers.is_preceded_by(entry);
        let times = gateway.objects.view(|replica| {
            let silence = replica.silence_of_others(now, kind, counts);
            [silence, replica.lag_of_others(now, kind)]
        });
        times.map(|time| time.unwrap_or(Duration::MAX))
    }
}

impl Turn {
    /// Records whether a read failed; returns whether that has changed.
    pub(super) fn record_result(&self, is_failing: bool) -> bool {
        self.has_failed.set(self.has_failed.get() || is_failing);
        self.is_failing.replace(is_failing) != is_failing
    }

    /// Returns whether changes of the kind reach this entry from the store as soon as they are made.
    pub(super) fn is_followed(&self) -> bool {
        self.has_called.get() && !self.is_failing.get()
    }
}

//! Follows a kind at the place from which this entry reads it now.

use std::time::{Duration, Instant};

use node::{Backoff, event};
use platform::{Client, Follower, ReadError, Update};

use super::gateway::Gateway;
use super::relays::Source;

/// Time allowed for a call of the store, beside the wait of a watch.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// The same for a call of another entry of the domain.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait of one watch at another entry: one that is frozen is noticed within it.
const RELAY_WAIT: Duration = Duration::from_millis(700);
/// Longest wait of one watch at the store whose answers go to other entries, which would wait as long if the connection
/// fell silent.
const SHARED_WAIT: Duration = Duration::from_secs(3);
/// Bounds of the pause after a failed call; it doubles with each failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// A follower of one kind that changes its place with [`Source`].
pub(super) struct Reader<'a> {
    gateway: &'a Gateway,
    kind: &'static str,
    follower: Follower,
    source: Source,
}

impl<'a> Reader<'a> {
    /// Returns a reader that has read nothing of `kind`.
    pub(super) fn new(gateway: &'a Gateway, kind: &'static str) -> Self {
        let backoff = Backoff::new(PAUSE.0, PAUSE.1);
        Self {
            gateway,
            kind,
            follower: Follower::new(&client(gateway, Source::Store), kind, backoff),
            source: Source::Store,
        }
    }

    /// Tells whether the last read failed.
    pub(super) fn is_failing(&self) -> bool {
        self.follower.is_failing()
    }

    /// Chooses where to read next, and returns the place.
    pub(super) fn choose(&mut self, now: Instant) -> Source {
        let source = self.gateway.relays.borrow().source(now);
        if source == self.source {
            return source;
        }
        if self.source == Source::Shared {
            self.gateway.relay.withdraw(self.kind);
        }
        if source == Source::Shared {
            // Others may ask for all objects, not only for those that change from now on.
            self.follower.restart();
        }
        event!(event::SOURCE_CHANGED, kind = self.kind, source = source);
        self.follower.set_client(&client(self.gateway, source));
        self.source = source;
        source
    }

    /// Reads on at the chosen place; `wait` is the wait of a watch at the store.
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
        let read = self.follower.next(wait).await;
        match (&read, self.source) {
            (Ok(update), Source::Shared) => {
                let relay = &self.gateway.relay;
                relay.take(Instant::now(), self.kind, update);
            }
            (Err(_), Source::Relay(relay)) => {
                let mut relays = self.gateway.relays.borrow_mut();
                relays.failed(Instant::now(), relay);
            }
            _ => {}
        }
        read
    }
}

fn client(gateway: &Gateway, source: Source) -> Client {
    match source {
        Source::Store | Source::Shared => Client::new(gateway.settings.platform, STORE_TIMEOUT),
        Source::Relay(relay) => Client::new(relay, RELAY_TIMEOUT),
    }
}

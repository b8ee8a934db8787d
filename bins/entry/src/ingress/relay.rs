//! Serves other entries of the domain what this one reads from the store, in the form of the store's own calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use node::Notify;
use node::http::{self, Body, Limits, Request, Response, StatusCode, response};
use platform::wire::{self, Call};
use platform::{Mirror, Update};

/// Age of the last answer of the store from which this entry is no source for others.
const LONGEST_SILENCE: Duration = Duration::from_millis(1400);
/// Age of the last read of a kind from which it isn't passed on: each watch ends within it.
const OLDEST_READ: Duration = Duration::from_millis(4500);
/// Longest wait of a call.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Time between two looks whether the store still answers.
const LOOK: Duration = Duration::from_millis(200);

/// What this entry read of each kind.
#[derive(Default)]
pub(super) struct Relay {
    mirrors: RefCell<BTreeMap<&'static str, Passed>>,
    /// When the store last answered this entry itself.
    confirmed: Cell<Option<Instant>>,
    changed: Notify,
}

/// A kind, and when it was last read.
struct Passed {
    mirror: Mirror,
    read: Instant,
}

impl Relay {
    /// Takes what was read of `kind`.
    pub(super) fn take(&self, now: Instant, kind: &'static str, update: &Update) {
        let mut mirrors = self.mirrors.borrow_mut();
        let passed = mirrors.entry(kind).or_insert(Passed {
            mirror: Mirror::default(),
            read: now,
        });
        passed.mirror.apply(update);
        passed.read = now;
        drop(mirrors);
        self.changed.notify();
    }

    /// Notes an answer of the store.
    pub(super) fn confirm(&self, now: Instant) {
        self.confirmed.set(Some(now));
    }

    /// Ends the service of `kind` for others: this entry doesn't read it in the store any more.
    pub(super) fn withdraw(&self, kind: &str) {
        self.mirrors.borrow_mut().remove(kind);
        self.changed.notify();
    }

    /// Tells whether this entry passes on what it reads of `kind`.
    pub(super) fn passes_on(&self, now: Instant, kind: &str) -> bool {
        self.read(now, kind, |_| ()).is_some()
    }

    /// Returns what `get` finds in the mirror of `kind`, if that is known to be as the store has it.
    fn read<T>(&self, now: Instant, kind: &str, get: impl FnOnce(&Mirror) -> T) -> Option<T> {
        let confirmed = self.confirmed.get()?;
        let mirrors = self.mirrors.borrow();
        let passed = mirrors.get(kind)?;
        let fresh = now.saturating_duration_since(confirmed) < LONGEST_SILENCE
            && now.saturating_duration_since(passed.read) < OLDEST_READ;
        fresh.then(|| get(&passed.mirror))
    }

    async fn answer(&self, request: &Request<Bytes>) -> Response<Body> {
        match Call::parse(request) {
            Some(Call::List { kind }) => self.list(&kind),
            Some(Call::Watch { kind, after, wait }) => self.watch(&kind, after, wait).await,
            _ => response(
                StatusCode::NOT_FOUND,
                "an entry passes on lists and watches\n",
            ),
        }
    }

    fn list(&self, kind: &str) -> Response<Body> {
        match self.read(Instant::now(), kind, Mirror::list).flatten() {
            Some(listing) => wire::list_response(&listing),
            None => unconfirmed(),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        let end = Instant::now() + wait.min(LONGEST_WAIT);
        loop {
            let now = Instant::now();
            let seen = self.changed.count();
            match self.read(now, kind, |mirror| mirror.changes(after)) {
                None => return unconfirmed(),
                Some(None) => return response(StatusCode::GONE, ""),
                Some(Some(changes)) if now >= end || !changes.is_empty() => {
                    return wire::watch_response(&changes);
                }
                Some(Some(_)) => {}
            }
            let look = end.min(now + LOOK);
            let _ = compio::time::timeout_at(look, self.changed.changed(seen)).await;
        }
    }
}

/// Serves other entries; never returns.
pub(super) async fn serve(listener: TcpListener, relay: Rc<Relay>) {
    let handler = move |_: SocketAddr, request: Request<Bytes>| {
        let relay = Rc::clone(&relay);
        async move { relay.answer(&request).await }
    };
    let limits = Limits {
        max_body_bytes: 0,
        ..Limits::default()
    };
    http::serve(listener, limits, handler, std::future::pending()).await;
}

fn unconfirmed() -> Response<Body> {
    response(
        StatusCode::SERVICE_UNAVAILABLE,
        "this entry doesn't read the store, or the store doesn't answer it\n",
    )
}

//! Serves the objects that this entry reads from the store to other entries of the domain, through the store's own API.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use node::Notify;
use node::http::{self, Body, Limits, Metrics, Request, Response, StatusCode, response};
use platform::wire::{self, Call};
use platform::{Mirror, Update};

/// Age of the store's last response at which this entry stops serving other entries.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1400);
/// Age of the last read of a kind at which this entry stops serving the kind. Every watch ends within this time.
const MAX_READ_AGE: Duration = Duration::from_millis(4500);
/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time for which a call waits for objects that are still being read; shorter than the timeout of the caller.
const READING_WAIT: Duration = Duration::from_millis(300);
/// Interval between checks that the store still responds.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Mirrors of the object kinds that this entry reads from the store for other entries.
///
/// Only mirrors of the newest era are served, and all responses report it.
#[derive(Default)]
pub(super) struct Relay {
    mirrors: RefCell<BTreeMap<&'static str, SharedKind>>,
    /// When the store last responded to this entry itself.
    last_response: Cell<Option<Instant>>,
    /// Since when the store has responded to this entry without a failure.
    reached_since: Cell<Option<Instant>>,
    /// Newest era of the store.
    era: Cell<u64>,
    /// Whether this entry does not know yet which entries of the domain read the store.
    starting: Cell<bool>,
    /// Kinds that this entry is reading from the store for other entries, and has not read yet.
    reading: RefCell<BTreeSet<&'static str>>,
    changed: Notify,
}

/// The mirror of a kind, and when the kind was last read.
struct SharedKind {
    mirror: Mirror,
    /// `None` after the store has refused a read.
    read_at: Option<Instant>,
}

impl Relay {
    /// Records that this entry begins to find out which entries of the domain read the store.
    pub(super) fn begin_start(&self) {
        self.starting.set(true);
    }

    /// Records that this entry knows whether it reads the store for others.
    pub(super) fn end_start(&self) {
        self.starting.set(false);
        self.changed.notify();
    }

    /// Records that this entry begins to read `kind` from the store for other entries.
    pub(super) fn begin_reading(&self, kind: &'static str) {
        self.reading.borrow_mut().insert(kind);
    }

    /// Applies an update of `kind` to its mirror.
    pub(super) fn update(&self, now: Instant, kind: &'static str, update: &Update) {
        let mut mirrors = self.mirrors.borrow_mut();
        let shared = mirrors.entry(kind).or_insert(SharedKind {
            mirror: Mirror::default(),
            read_at: None,
        });
        shared.mirror.apply(update);
        shared.read_at = Some(now);
        drop(mirrors);
        self.reading.borrow_mut().remove(kind);
        self.changed.notify();
    }

    /// Sets the newest era of the store; objects of earlier eras are no longer served.
    pub(super) fn set_era(&self, era: u64) {
        if self.era.replace(era) != era {
            self.record_gap();
            self.changed.notify();
        }
    }

    /// Records that the store refused a call: other entries are turned away from now on.
    pub(super) fn record_refusal(&self) {
        self.record_gap();
        if self.last_response.take().is_some() {
            self.changed.notify();
        }
    }

    /// Records that the store responded.
    pub(super) fn record_response(&self, now: Instant) {
        // After a longer silence, for example of a frozen process, the store may have been away meanwhile.
        let continuous = self
            .last_response
            .replace(Some(now))
            .is_some_and(|last| now.saturating_duration_since(last) < MAX_STORE_SILENCE);
        let since = self.reached_since.get().filter(|_| continuous);
        self.reached_since.set(Some(since.unwrap_or(now)));
    }

    /// Records that the store did not respond, came back from an older copy, or is not read for others, so that this entry
    /// can't tell whether it was away.
    pub(super) fn record_gap(&self) {
        self.reached_since.set(None);
    }

    /// Stops serving `kind` until it has been read again.
    pub(super) fn suspend(&self, kind: &str) {
        if let Some(shared) = self.mirrors.borrow_mut().get_mut(kind) {
            shared.read_at = None;
        }
        self.changed.notify();
    }

    /// Stops serving `kind`, which this entry no longer reads from the store.
    pub(super) fn remove(&self, kind: &str) {
        self.mirrors.borrow_mut().remove(kind);
        self.reading.borrow_mut().remove(kind);
        self.changed.notify();
    }

    /// Returns whether this entry serves `kind` to other entries.
    pub(super) fn is_serving(&self, now: Instant, kind: &str) -> bool {
        self.read(now, kind, |_| ()).is_some()
    }

    /// Calls `get` with the mirror of `kind` if the mirror is known to be up to date.
    fn read<T>(&self, now: Instant, kind: &str, get: impl FnOnce(&Mirror) -> T) -> Option<T> {
        let last_response = self.last_response.get()?;
        let mirrors = self.mirrors.borrow();
        let shared = mirrors.get(kind)?;
        let read_at = shared.read_at?;
        let fresh = shared.mirror.era() == Some(self.era.get())
            && now.saturating_duration_since(last_response) < MAX_STORE_SILENCE
            && now.saturating_duration_since(read_at) < MAX_READ_AGE;
        fresh.then(|| get(&shared.mirror))
    }

    async fn answer(&self, request: &Request<Bytes>) -> Response<Body> {
        let response = match Call::parse(request) {
            Some(Call::List { kind }) => self.list(&kind).await,
            Some(Call::Watch { kind, after, wait }) => self.watch(&kind, after, wait).await,
            _ => response(
                StatusCode::NOT_FOUND,
                "an entry passes on lists and watches\n",
            ),
        };
        let response = wire::with_era(response, self.era.get());
        match self.reached_since.get() {
            Some(since) => wire::with_reached_for(response, since.elapsed()),
            None => response,
        }
    }

    /// Returns whether this entry will have `kind` soon, as far as it knows.
    fn is_reading(&self, kind: &str) -> bool {
        self.starting.get() || self.reading.borrow().contains(kind)
    }

    async fn list(&self, kind: &str) -> Response<Body> {
        let end = Instant::now() + READING_WAIT;
        loop {
            let now = Instant::now();
            let seen = self.changed.count();
            if let Some(listing) = self.read(now, kind, Mirror::list).flatten() {
                return wire::list_response(&listing);
            }
            if !self.is_reading(kind) {
                return unavailable();
            }
            if now >= end {
                return wire::with_reading(unavailable());
            }
            let _ = compio::time::timeout_at(end, self.changed.changed(seen)).await;
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        let called = Instant::now();
        let end = called + wait.min(MAX_WAIT);
        let reading_end = called + READING_WAIT;
        let era = self.era.get();
        loop {
            let now = Instant::now();
            let seen = self.changed.count();
            if self.era.get() != era {
                // The watched revision is one of an earlier era.
                return response(StatusCode::GONE, "");
            }
            match self.read(now, kind, |mirror| mirror.changes(after)) {
                None if !self.is_reading(kind) => return unavailable(),
                None if now >= reading_end => return wire::with_reading(unavailable()),
                None => {}
                Some(None) => return response(StatusCode::GONE, ""),
                Some(Some(changes)) if now >= end || !changes.is_empty() => {
                    return wire::watch_response(&changes);
                }
                Some(Some(_)) => {}
            }
            let recheck = end.min(now + RECHECK_INTERVAL);
            let _ = compio::time::timeout_at(recheck, self.changed.changed(seen)).await;
        }
    }
}

/// Serves lists and watches to other entries; never returns.
pub(super) async fn serve(listener: TcpListener, relay: Rc<Relay>, metrics: Metrics) {
    let handler = move |_: SocketAddr, request: Request<Bytes>| {
        let relay = Rc::clone(&relay);
        async move { relay.answer(&request).await }
    };
    // Every entry and agent of the domain has several connections here, most of them in a watch.
    let limits = Limits {
        port: "entries",
        metrics,
        ..Limits::default()
    };
    http::serve(listener, limits, handler, std::future::pending()).await;
}

fn unavailable() -> Response<Body> {
    response(
        StatusCode::SERVICE_UNAVAILABLE,
        "this entry doesn't read the store, or the store doesn't answer it\n",
    )
}

//! States of a gate, and guards of requests in progress.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use weights::Pin;

/// A gate in one of its states.
///
/// Each state is a separate type, so that only [`Open`] can admit a request and a drain can end only when no request is
/// in progress.
#[derive(Debug)]
pub enum Gate {
    /// No request is admitted.
    Closed(Closed),
    /// Requests for the pin are admitted.
    Open(Open),
    /// Requests in progress finish, and no request is admitted.
    Draining(Draining),
}

/// State in which no request is admitted.
#[derive(Debug, Default)]
pub struct Closed(());

/// State in which requests for one pin are admitted.
#[derive(Debug)]
pub struct Open {
    pin: Option<Pin>,
}

/// State in which requests in progress finish.
#[derive(Debug)]
pub struct Draining {
    pin: Option<Pin>,
    since: Instant,
}

/// Number of requests in progress on a target.
#[derive(Clone, Debug, Default)]
pub struct InFlightCount(Rc<Cell<u32>>);

/// Guard of a request in progress; dropping it decreases the number of requests.
#[derive(Debug)]
pub struct InFlightGuard {
    pin: Option<Pin>,
    calls: InFlightCount,
}

/// Why a request was not admitted. Nothing was written to the backend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Refusal {
    /// The gate is closed.
    #[error("closed")]
    Closed,
    /// The request is for other weights than those in service.
    #[error("version")]
    Version,
    /// The target is draining to switch versions.
    #[error("draining")]
    Draining,
    /// The target is leaving.
    #[error("leaving")]
    Leaving,
}

impl Gate {
    /// Returns the pin of the requests that are admitted or drained; `None` for plain backends and closed gates.
    pub fn pin(&self) -> Option<&Pin> {
        match self {
            Self::Closed(_) => None,
            Self::Open(open) => open.pin.as_ref(),
            Self::Draining(draining) => draining.pin.as_ref(),
        }
    }

    /// Closes the gate without a drain; requests in progress keep their guards.
    pub fn close(self) -> Self {
        Self::Closed(match self {
            Self::Closed(closed) => closed,
            Self::Open(open) => open.close(),
            Self::Draining(draining) => draining.close(),
        })
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self::Closed(Closed::default())
    }
}

impl Closed {
    /// Opens the gate for requests with exactly `pin`.
    pub fn open(self, pin: Option<Pin>) -> Open {
        Open { pin }
    }
}

impl Open {
    /// Returns the pin in service; `None` for plain backends.
    pub fn pin(&self) -> Option<&Pin> {
        self.pin.as_ref()
    }

    /// Admits a request for the pin in service.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Version`] if the pins differ.
    pub fn admit(
        &self,
        pin: Option<&Pin>,
        calls: &InFlightCount,
    ) -> Result<InFlightGuard, Refusal> {
        if pin != self.pin.as_ref() {
            return Err(Refusal::Version);
        }
        Ok(calls.start(self.pin.clone()))
    }

    /// Stops admission and starts a drain of the requests in progress.
    pub fn drain(self, now: Instant) -> Draining {
        Draining {
            pin: self.pin,
            since: now,
        }
    }

    /// Closes the gate without a drain.
    pub fn close(self) -> Closed {
        Closed::default()
    }
}

impl Draining {
    /// Returns the pin of the requests that are drained; `None` for plain backends.
    pub fn pin(&self) -> Option<&Pin> {
        self.pin.as_ref()
    }

    /// Returns the start of the drain.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Ends the drain if no request is in progress.
    ///
    /// # Errors
    ///
    /// Returns the state unchanged if requests are in progress.
    pub fn finish(self, calls: &InFlightCount) -> Result<Closed, Self> {
        if calls.is_idle() {
            Ok(Closed::default())
        } else {
            Err(self)
        }
    }

    /// Aborts the drain and admits requests again.
    pub fn reopen(self) -> Open {
        Open { pin: self.pin }
    }

    /// Closes the gate without waiting for requests in progress.
    pub fn close(self) -> Closed {
        Closed::default()
    }
}

impl InFlightCount {
    /// Returns the number of requests in progress.
    pub fn count(&self) -> u32 {
        self.0.get()
    }

    /// Returns whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.count() == 0
    }

    fn start(&self, pin: Option<Pin>) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard {
            pin,
            calls: self.clone(),
        }
    }
}

impl InFlightGuard {
    /// Returns the pin under which the request was admitted; `None` for plain backends.
    pub fn pin(&self) -> Option<&Pin> {
        self.pin.as_ref()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.calls.0.set(self.calls.0.get() - 1);
    }
}

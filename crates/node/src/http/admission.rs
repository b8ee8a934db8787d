//! Memory and connections of one port: waits for memory, tells bodies and connections to give way, counts and logs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;

use super::connections::{ConnectionId, Connections, Phase};
use super::intake::{BodyId, Bounds, Intake};
use super::metrics::Metrics;
use crate::{Notify, event};

/// Maximum time that a body waits for memory before it is refused; clients give up after a second at the earliest.
const MAX_WAIT: Duration = Duration::from_millis(900);
/// Interval between attempts to reserve memory while no other body releases any.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two events of a kind at one port.
const EVENT_INTERVAL: Duration = Duration::from_millis(500);

/// Why the server itself refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The head is too large.
    Head,
    /// The body is too large.
    TooLarge,
    /// The body didn't arrive in time.
    Late,
    /// The body stood still while others needed its memory.
    Stalled,
    /// There is no memory for the body.
    Memory,
    /// The body is malformed or was cut off.
    Malformed,
}

impl Reason {
    /// Returns the status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Head => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late | Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::Memory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::TooLarge => "size",
            Self::Late => "late",
            Self::Stalled => "stalled",
            Self::Memory => "memory",
            Self::Malformed => "malformed",
        }
    }
}

/// The connections of one port and the bodies that they hold.
pub struct Admission {
    port: &'static str,
    metrics: Metrics,
    intake: RefCell<Intake>,
    connections: RefCell<Connections>,
    max_heads: usize,
    /// Notified when a body releases memory.
    released: Notify,
    readers: RefCell<HashMap<BodyId, Rc<Notify>>>,
    closing: RefCell<HashMap<ConnectionId, (SocketAddr, Rc<Notify>)>>,
    refusals: Throttle,
    closures: Throttle,
}

/// Limits how often an event is logged, and counts what was left out.
#[derive(Default)]
struct Throttle {
    last: Cell<Option<Instant>>,
    left_out: Cell<u64>,
}

/// An open connection; dropping it removes it from the port's connections.
pub struct Connection {
    admission: Rc<Admission>,
    id: ConnectionId,
    peer: SocketAddr,
    told: Rc<Notify>,
    /// Whether a request was refused, so that bytes of it may still arrive.
    refused: Cell<bool>,
}

/// Memory of a body; dropping it releases the memory.
pub struct Reservation {
    admission: Rc<Admission>,
    id: BodyId,
    told: Rc<Notify>,
}

/// A request in progress; dropping it ends the request.
pub struct RequestGuard {
    connection: Rc<Connection>,
    /// Memory of the request's body, which is kept until the request has ended.
    reservation: Option<Reservation>,
}

impl Throttle {
    /// Returns how many events were left out before this one, or `None` if this one must be left out.
    fn pass(&self, now: Instant) -> Option<u64> {
        let last = self.last.get();
        if last.is_some_and(|last| now.saturating_duration_since(last) < EVENT_INTERVAL) {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.left_out.take())
    }
}

impl Admission {
    /// Returns the admission of a port without connections. `max_heads` is the number of unfinished heads above which the
    /// ones that stand still are closed.
    pub fn new(port: &'static str, bounds: Bounds, max_heads: usize, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            port,
            metrics,
            intake: RefCell::new(Intake::new(bounds)),
            connections: RefCell::new(Connections::new(bounds.stall)),
            max_heads,
            released: Notify::default(),
            readers: RefCell::default(),
            closing: RefCell::default(),
            refusals: Throttle::default(),
            closures: Throttle::default(),
        })
    }

    /// Adds a connection from `peer`.
    pub fn connect(self: &Rc<Self>, peer: SocketAddr) -> Rc<Connection> {
        let id = self.connections.borrow_mut().open(Instant::now());
        let told = Rc::new(Notify::default());
        let entry = (peer, Rc::clone(&told));
        self.closing.borrow_mut().insert(id, entry);
        self.update_metrics();
        Rc::new(Connection {
            admission: Rc::clone(self),
            id,
            peer,
            told,
            refused: Cell::new(false),
        })
    }

    /// Returns whether connections may have to be closed even if none is waiting to be accepted.
    pub fn needs_checks(&self) -> bool {
        self.connections.borrow().count() > self.max_heads
    }

    /// Tells a connection that stands still to close, if the port is `full` or has too many unfinished heads.
    pub fn relieve(&self, full: bool, now: Instant) {
        let mut connections = self.connections.borrow_mut();
        let chosen = if full {
            connections.stalled(now)
        } else {
            while connections.heads() > self.max_heads
                && let Some((id, phase)) = connections.stalled_head(now)
            {
                self.tell_to_close(id, phase, now);
            }
            None
        };
        if let Some((id, phase)) = chosen {
            self.tell_to_close(id, phase, now);
        }
    }

    fn tell_to_close(&self, id: ConnectionId, phase: Phase, now: Instant) {
        self.metrics.count_closure(self.port, phase.name());
        let closing = self.closing.borrow();
        let Some((peer, told)) = closing.get(&id) else {
            return;
        };
        told.notify();
        if let Some(left_out) = self.closures.pass(now) {
            event!(
                event::CONNECTION_EVICTED,
                port = self.port,
                peer = peer,
                phase = phase.name(),
                left_out = left_out
            );
        }
    }

    fn update_metrics(&self) {
        let (bodies, bytes) = self.intake.borrow().usage();
        let connections = self.connections.borrow().count();
        self.metrics
            .set_usage(self.port, connections, bodies, bytes);
    }
}

impl Connection {
    /// Resolves once the connection must be closed.
    pub async fn closing(&self) {
        self.told.changed(0).await;
    }

    /// Records that bytes have arrived.
    pub fn receive(&self) {
        let mut connections = self.admission.connections.borrow_mut();
        connections.receive(self.id, Instant::now());
    }

    /// Records the phase of the connection.
    pub fn enter(&self, phase: Phase) {
        let mut connections = self.admission.connections.borrow_mut();
        connections.enter(self.id, phase, Instant::now());
    }

    /// Returns a reservation for the body of the next request.
    pub fn reservation(&self) -> Reservation {
        let admission = Rc::clone(&self.admission);
        let id = admission
            .intake
            .borrow_mut()
            .open(self.peer.ip(), Instant::now());
        let told = Rc::new(Notify::default());
        admission.readers.borrow_mut().insert(id, Rc::clone(&told));
        Reservation {
            admission,
            id,
            told,
        }
    }

    /// Begins a request whose body is complete.
    pub fn begin(self: &Rc<Self>, reservation: Option<Reservation>) -> RequestGuard {
        self.enter(Phase::Busy);
        if let Some(reservation) = &reservation {
            let mut intake = self.admission.intake.borrow_mut();
            intake.complete(reservation.id);
        }
        RequestGuard {
            connection: Rc::clone(self),
            reservation,
        }
    }

    /// Counts and logs a refusal by the server itself.
    pub fn refuse(&self, reason: Reason) {
        self.refused.set(true);
        let admission = &self.admission;
        admission
            .metrics
            .count_refusal(admission.port, reason.name());
        if let Some(left_out) = admission.refusals.pass(Instant::now()) {
            event!(
                event::CALLER_REFUSED,
                port = admission.port,
                peer = self.peer,
                reason = reason.name(),
                status = reason.status().as_u16(),
                left_out = left_out
            );
        }
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether a request was refused.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }
}

impl Reservation {
    /// Reserves `bytes` in all and waits until the limits allow it.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::Memory`] if there is no memory in time, and with [`Reason::Stalled`] if the body must give way.
    pub async fn grow(&self, bytes: usize) -> Result<(), Reason> {
        let end = Instant::now() + MAX_WAIT;
        loop {
            if self.told.count() > 0 {
                return Err(Reason::Stalled);
            }
            let seen = self.admission.released.count();
            let now = Instant::now();
            let reserved = self
                .admission
                .intake
                .borrow_mut()
                .reserve(self.id, bytes, now);
            if reserved {
                self.admission.update_metrics();
                return Ok(());
            }
            if now >= end {
                return Err(Reason::Memory);
            }
            self.admission.make_room(bytes, now);
            let retry = end.min(now + RETRY_INTERVAL);
            let released = self.admission.released.changed(seen);
            let _ = compio::time::timeout_at(retry, released).await;
        }
    }

    /// Records that `bytes` of the body have arrived, and returns whether they count as progress.
    pub fn receive(&self, bytes: usize) -> bool {
        let mut intake = self.admission.intake.borrow_mut();
        intake.receive(self.id, bytes, Instant::now())
    }

    /// Resolves once the body must give way.
    pub async fn yielding(&self) {
        self.told.changed(0).await;
    }
}

impl Admission {
    fn make_room(&self, bytes: usize, now: Instant) {
        let yielding = self.intake.borrow_mut().yielding_body(bytes, now);
        let readers = self.readers.borrow();
        if let Some(told) = yielding.and_then(|id| readers.get(&id)) {
            told.notify();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.admission.intake.borrow_mut().close(self.id);
        self.admission.readers.borrow_mut().remove(&self.id);
        self.admission.update_metrics();
        self.admission.released.notify();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.reservation = None;
        self.connection.enter(Phase::Idle);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.admission.connections.borrow_mut().close(self.id);
        self.admission.closing.borrow_mut().remove(&self.id);
        self.admission.update_metrics();
    }
}

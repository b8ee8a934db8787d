//! Memory of request bodies at one port: who may hold how much, and which body gives way.
//!
//! Decides without I/O and without a clock of its own; [`super::admission`] carries the decisions out.
//!
//! A body reserves its memory before it is read. Small bodies may use all of the capacity, larger ones three quarters of
//! it and half of it for one address, so that few callers can't take all. One body at a time may grow beyond these limits
//! up to the limit on its size: a body of the legal size is served even if the capacity is smaller, and of many unfinished
//! bodies that wait for each other's memory one can always finish.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Size in bytes up to which a body may use the whole capacity; most requests are smaller.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// Memory counted for each body in addition to its bytes.
const BODY_OVERHEAD_BYTES: usize = 512;

/// Bytes that must arrive for a body to count as making progress, so that single bytes don't keep it from giving way.
const PROGRESS_BYTES: usize = 1 << 10;

/// Number of a body, unique within one [`Intake`].
pub type BodyId = u64;

/// Limits on the memory of bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Memory for all bodies together, in bytes, except the one that may exceed it.
    pub capacity: usize,
    /// Time without progress after which an unfinished body gives way if others need its memory.
    pub stall: Duration,
}

/// The bodies of one port that are being received or belong to a request in progress.
#[derive(Debug)]
pub struct Intake {
    bounds: Bounds,
    bodies: BTreeMap<BodyId, Held>,
    next: BodyId,
    /// Bytes reserved by all bodies except [`Intake::exempt`].
    reserved: usize,
    by_peer: HashMap<IpAddr, usize>,
    /// The body that may exceed the capacity.
    exempt: Option<BodyId>,
    /// Bytes of bodies that were told to give way and haven't been closed yet.
    yielding: usize,
}

/// Memory that a body holds.
#[derive(Debug)]
struct Held {
    peer: IpAddr,
    bytes: usize,
    /// Bytes received since `progress`.
    received: usize,
    progress: Instant,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Receiving,
    /// Received in part, and waiting for memory; it makes no progress because of this process, not of its caller.
    Waiting,
    Yielding,
    Complete,
}

impl Intake {
    /// Returns an intake without bodies.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            bodies: BTreeMap::new(),
            next: 0,
            reserved: 0,
            by_peer: HashMap::new(),
            exempt: None,
            yielding: 0,
        }
    }

    /// Adds a body from `peer` that holds no memory yet.
    pub fn open(&mut self, peer: IpAddr, now: Instant) -> BodyId {
        let id = self.next;
        self.next += 1;
        let held = Held {
            peer,
            bytes: 0,
            received: 0,
            progress: now,
            state: State::Receiving,
        };
        self.bodies.insert(id, held);
        id
    }

    /// Reserves `bytes` in all for the body `id`, and returns whether the limits allow it. If not, the body waits.
    pub fn reserve(&mut self, id: BodyId, bytes: usize, now: Instant) -> bool {
        let total = bytes + BODY_OVERHEAD_BYTES;
        let held = self.bodies.get(&id);
        let Some(held) = held.filter(|held| held.state != State::Yielding) else {
            return false;
        };
        let (peer, own) = (held.peer, held.bytes);
        if self.exempt != Some(id) {
            if !self.fits(peer, own, total) {
                if self.exempt.is_some() {
                    self.set_state(id, State::Waiting);
                    return false;
                }
                self.count(peer, own, 0);
                self.exempt = Some(id);
            } else {
                self.count(peer, own, total);
            }
        }
        if let Some(held) = self.bodies.get_mut(&id) {
            held.bytes = total;
            if held.state == State::Waiting {
                held.state = State::Receiving;
                held.progress = now;
            }
        }
        true
    }

    /// Records that `bytes` of the body `id` have arrived, and returns whether they count as progress.
    pub fn receive(&mut self, id: BodyId, bytes: usize, now: Instant) -> bool {
        let Some(held) = self.bodies.get_mut(&id) else {
            return false;
        };
        held.received += bytes;
        let progress = held.received >= PROGRESS_BYTES;
        if progress {
            held.received = 0;
            held.progress = now;
        }
        progress
    }

    /// Records that the body `id` has arrived in whole; it no longer gives way.
    pub fn complete(&mut self, id: BodyId) {
        self.set_state(id, State::Complete);
    }

    /// Removes the body `id` and releases its memory.
    pub fn close(&mut self, id: BodyId) {
        let Some(held) = self.bodies.remove(&id) else {
            return;
        };
        if held.state == State::Yielding {
            self.yielding -= held.bytes;
        }
        if self.exempt == Some(id) {
            self.exempt = None;
        } else {
            self.count(held.peer, held.bytes, 0);
        }
    }

    /// Returns a body that must give way so that `bytes` can be reserved: the one that has stood still longest, at least
    /// for the stall time. Returns `None` while earlier ones are still to release as much.
    pub fn yielding_body(&mut self, bytes: usize, now: Instant) -> Option<BodyId> {
        if self.yielding >= bytes {
            return None;
        }
        let (&id, held) = self
            .bodies
            .iter_mut()
            .filter(|(_, held)| held.state == State::Receiving && held.bytes > 0)
            .min_by_key(|(_, held)| held.progress)?;
        if now.saturating_duration_since(held.progress) < self.bounds.stall {
            return None;
        }
        held.state = State::Yielding;
        self.yielding += held.bytes;
        Some(id)
    }

    /// Returns the number of bodies and the memory that they hold, in bytes.
    pub fn usage(&self) -> (usize, usize) {
        let exempt = self.exempt.and_then(|id| self.bodies.get(&id));
        let bytes = self.reserved + exempt.map_or(0, |held| held.bytes);
        (self.bodies.len(), bytes)
    }

    fn fits(&self, peer: IpAddr, own: usize, total: usize) -> bool {
        let capacity = self.bounds.capacity;
        let reserved = self.reserved - own + total;
        if total <= SMALL_BODY_BYTES + BODY_OVERHEAD_BYTES {
            return reserved <= capacity;
        }
        let of_peer = self.by_peer.get(&peer).copied().unwrap_or(0) - own + total;
        reserved <= capacity / 4 * 3 && of_peer <= capacity / 2
    }

    fn count(&mut self, peer: IpAddr, old: usize, new: usize) {
        self.reserved = self.reserved - old + new;
        let of_peer = self.by_peer.entry(peer).or_default();
        *of_peer = *of_peer - old + new;
        if *of_peer == 0 {
            self.by_peer.remove(&peer);
        }
    }

    fn set_state(&mut self, id: BodyId, state: State) {
        if let Some(held) = self.bodies.get_mut(&id)
            && held.state != State::Yielding
        {
            held.state = state;
        }
    }
}

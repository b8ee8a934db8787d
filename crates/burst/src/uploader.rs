//! Decisions of the agent that is asked for a chunk.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use weights::Digest;

/// Most holders that a redirect names.
pub const MAX_HOLDERS: usize = 4;

/// Receivers remembered per chunk; four redirects' worth, so that the names rotate.
const REMEMBERED: usize = 16;

/// Time to wait that is given before any chunk was sent.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// Bounds of the time to wait: shorter ones flood the uploader with requests, longer ones leave its slots empty.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Answers requests for chunks with an upload slot, a redirect or a time to wait.
///
/// A chunk that is not held gets "not yet". While all slots are busy, askers are sent to agents that have received the
/// chunk, those first that were named least often, so each chunk spreads over a tree that follows the load.
///
/// Askers in other regions get at most half of the slots, because their transfers are slow, and an asker in the own
/// region is never sent to another region, whose link is shared by all traffic.
///
/// ```
/// use std::time::Instant;
/// use burst::{Requester, Response, Uploader};
///
/// let now = Instant::now();
/// let uploader = Uploader::new(1);
/// let chunk = weights::Digest::of(b"chunk");
/// let [a, b] = [1, 2].map(|port| Requester { address: ([127, 0, 0, 1], port).into(), same_region: true });
/// let Response::Send(slot) = uploader.answer(chunk, true, a, now) else { panic!() };
/// assert!(matches!(uploader.answer(chunk, true, b, now), Response::Wait(_)));
/// slot.finish(now);
/// assert!(matches!(uploader.answer(chunk, true, b, now), Response::Send(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Uploader(Rc<RefCell<Inner>>);

#[derive(Debug)]
struct Inner {
    slots: usize,
    busy: usize,
    /// Slots in use for askers in other regions.
    far: usize,
    /// Moving average of the time that sending a chunk within the region took.
    pace: Option<Duration>,
    receivers: HashMap<Digest, Vec<Receiver>>,
}

#[derive(Debug)]
struct Receiver {
    asker: Requester,
    /// How often redirects named this receiver for this chunk.
    named: u32,
}

/// An agent that asks for a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requester {
    /// Address of its chunk port.
    pub address: SocketAddr,
    /// Whether it is in the uploader's region.
    pub same_region: bool,
}

/// What an asker gets.
#[derive(Debug)]
pub enum Response {
    /// The chunk, sent while the slot is held.
    Send(UploadSlot),
    /// At most [`MAX_HOLDERS`] agents that have the chunk.
    Redirect(Vec<SocketAddr>),
    /// Nothing yet; ask again after this time.
    Wait(Duration),
}

/// An upload slot in use; it is free again on drop.
#[derive(Debug)]
pub struct UploadSlot {
    uploader: Uploader,
    chunk: Digest,
    asker: Requester,
    since: Instant,
}

impl Uploader {
    /// Returns an uploader that sends at most `slots` chunks at once.
    pub fn new(slots: usize) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            slots,
            busy: 0,
            far: 0,
            pace: None,
            receivers: HashMap::new(),
        })))
    }

    /// Returns the number of slots in use.
    pub fn slots_in_use(&self) -> usize {
        self.0.borrow().busy
    }

    /// Answers a request of `asker` for `chunk`; `held` tells whether the chunk can be sent.
    pub fn answer(&self, chunk: Digest, held: bool, asker: Requester, now: Instant) -> Response {
        let mut inner = self.0.borrow_mut();
        if held && inner.has_slot(asker) {
            drop(inner);
            return Response::Send(self.resume(chunk, asker, now));
        }
        // The receivers of a chunk that was evicted here still hold it, most likely.
        let holders = inner.name_holders(chunk, asker);
        if holders.is_empty() {
            return Response::Wait(inner.wait());
        }
        Response::Redirect(holders)
    }

    /// Returns a slot for a further slice of a chunk that `asker` has begun to receive, whether one is free or not: what it
    /// has already would be sent again by another agent.
    pub fn resume(&self, chunk: Digest, asker: Requester, now: Instant) -> UploadSlot {
        let mut inner = self.0.borrow_mut();
        inner.busy += 1;
        inner.far += usize::from(!asker.same_region);
        UploadSlot {
            uploader: self.clone(),
            chunk,
            asker,
            since: now,
        }
    }

    /// Forgets receivers that `live` rejects, so that redirects don't name them.
    pub fn retain_receivers(&self, live: impl Fn(&SocketAddr) -> bool) {
        for receivers in self.0.borrow_mut().receivers.values_mut() {
            receivers.retain(|receiver| live(&receiver.asker.address));
        }
    }

    /// Forgets the receivers of all chunks that `wanted` rejects.
    pub fn retain_chunks(&self, wanted: impl Fn(&Digest) -> bool) {
        self.0
            .borrow_mut()
            .receivers
            .retain(|chunk, _| wanted(chunk));
    }
}

impl UploadSlot {
    /// Releases the slot after the whole chunk was sent and remembers the asker as a holder.
    pub fn finish(self, now: Instant) {
        let mut inner = self.uploader.0.borrow_mut();
        if self.asker.same_region {
            let took = now.saturating_duration_since(self.since);
            inner.pace = Some(inner.pace.map_or(took, |pace| (pace * 7 + took) / 8));
        }
        let receivers = inner.receivers.entry(self.chunk).or_default();
        receivers.retain(|receiver| receiver.asker.address != self.asker.address);
        if receivers.len() == REMEMBERED {
            receivers.remove(0);
        }
        receivers.push(Receiver {
            asker: self.asker,
            named: 0,
        });
    }
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        let mut inner = self.uploader.0.borrow_mut();
        inner.busy -= 1;
        inner.far -= usize::from(!self.asker.same_region);
    }
}

impl Inner {
    fn has_slot(&self, asker: Requester) -> bool {
        self.busy < self.slots && (asker.same_region || self.far < (self.slots / 2).max(1))
    }

    fn name_holders(&mut self, chunk: Digest, asker: Requester) -> Vec<SocketAddr> {
        let Some(receivers) = self.receivers.get_mut(&chunk) else {
            return Vec::new();
        };
        let mut order: Vec<&mut Receiver> = receivers
            .iter_mut()
            .rev()
            .filter(|receiver| receiver.asker.address != asker.address)
            .filter(|receiver| receiver.asker.same_region || !asker.same_region)
            .collect();
        order.sort_by_key(|receiver| receiver.named);
        order
            .into_iter()
            .take(MAX_HOLDERS)
            .map(|receiver| {
                receiver.named += 1;
                receiver.asker.address
            })
            .collect()
    }

    fn wait(&self) -> Duration {
        let (least, most) = WAIT_BOUNDS;
        self.pace.unwrap_or(FIRST_WAIT).clamp(least, most)
    }
}

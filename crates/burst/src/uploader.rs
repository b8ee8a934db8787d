//! Decides how an agent answers requests for chunks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use weights::Digest;

/// Maximum number of holders in a redirect.
pub const MAX_HOLDERS: usize = 4;

/// Receivers remembered per chunk: four redirects' worth, so that redirects rotate over them.
const MAX_RECEIVERS: usize = 16;

/// Retry delay sent before any chunk was sent.
const INITIAL_WAIT: Duration = Duration::from_millis(50);

/// Bounds of the retry delay: shorter ones flood the uploader with requests, longer ones leave its slots idle.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Answers requests for chunks with an upload slot, a redirect or a retry delay.
///
/// A request for a chunk that isn't held gets a retry delay or a redirect. While all slots are in use, requesters are
/// redirected to agents that have received the chunk, least often named ones first, so each chunk spreads over a tree
/// that adapts to the load.
///
/// Requesters in other regions get at most half of the slots, because their transfers are slow. A requester in the own
/// region is never redirected to another region, because all traffic shares the link between regions.
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
    /// Slots in use for requesters in other regions.
    other_region: usize,
    /// Moving average of the time to send a chunk within the region.
    average_send_time: Option<Duration>,
    receivers: HashMap<Digest, Vec<Receiver>>,
}

#[derive(Debug)]
struct Receiver {
    requester: Requester,
    /// Number of redirects that named this receiver for this chunk.
    redirects: u32,
}

/// An agent that requests a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requester {
    /// Address of the agent's chunk port.
    pub address: SocketAddr,
    /// Whether the agent is in the uploader's region.
    pub same_region: bool,
}

/// Answer to a request for a chunk.
#[derive(Debug)]
pub enum Response {
    /// Send the chunk while holding the slot.
    Send(UploadSlot),
    /// Addresses of agents that have received the chunk, at most [`MAX_HOLDERS`].
    Redirect(Vec<SocketAddr>),
    /// The chunk can't be sent now; retry after this delay.
    Wait(Duration),
}

/// An upload slot in use, released on drop.
#[derive(Debug)]
pub struct UploadSlot {
    uploader: Uploader,
    chunk: Digest,
    requester: Requester,
    started: Instant,
}

impl Uploader {
    /// Returns an uploader that sends at most `slots` chunks concurrently.
    pub fn new(slots: usize) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            slots,
            busy: 0,
            other_region: 0,
            average_send_time: None,
            receivers: HashMap::new(),
        })))
    }

    /// Returns the number of slots in use.
    pub fn slots_in_use(&self) -> usize {
        self.0.borrow().busy
    }

    /// Answers a request of `requester` for `chunk`; `held` states whether this agent holds the chunk.
    pub fn answer(
        &self,
        chunk: Digest,
        held: bool,
        requester: Requester,
        now: Instant,
    ) -> Response {
        let mut inner = self.0.borrow_mut();
        if held && inner.has_slot(requester) {
            drop(inner);
            return Response::Send(self.resume(chunk, requester, now));
        }
        // Receivers of a chunk that was evicted here most likely still hold it.
        let holders = inner.select_holders(chunk, requester);
        if holders.is_empty() {
            return Response::Wait(inner.retry_delay());
        }
        Response::Redirect(holders)
    }

    /// Returns a slot for a further slice of a chunk that `requester` has partly received, even if no slot is free:
    /// another agent would send the received part again.
    pub fn resume(&self, chunk: Digest, requester: Requester, now: Instant) -> UploadSlot {
        let mut inner = self.0.borrow_mut();
        inner.busy += 1;
        inner.other_region += usize::from(!requester.same_region);
        UploadSlot {
            uploader: self.clone(),
            chunk,
            requester,
            started: now,
        }
    }

    /// Removes the receivers for which `live` returns false, so that redirects don't name them.
    pub fn retain_receivers(&self, live: impl Fn(&SocketAddr) -> bool) {
        for receivers in self.0.borrow_mut().receivers.values_mut() {
            receivers.retain(|receiver| live(&receiver.requester.address));
        }
    }

    /// Removes the receivers of all chunks for which `wanted` returns false.
    pub fn retain_chunks(&self, wanted: impl Fn(&Digest) -> bool) {
        self.0
            .borrow_mut()
            .receivers
            .retain(|chunk, _| wanted(chunk));
    }
}

impl UploadSlot {
    /// Releases the slot after the whole chunk was sent and records the requester as a holder.
    pub fn finish(self, now: Instant) {
        let mut inner = self.uploader.0.borrow_mut();
        if self.requester.same_region {
            let elapsed = now.saturating_duration_since(self.started);
            inner.average_send_time = Some(
                inner
                    .average_send_time
                    .map_or(elapsed, |average| (average * 7 + elapsed) / 8),
            );
        }
        let receivers = inner.receivers.entry(self.chunk).or_default();
        receivers.retain(|receiver| receiver.requester.address != self.requester.address);
        if receivers.len() == MAX_RECEIVERS {
            receivers.remove(0);
        }
        receivers.push(Receiver {
            requester: self.requester,
            redirects: 0,
        });
    }
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        let mut inner = self.uploader.0.borrow_mut();
        inner.busy -= 1;
        inner.other_region -= usize::from(!self.requester.same_region);
    }
}

impl Inner {
    fn has_slot(&self, requester: Requester) -> bool {
        self.busy < self.slots
            && (requester.same_region || self.other_region < (self.slots / 2).max(1))
    }

    fn select_holders(&mut self, chunk: Digest, requester: Requester) -> Vec<SocketAddr> {
        let Some(receivers) = self.receivers.get_mut(&chunk) else {
            return Vec::new();
        };
        let mut order: Vec<&mut Receiver> = receivers
            .iter_mut()
            .rev()
            .filter(|receiver| receiver.requester.address != requester.address)
            .filter(|receiver| receiver.requester.same_region || !requester.same_region)
            .collect();
        order.sort_by_key(|receiver| receiver.redirects);
        order
            .into_iter()
            .take(MAX_HOLDERS)
            .map(|receiver| {
                receiver.redirects += 1;
                receiver.requester.address
            })
            .collect()
    }

    fn retry_delay(&self) -> Duration {
        let (min, max) = WAIT_BOUNDS;
        self.average_send_time
            .unwrap_or(INITIAL_WAIT)
            .clamp(min, max)
    }
}

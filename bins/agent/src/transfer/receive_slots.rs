//! Limit on the number of chunks that an agent receives concurrently.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burst::ReceiveLimiter;

use crate::Notify;

/// Interval at which a waiting request reports progress and checks for a free slot.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Limits the number of chunks that are received concurrently; clones share the limit.
#[derive(Clone)]
pub struct ReceiveSlots(Rc<Inner>);

struct Inner {
    limiter: RefCell<ReceiveLimiter>,
    /// Number of bytes of a chunk that one request asks for.
    slice_bytes: usize,
    /// Notified whenever a slot is released.
    released: Notify,
}

/// Slot of a chunk that is being received, released on drop.
pub(crate) struct ReceiveSlot(ReceiveSlots);

impl ReceiveSlots {
    /// Returns the slots of `limiter` for chunks that are requested in slices of `slice_bytes` bytes.
    pub fn new(limiter: ReceiveLimiter, slice_bytes: usize) -> Self {
        Self(Rc::new(Inner {
            limiter: RefCell::new(limiter),
            slice_bytes: slice_bytes.max(1),
            released: Notify::default(),
        }))
    }

    /// Returns the number of bytes of a chunk that one request asks for.
    pub(crate) fn slice_bytes(&self) -> usize {
        self.0.slice_bytes
    }

    /// Waits for a free slot; `progress` is called periodically while it waits.
    pub(crate) async fn acquire(&self, progress: &impl Fn()) -> ReceiveSlot {
        loop {
            let seen = self.0.released.count();
            if self.0.limiter.borrow_mut().try_acquire() {
                return ReceiveSlot(self.clone());
            }
            let _ = compio::time::timeout(CHECK_INTERVAL, self.0.released.changed(seen)).await;
            progress();
        }
    }
}

impl Drop for ReceiveSlot {
    fn drop(&mut self) {
        let inner = &self.0.0;
        inner.limiter.borrow_mut().release();
        inner.released.notify();
    }
}

//! Turns of the chunks that an agent receives.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burst::ReceiveLimiter;

use crate::Notify;

/// Time between two looks for a turn while no chunk ends.
const LOOK: Duration = Duration::from_millis(100);

/// Limits the chunks that come at once; clones share the limit.
#[derive(Clone)]
pub struct ReceiveSlots(Rc<Inner>);

struct Inner {
    intake: RefCell<ReceiveLimiter>,
    /// Bytes of a chunk that are requested at once.
    slice: usize,
    /// Raised by each chunk that ends.
    freed: Notify,
}

/// Turn of a chunk; dropping it lets the next one come.
pub(crate) struct Turn(ReceiveSlots);

impl ReceiveSlots {
    /// Returns the limit of `intake` for chunks of which `slice` bytes are requested at once.
    pub fn new(intake: ReceiveLimiter, slice: usize) -> Self {
        Self(Rc::new(Inner {
            intake: RefCell::new(intake),
            slice: slice.max(1),
            freed: Notify::default(),
        }))
    }

    /// Returns the bytes of a chunk that are requested at once.
    pub(crate) fn slice(&self) -> usize {
        self.0.slice
    }

    /// Waits until a chunk may come; `progress` is called while it waits.
    pub(crate) async fn turn(&self, progress: &impl Fn()) -> Turn {
        loop {
            let seen = self.0.freed.count();
            if self.0.intake.borrow_mut().try_acquire() {
                return Turn(self.clone());
            }
            let _ = compio::time::timeout(LOOK, self.0.freed.changed(seen)).await;
            progress();
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let inner = &self.0.0;
        inner.intake.borrow_mut().release();
        inner.freed.notify();
    }
}

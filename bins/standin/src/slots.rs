//! Slots that limit the number of concurrent requests.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures::channel::oneshot;

/// A fixed number of slots, granted to waiting requests in FIFO order.
pub struct Slots {
    free: Cell<u32>,
    running: Cell<u32>,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

/// An acquired slot, released on drop.
pub struct Slot(Rc<Slots>);

impl Slots {
    /// Creates `count` free slots.
    pub fn new(count: u32) -> Rc<Self> {
        Rc::new(Self {
            free: Cell::new(count),
            running: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Returns the number of requests waiting for a slot.
    pub fn waiting(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting
            .iter()
            .filter(|waiter| !waiter.is_canceled())
            .count()
    }

    /// Acquires a slot, waiting until one is free.
    pub async fn acquire(self: &Rc<Self>) -> Slot {
        if self.free.get() > 0 {
            return self.occupy();
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push_back(sender);
        receiver
            .await
            .expect("senders stay in the queue until they send or their receiver is dropped")
    }

    fn occupy(self: &Rc<Self>) -> Slot {
        self.free.set(self.free.get() - 1);
        self.running.set(self.running.get() + 1);
        Slot(self.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let slots = &self.0;
        slots.free.set(slots.free.get() + 1);
        slots.running.set(slots.running.get() - 1);
        loop {
            let next = slots.waiting.borrow_mut().pop_front();
            match next {
                // The waiting request was cancelled.
                Some(next) if next.is_canceled() => {}
                Some(next) => {
                    // If the request is cancelled before it receives the slot, dropping the slot passes it to the next.
                    let _ = next.send(slots.occupy());
                    return;
                }
                None => return,
            }
        }
    }
}

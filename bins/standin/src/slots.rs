//! Slots that a limited number of requests hold at once.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures::channel::oneshot;

/// A number of slots; requests wait for a free one in the order of their arrival.
pub struct Slots {
    free: Cell<u32>,
    running: Cell<u32>,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

/// A slot in use; free again when dropped.
pub struct Slot(Rc<Slots>);

impl Slots {
    /// Returns `number` free slots.
    pub fn new(number: u32) -> Rc<Self> {
        Rc::new(Self {
            free: Cell::new(number),
            running: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting
            .iter()
            .filter(|waiter| !waiter.is_canceled())
            .count()
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Rc<Self>) -> Slot {
        if self.free.get() > 0 {
            return self.take();
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push_back(sender);
        receiver.await.expect("the queue outlives its waiters")
    }

    fn take(self: &Rc<Self>) -> Slot {
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
                // A waiter that gave up is passed over.
                Some(next) if next.is_canceled() => {}
                Some(next) => {
                    // When the waiter gives up at this moment, the slot is dropped and goes to the next one.
                    let _ = next.send(slots.take());
                    return;
                }
                None => return,
            }
        }
    }
}

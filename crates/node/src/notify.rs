//! Change notification between the tasks of one event loop.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A counter of changes that tasks can wait on.
///
/// A change isn't lost while a task is busy, because the task passes the last count that it saw to
/// [`Notify::changed`].
///
/// ```
/// let notify = node::Notify::default();
/// let seen = notify.count();
/// notify.notify();
/// assert_eq!(futures::executor::block_on(notify.changed(seen)), seen + 1);
/// ```
#[derive(Debug, Default)]
pub struct Notify {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Returns the number of changes so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Increments the count and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the count differs from `seen` and returns it.
    pub async fn changed(&self, seen: u64) -> u64 {
        poll_fn(|context| {
            if self.count.get() != seen {
                return Poll::Ready(self.count.get());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}

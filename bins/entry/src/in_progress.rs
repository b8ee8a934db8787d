//! Counting of requests in progress.

use std::cell::Cell;
use std::rc::Rc;

/// Guard that counts one request in progress; dropping it decrements the counter.
pub(crate) struct InProgress(Rc<Cell<usize>>);

impl InProgress {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

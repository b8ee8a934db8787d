//! Callers that are being served.

use std::cell::Cell;
use std::rc::Rc;

/// A caller that is being served; dropping it counts down.
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

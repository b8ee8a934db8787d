//! Memory for answers that are held until they are whole.

use std::cell::Cell;
use std::rc::Rc;

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 8 << 20;
/// Bytes that all unfinished answers may hold together; the smallest VMs have about 100 MB.
const MAX_HELD: usize = 24 << 20;
/// Size up to which an answer is held whatever the others hold: few large ones must not end all small ones.
const SMALL: usize = 256 << 10;

/// Bytes that all unfinished answers of an entry hold.
pub type Held = Rc<Cell<usize>>;

/// What one unfinished answer holds; dropping it frees that.
#[derive(Debug, Default)]
pub struct Holding {
    all: Held,
    own: usize,
}

impl Holding {
    /// Returns the holding of a new answer beside `all`.
    pub fn new(all: &Held) -> Self {
        Self {
            all: Rc::clone(all),
            own: 0,
        }
    }

    /// Takes `bytes` more, and returns whether there is room for them.
    pub fn take(&mut self, bytes: usize) -> bool {
        let (own, all) = (self.own + bytes, self.all.get() + bytes);
        if own > MAX_ANSWER || (own > SMALL && all > MAX_HELD) {
            return false;
        }
        self.own = own;
        self.all.set(all);
        true
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

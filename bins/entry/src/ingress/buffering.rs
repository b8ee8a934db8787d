//! Limits on the memory for responses that are buffered until they are complete.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum bytes buffered for all incomplete responses together; the smallest VMs have about 100 MB.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Size in bytes up to which a response is exempt from [`MAX_TOTAL_BYTES`], so that a few large responses do not make
/// all small ones fail.
const SMALL_RESPONSE_BYTES: usize = 256 << 10;

/// Total bytes buffered for all incomplete responses of an entry.
pub type BufferedBytes = Rc<Cell<usize>>;

/// Memory reserved for one incomplete response; dropping it releases the memory.
#[derive(Debug, Default)]
pub struct BufferReservation {
    total: BufferedBytes,
    own: usize,
}

impl BufferReservation {
    /// Returns an empty reservation that is counted in `total`.
    pub fn new(total: &BufferedBytes) -> Self {
        Self {
            total: Rc::clone(total),
            own: 0,
        }
    }

    /// Reserves `bytes` more, and returns whether the limits allow it.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let (own, total) = (self.own + bytes, self.total.get() + bytes);
        if own > MAX_RESPONSE_BYTES || (own > SMALL_RESPONSE_BYTES && total > MAX_TOTAL_BYTES) {
            return false;
        }
        self.own = own;
        self.total.set(total);
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
}

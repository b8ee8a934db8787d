//! Limits on the memory for responses that are buffered until they are complete.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use dispatch::Failure;
use node::event;
use node::http::ResponseBody;

use super::call::Call;
use super::gateway::Gateway;
use super::placed::PlacedRequest;

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum bytes buffered for all incomplete responses together; the smallest VMs have about 100 MB.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Size in bytes up to which a response is exempt from [`MAX_TOTAL_BYTES`], so that a few large responses do not make
/// all small ones fail.
const SMALL_RESPONSE_BYTES: usize = 256 << 10;
/// Maximum bytes buffered for all incomplete responses together, the small ones included.
const MAX_TOTAL_SMALL_BYTES: usize = 36 << 20;
/// Size in bytes up to which a response is exempt from both totals; most whole responses are smaller.
const TINY_RESPONSE_BYTES: usize = 16 << 10;

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
        self.resize(self.own + bytes)
    }

    /// Reserves `bytes` in all, and returns whether the limits allow it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let total = self.total.get() - self.own + bytes;
        let max_total = if bytes <= TINY_RESPONSE_BYTES {
            usize::MAX
        } else if bytes <= SMALL_RESPONSE_BYTES {
            MAX_TOTAL_SMALL_BYTES
        } else {
            MAX_TOTAL_BYTES
        };
        let grows = bytes > self.own;
        if grows && (bytes > MAX_RESPONSE_BYTES || total > max_total) {
            return false;
        }
        self.own = bytes;
        self.total.set(total);
        true
    }
}

/// Reads the rest of a target's response.
///
/// # Errors
///
/// Fails if the response is interrupted or late, or if the limits don't allow its size.
pub(super) async fn collect(
    gateway: &Gateway,
    call: &Call,
    placed: &PlacedRequest,
    mut body: ResponseBody,
) -> Result<Bytes, Failure> {
    let read_failure = |_| match Instant::now() >= call.deadline {
        true => Failure::Late,
        false => Failure::Broken,
    };
    let mut reservation = BufferReservation::new(&gateway.buffered);
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.next().await.map_err(read_failure)? {
        if !reservation.reserve(chunk.len()) {
            log_too_large(&placed.place().target, &call.caller.id, buffer.len());
            return Err(Failure::Broken);
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

/// Logs that the response of `target` was given up after `bytes` bytes.
pub(super) fn log_too_large(target: &str, request: &str, bytes: usize) {
    event!(
        event::ANSWER_TOO_LARGE,
        target = target,
        request = request,
        bytes = bytes
    );
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
}

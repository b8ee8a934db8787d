//! Limits on the memory for responses that are still incomplete.

use entry::ingress::buffering::{BufferReservation, BufferedBytes};

const CHUNK_BYTES: usize = 64 << 10;
/// Bytes that an entry on the smallest VMs may use to buffer responses.
const MAX_BYTES: usize = 32 << 20;

// Guards against exhausting memory when several targets send endless responses at once, against failing small responses
// meanwhile, and against leaking reservations.
#[test]
fn endless_answers_bounded() {
    let buffered = BufferedBytes::default();
    let mut endless: Vec<BufferReservation> =
        (0..40).map(|_| BufferReservation::new(&buffered)).collect();
    let mut going = true;
    while going {
        going = false;
        for reservation in &mut endless {
            going |= reservation.reserve(CHUNK_BYTES);
        }
        assert!(buffered.get() <= MAX_BYTES, "{} bytes", buffered.get());
    }
    let mut small = BufferReservation::new(&buffered);
    assert!(small.reserve(CHUNK_BYTES));
    drop(endless);
    assert_eq!(buffered.get(), CHUNK_BYTES);
    let mut large = BufferReservation::new(&buffered);
    assert!((0..100).all(|_| large.reserve(CHUNK_BYTES)));
}

// Guards against a single response that uses all the memory.
#[test]
fn one_endless_answer() {
    let mut alone = BufferReservation::new(&BufferedBytes::default());
    let taken = (0..).take_while(|_| alone.reserve(CHUNK_BYTES)).count();
    assert!(taken * CHUNK_BYTES <= 8 << 20);
}

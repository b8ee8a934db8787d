//! Limits on the memory for responses that are still incomplete.

use entry::ingress::buffering::{BufferReservation, BufferedBytes};

const CHUNK_BYTES: usize = 64 << 10;
/// Bytes that an entry on the smallest VMs may use to buffer responses.
const MAX_BYTES: usize = 32 << 20;
/// Bytes that it may use if many responses are small.
const MAX_SMALL_BYTES: usize = 40 << 20;

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

// Guards against exhausting memory when many targets send responses without end that are all small: 400 of them held
// 100 MB, on VMs with 160 MB.
#[test]
fn many_small_bounded() {
    let buffered = BufferedBytes::default();
    let mut small: Vec<BufferReservation> = (0..1_000)
        .map(|_| BufferReservation::new(&buffered))
        .collect();
    let reserve = |small: &mut BufferReservation| {
        small.reserve(CHUNK_BYTES) && small.reserve(2 * CHUNK_BYTES)
    };
    let reserved = small.iter_mut().map(reserve).filter(|fits| *fits).count();
    assert!(reserved > 100, "{reserved}");
    assert!(
        buffered.get() <= MAX_SMALL_BYTES,
        "{} bytes",
        buffered.get()
    );
    let mut tiny = BufferReservation::new(&buffered);
    assert!(tiny.reserve(CHUNK_BYTES / 8));
}

// Guards against a stream that counts each of its events as if it still held them all.
#[test]
fn resize_follows_buffer() {
    let buffered = BufferedBytes::default();
    let mut stream = BufferReservation::new(&buffered);
    for length in [CHUNK_BYTES, 10, 3 * CHUNK_BYTES, 0] {
        assert!(stream.resize(length));
        assert_eq!(buffered.get(), length);
    }
}

// Guards against a single response that uses all the memory.
#[test]
fn one_endless_answer() {
    let mut alone = BufferReservation::new(&BufferedBytes::default());
    let taken = (0..).take_while(|_| alone.reserve(CHUNK_BYTES)).count();
    assert!(taken * CHUNK_BYTES <= 8 << 20);
}

//! Memory for answers that aren't whole yet.

use entry::ingress::buffering::{Held, Holding};

const PIECE: usize = 64 << 10;
/// Memory that an entry on the smallest VMs may use for answers.
const MOST: usize = 32 << 20;

// Guards against memory that fills when several targets send bytes without end at the same time, against small answers that
// fail meanwhile, and against memory that isn't free again.
#[test]
fn endless_answers_bounded() {
    let held = Held::default();
    let mut endless: Vec<Holding> = (0..40).map(|_| Holding::new(&held)).collect();
    let mut going = true;
    while going {
        going = false;
        for holding in &mut endless {
            going |= holding.take(PIECE);
        }
        assert!(held.get() <= MOST, "{} bytes", held.get());
    }
    let mut small = Holding::new(&held);
    assert!(small.take(PIECE));
    drop(endless);
    assert_eq!(held.get(), PIECE);
    let mut large = Holding::new(&held);
    assert!((0..100).all(|_| large.take(PIECE)));
}

// Guards against one answer that takes all the memory.
#[test]
fn one_endless_answer() {
    let mut alone = Holding::new(&Held::default());
    let taken = (0..).take_while(|_| alone.take(PIECE)).count();
    assert!(taken * PIECE <= 8 << 20);
}

//! Decisions on the memory of bodies and on the connections of a port, without a network.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use node::http::intake::{Bounds, Intake};
use node::http::{Connections, Phase};

const CAPACITY: usize = 1 << 20;
const STALL: Duration = Duration::from_secs(1);

fn intake() -> Intake {
    Intake::new(Bounds {
        capacity: CAPACITY,
        stall: STALL,
    })
}

fn peer(number: u8) -> IpAddr {
    [10, 0, 0, number].into()
}

// Guards against large bodies that leave no memory for small ones, and against one peer that takes the memory of others.
#[test]
fn reserve_shares() {
    let (mut intake, now) = (intake(), Instant::now());
    let mut open = |peer, bytes| {
        let id = intake.open(peer, now);
        intake.reserve(id, bytes, now)
    };
    // The first body over the peer's half takes the place of the one body that may exceed the limits.
    assert!(open(peer(1), CAPACITY / 5 * 2) && open(peer(1), CAPACITY / 5 * 2));
    assert!(!open(peer(1), CAPACITY / 5 * 2), "the share of a peer");
    assert!(open(peer(2), CAPACITY / 4));
    assert!(!open(peer(3), CAPACITY / 4), "the share of large bodies");
    assert!(open(peer(1), 4_000), "a small body");
}

// Guards against a body of the legal size that is never served because the capacity is smaller, and against leaked memory.
#[test]
fn reserve_one_beyond_capacity() {
    let (mut intake, now) = (intake(), Instant::now());
    let first = intake.open(peer(1), now);
    let second = intake.open(peer(2), now);
    assert!(intake.reserve(first, 4 * CAPACITY, now));
    assert!(!intake.reserve(second, 4 * CAPACITY, now));
    intake.close(first);
    assert!(intake.reserve(second, 4 * CAPACITY, now));
    intake.close(second);
    assert_eq!(intake.usage(), (0, 0));
}

// Guards against bodies that give way although they make progress or are complete, and against single bytes that pass for
// progress.
#[test]
fn yielding_longest_stalled() {
    let (mut intake, start) = (intake(), Instant::now());
    let ids = [(); 4].map(|()| {
        let id = intake.open(peer(1), start);
        assert!(intake.reserve(id, 10_000, start));
        id
    });
    let [complete, moving, dripping, stalled] = ids;
    intake.complete(complete);
    let later = start + STALL / 2;
    assert!(!intake.receive(dripping, 1, later));
    assert!(intake.receive(stalled, 2_000, start + STALL / 10));
    assert!(intake.receive(moving, 2_000, later));
    assert_eq!(intake.yielding_body(1, later), None);
    let end = start + STALL + STALL / 10;
    assert_eq!(intake.yielding_body(1, end), Some(dripping));
    assert_eq!(intake.yielding_body(1, end), None, "one is enough");
    intake.close(dripping);
    assert_eq!(intake.yielding_body(1, end), Some(stalled));
    assert_eq!(intake.yielding_body(20_000, end), None);
}

// Guards against closing a connection whose request is in progress, and an idle one while unfinished requests stand still.
#[test]
fn stalled_connections() {
    let (mut connections, start) = (Connections::new(STALL), Instant::now());
    let [idle, head, busy] = [(); 3].map(|()| connections.open(start));
    connections.receive(head, start + STALL / 2);
    connections.enter(busy, Phase::Busy, start);
    assert_eq!(connections.heads(), 1);
    let end = start + 2 * STALL;
    assert_eq!(connections.stalled(start + STALL / 2), None);
    assert_eq!(connections.stalled(end), Some((head, Phase::Head)));
    assert_eq!(connections.stalled(end), Some((idle, Phase::Idle)));
    assert_eq!(connections.stalled(end), None);
    for id in [idle, head, busy] {
        connections.close(id);
    }
    assert_eq!((connections.count(), connections.heads()), (0, 0));
}

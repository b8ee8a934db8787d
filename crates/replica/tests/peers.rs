//! Which entries read the store, and whom each one asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use replica::Peers;
use yare::parameterized;

fn entry(number: usize) -> SocketAddr {
    ([10, 1, 0, number as u8], 7700).into()
}

/// Returns the views of all entries of a domain, to which agents have just reported all entries, in their order.
fn domain(now: Instant, count: usize) -> Vec<Peers> {
    let entries: Vec<SocketAddr> = (0..count).map(entry).collect();
    let view = |own_address: &SocketAddr| {
        let mut peers = Peers::new(*own_address);
        peers.record_live(now, &entries);
        peers
    };
    let mut peers: Vec<Peers> = entries.iter().map(view).collect();
    peers.sort_by_key(Peers::rank);
    peers
}

/// Returns the two entries that `peers` asks.
fn asked(peers: &Peers, now: Instant) -> [SocketAddr; 2] {
    let first = peers.next(now, None).unwrap();
    [first, peers.next(now, Some(first)).unwrap()]
}

// Guards against sending a large configuration over a link between regions once per entry, against a number of store
// calls that grows with the number of entries, and against entries that are asked by all others.
#[parameterized(
    six = { 6 },
    twenty = { 20 },
    sixty_seven = { 67 },
)]
fn store_read_by_one(count: usize) {
    let now = Instant::now();
    let mut queries: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut readers = 0;
    for peers in domain(now, count) {
        readers += usize::from(peers.reads_store(Duration::ZERO, Duration::ZERO));
        for entry in asked(&peers, now) {
            *queries.entry(entry).or_default() += 1;
        }
    }
    assert_eq!(readers, 1);
    assert!(queries.values().all(|count| *count <= 20), "{queries:?}");
}

// Guards against asking others in a small domain, or while an entry knows of no other entries yet.
#[test]
fn small_domain_reads_store() {
    let now = Instant::now();
    let mut views = domain(now, 5);
    views.push(Peers::new(entry(0)));
    for peers in views {
        assert!(peers.reads_store(Duration::ZERO, Duration::ZERO));
        assert_eq!(peers.next(now, None), None);
    }
}

// Guards against an entry that keeps asking others that don't answer or don't hear the store, and against one that
// never asks them again.
#[test]
fn failed_entries_skipped() {
    let now = Instant::now();
    let mut peers = domain(now, 20).pop().unwrap();
    let [first, second] = asked(&peers, now);
    peers.record_failure(now, first);
    peers.record_silence(now, second);
    let [third, fourth] = asked(&peers, now);
    assert!(
        [third, fourth]
            .iter()
            .all(|entry| ![first, second].contains(entry))
    );
    let soon = now + Duration::from_millis(300);
    assert_eq!(peers.next(soon, None), Some(second));
    assert_eq!(peers.next(now + Duration::from_secs(3), None), Some(first));
}

// Guards against a domain that waits for its readers although they don't hear the store, and against entries that all read
// it at once when they fail.
#[test]
fn takeover_in_turn() {
    let now = Instant::now();
    let domain = domain(now, 13);
    let readers = |silence_ms, lag_ms| {
        let (silence, lag) = (
            Duration::from_millis(silence_ms),
            Duration::from_millis(lag_ms),
        );
        let readers = domain
            .iter()
            .filter(|peers| peers.reads_store(silence, lag));
        readers.count()
    };
    let silent = [0, 800, 900, 1_000, 1_800, 1_900].map(|ms| readers(ms, ms));
    assert_eq!(silent, [1, 1, 2, 3, 11, 13]);
    // Others that are receiving the objects from the store would only become slower.
    let receiving = [0, 800, 900, 1_200, 60_000].map(|ms| readers(0, ms));
    assert_eq!(receiving, [1, 1, 2, 3, 3]);
}

// Guards against an entry that waits for another one that no agent reports any more, and against entries that all read the
// store because the agents of their domain are gone.
#[test]
fn unreported_entries_expire() {
    let now = Instant::now();
    let mut peers = domain(now, 20).pop().unwrap();
    let later = now + Duration::from_secs(7);
    assert_eq!(peers.rank(), (19, 20));
    assert!(peers.next(later, None).is_some());
    let others = peers.others();
    peers.record_live(later, &others[15..]);
    assert_eq!(peers.rank(), (4, 5));
    assert!(peers.reads_store(Duration::ZERO, Duration::ZERO));
}

//! Selection of the entries that read the store for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entry::ingress::{Relays, Source};
use yare::parameterized;

fn entry(number: usize) -> SocketAddr {
    ([10, 1, 0, number as u8], 7700).into()
}

/// Returns the views of all entries of a domain, to which agents have just reported all entries.
fn domain(now: Instant, count: usize) -> Vec<Relays> {
    let entries: Vec<SocketAddr> = (0..count).map(entry).collect();
    let view = |own_address: &SocketAddr| {
        let mut relays = Relays::new(*own_address);
        relays.record_live(now, &entries);
        relays
    };
    entries.iter().map(view).collect()
}

// Guards against sending a large configuration over a link between regions once per entry, and against a number of
// store calls that grows with the number of entries.
#[parameterized(
    six = { 6 },
    twenty = { 20 },
    sixty_seven = { 67 },
)]
fn store_read_by_two(count: usize) {
    let now = Instant::now();
    let mut readers_by_relay: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut shared = 0;
    for relays in domain(now, count) {
        match relays.source(now) {
            Source::Shared => shared += 1,
            Source::Relay(relay) => *readers_by_relay.entry(relay).or_default() += 1,
            Source::Store => panic!("an entry reads the store for itself"),
        }
    }
    assert_eq!(shared, 2);
    assert!(readers_by_relay.values().all(|count| *count > 0) && readers_by_relay.len() <= 2);
}

// Guards against reading through a relay in a small domain, or while an entry knows of no other entries yet.
#[test]
fn small_domain_reads_store() {
    let now = Instant::now();
    assert_eq!(Relays::new(entry(0)).source(now), Source::Store);
    for relays in domain(now, 5) {
        assert_eq!(relays.source(now), Source::Store);
    }
}

// Guards against an entry that keeps using relays that don't respond or can't reach the store, and against one that
// never uses them again.
#[test]
fn failed_relays_skipped() {
    let now = Instant::now();
    let mut relays = domain(now, 20)
        .into_iter()
        .find(|relays| matches!(relays.source(now), Source::Relay(_)))
        .unwrap();
    let Source::Relay(first) = relays.source(now) else {
        panic!("no relay");
    };
    relays.record_failure(now, first);
    let Source::Relay(second) = relays.source(now) else {
        panic!("the other relay isn't asked");
    };
    assert_ne!(first, second);
    relays.record_failure(now, second);
    assert_eq!(relays.source(now), Source::Store);
    assert_eq!(
        relays.source(now + Duration::from_secs(3)),
        Source::Relay(first)
    );
}

// Guards against an entry that waits for another one that no agent reports any more.
#[test]
fn unreported_entries_expire() {
    let now = Instant::now();
    let relays = domain(now, 20).remove(0);
    let later = now + Duration::from_secs(7);
    assert_eq!(relays.source(later), Source::Store);
}

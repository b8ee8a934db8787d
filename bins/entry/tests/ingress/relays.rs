//! Which entries read the store for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entry::ingress::{Relays, Source};
use yare::parameterized;

fn entry(number: usize) -> SocketAddr {
    ([10, 1, 0, number as u8], 7700).into()
}

/// Returns the views of all entries of a domain, in which agents have just named them.
fn domain(now: Instant, count: usize) -> Vec<Relays> {
    let entries: Vec<SocketAddr> = (0..count).map(entry).collect();
    let view = |me: &SocketAddr| {
        let mut relays = Relays::new(*me);
        relays.record_live(now, &entries);
        relays
    };
    entries.iter().map(view).collect()
}

// Guards against a large configuration that crosses a link between regions once per entry, and against calls of the store
// that grow with the entries.
#[parameterized(
    six = { 6 },
    twenty = { 20 },
    sixty_seven = { 67 },
)]
fn store_read_by_two(count: usize) {
    let now = Instant::now();
    let mut askers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut shared = 0;
    for relays in domain(now, count) {
        match relays.source(now) {
            Source::Shared => shared += 1,
            Source::Relay(relay) => *askers.entry(relay).or_default() += 1,
            Source::Store => panic!("an entry reads the store for itself"),
        }
    }
    assert_eq!(shared, 2);
    assert!(askers.values().all(|count| *count > 0) && askers.len() <= 2);
}

// Guards against a detour where few entries read the store, and where an entry knows of no other one yet.
#[test]
fn small_domain_reads_store() {
    let now = Instant::now();
    assert_eq!(Relays::new(entry(0)).source(now), Source::Store);
    for relays in domain(now, 5) {
        assert_eq!(relays.source(now), Source::Store);
    }
}

// Guards against an entry that goes on asking relays that are silent, frozen or cut, and against one that never asks them
// again.
#[test]
fn failed_relays_passed_over() {
    let now = Instant::now();
    let mut relays = domain(now, 20)
        .into_iter()
        .find(|relays| matches!(relays.source(now), Source::Relay(_)))
        .unwrap();
    let Source::Relay(first) = relays.source(now) else {
        panic!("no relay");
    };
    relays.failed(now, first);
    let Source::Relay(second) = relays.source(now) else {
        panic!("the other relay isn't asked");
    };
    assert_ne!(first, second);
    relays.failed(now, second);
    assert_eq!(relays.source(now), Source::Store);
    assert_eq!(
        relays.source(now + Duration::from_secs(3)),
        Source::Relay(first)
    );
}

// Guards against an entry that waits for one that no agent names any more.
#[test]
fn gone_entries_forgotten() {
    let now = Instant::now();
    let relays = domain(now, 20).remove(0);
    let later = now + Duration::from_secs(7);
    assert_eq!(relays.source(later), Source::Store);
}

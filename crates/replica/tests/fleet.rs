//! A failure domain in simulated time: how late changes are at each entry, and what they cost on each link, while entries
//! that read the store fail.

mod simulation;

use std::time::Duration;

use replica::Kind;
use simulation::{Domain, Fault};
use yare::parameterized;

/// Time within which a configuration must be in force.
const CONFIG_BOUND: Duration = Duration::from_secs(3);
/// Time within which an evacuation must be in force.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Smallest room that must be left to a bound while any two entries fail.
const MIN_ROOM: Duration = Duration::from_millis(1_500);
/// Largest number of times that a configuration may cross the link to the store for each change: for the entry that reads it,
/// and for others now and then that take its place. Entries that are cut off from all others read it for themselves.
const MAX_COPIES: f64 = 2.5;

/// Length of a configuration of 250 routes, in bytes.
const SMALL: usize = 64 << 10;
/// Length of a configuration of 1,700 routes, in bytes.
const LARGE: usize = 382 << 10;

const SQUEEZED: Fault = Fault::Squeezed { mbps: 8.0 };

// Guards against changes that come late at some entry, or cross the link between regions once for each entry, while one or
// two of the entries that read the store are slow, cut off, turned away or frozen.
#[parameterized(
    none = { &[] },
    frozen = { &[Fault::Frozen] },
    turned_away = { &[Fault::TurnedAway] },
    cut_from_store = { &[Fault::CutFromStore] },
    cut_from_entries = { &[Fault::CutFromEntries] },
    squeezed = { &[SQUEEZED] },
    frozen_both = { &[Fault::Frozen, Fault::Frozen] },
    turned_away_both = { &[Fault::TurnedAway, Fault::TurnedAway] },
    cut_from_store_both = { &[Fault::CutFromStore, Fault::CutFromStore] },
    cut_from_entries_both = { &[Fault::CutFromEntries, Fault::CutFromEntries] },
    squeezed_both = { &[SQUEEZED, SQUEEZED] },
    frozen_squeezed = { &[Fault::Frozen, SQUEEZED] },
    cut_from_store_squeezed = { &[Fault::CutFromStore, SQUEEZED] },
    squeezed_cut_from_store = { &[SQUEEZED, Fault::CutFromStore] },
    turned_away_frozen = { &[Fault::TurnedAway, Fault::Frozen] },
    frozen_cut_from_store = { &[Fault::Frozen, Fault::CutFromStore] },
)]
fn changes_in_time(faults: &[Fault]) {
    for (count, length) in [(13, SMALL), (13, LARGE), (33, SMALL), (33, LARGE)] {
        let mut domain = Domain::new(count, length);
        domain.run(Duration::from_secs(4));
        let changes = domain.change_during(faults, Duration::from_secs(6));
        let config = changes.delays(Kind::Config);
        let evacuations = changes.delays(Kind::Evacuations);
        println!(
            "{faults:?}, {count} entries, {length} bytes: config {config}, evacuations {evacuations}, {changes}"
        );
        assert!(config.longest + MIN_ROOM <= CONFIG_BOUND, "{config}");
        assert!(
            evacuations.longest + MIN_ROOM <= EVACUATION_BOUND,
            "{evacuations}"
        );
        let alone = faults
            .iter()
            .filter(|fault| **fault == Fault::CutFromEntries);
        let max_copies = MAX_COPIES + alone.count() as f64;
        assert!(changes.copies_from_store() <= max_copies, "{changes}");
    }
}

// Guards against a start in which every entry reads a large configuration from the store.
#[parameterized(
    thirteen = { 13 },
    thirty_three = { 33 },
)]
fn start_reads_once(count: usize) {
    let mut domain = Domain::new(count, LARGE);
    let started = domain.run(Duration::from_secs(4));
    println!("{count} entries start: {started}");
    assert!(started.copies_from_store() <= MAX_COPIES, "{started}");
    let longest = started.delays(Kind::Config).longest;
    assert!(longest < Duration::from_secs(2), "{longest:?}");
}

// Guards against changes that fill the link to the store because entries which were away read them all when they return.
#[test]
fn return_after_outage() {
    let mut domain = Domain::new(13, LARGE);
    domain.run(Duration::from_secs(4));
    let faults = [Fault::CutFromStore; 13];
    let outage = domain.change_during(&faults, Duration::from_secs(5));
    assert!(outage.copies_from_store() < 0.1, "{outage}");
    let back = domain.run(Duration::from_secs(3));
    println!("return: {back}, {}", back.delays(Kind::Config));
    assert!(back.copies_from_store() <= MAX_COPIES, "{back}");
    assert!(back.delays(Kind::Config).longest < Duration::from_secs(2));
}

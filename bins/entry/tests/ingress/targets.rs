//! Registrations that expire during a store outage.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use entry::ingress::{Registrations, Removal};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against requests to a target that left while the store was reachable.
#[test]
fn remove_while_store_answers() {
    let now = Instant::now();
    let mut registrations = Registrations::default();
    registrations.insert("a");
    registrations.record_success(now);
    assert_eq!(registrations.remove(now, "a"), Removal::Gone);
}

// Guards against a service without targets after an outage in which all registrations expired, and against keeping a
// target that did not register again.
#[test]
fn remove_after_outage() {
    let now = Instant::now();
    let mut registrations = Registrations::default();
    registrations.insert("a");
    registrations.insert("b");
    registrations.record_failure(now);
    let recovered = now + ms(5_000);
    registrations.record_success(recovered);
    let missing = registrations.unlisted(&BTreeSet::new());
    assert_eq!(missing, ["a", "b"]);
    for id in &missing {
        assert!(matches!(
            registrations.remove(recovered, id),
            Removal::Missing(_)
        ));
    }
    registrations.insert("a");
    assert!(registrations.expire(recovered + ms(1_900)).is_empty());
    assert_eq!(registrations.expire(recovered + ms(2_100)), ["b"]);
    assert_eq!(
        registrations.remove(recovered + ms(3_000), "a"),
        Removal::Gone
    );
}

// Guards against treating a single lost call as an outage: a target that leaves then would get requests for 2 s.
#[test]
fn remove_after_short_failure() {
    let now = Instant::now();
    let mut registrations = Registrations::default();
    registrations.insert("a");
    registrations.record_failure(now);
    registrations.record_success(now + ms(300));
    assert_eq!(registrations.remove(now + ms(300), "a"), Removal::Gone);
}

//! Registrations that the store loses while it is away.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use entry::ingress::{Change, Registry};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against work for a target that left while the store was there all the time.
#[test]
fn remove_while_store_answers() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.put("a");
    registry.answered(now);
    assert_eq!(registry.remove(now, "a"), Change::Gone);
}

// Guards against a service without targets after an outage in which all registrations lapsed, and against a target
// that is kept although it did not register again.
#[test]
fn remove_after_outage() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.put("a");
    registry.put("b");
    registry.failed(now);
    let back = now + ms(5_000);
    registry.answered(back);
    let missing = registry.unlisted(&BTreeSet::new());
    assert_eq!(missing, ["a", "b"]);
    for id in &missing {
        assert!(matches!(registry.remove(back, id), Change::Missing(_)));
    }
    registry.put("a");
    assert!(registry.expire(back + ms(1_900)).is_empty());
    assert_eq!(registry.expire(back + ms(2_100)), ["b"]);
    assert_eq!(registry.remove(back + ms(3_000), "a"), Change::Gone);
}

// Guards against one lost call that is taken for an outage: a target that leaves then would get work for 2 s.
#[test]
fn remove_after_short_failure() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.put("a");
    registry.failed(now);
    registry.answered(now + ms(300));
    assert_eq!(registry.remove(now + ms(300), "a"), Change::Gone);
}

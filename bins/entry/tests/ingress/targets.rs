//! Registrations that expire during a store outage, and a store that comes back from an older copy.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use dispatch::Target;
use entry::ingress::{Insertion, Registrations, Removal};
use platform::Revision;
use yare::parameterized;

/// Interval at which targets renew their registrations.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a target that started at `started_at_ms`.
fn target(id: &str, started_at_ms: u64, draining: bool) -> Target {
    Target {
        id: id.into(),
        service: "desk".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "north".into(),
        slots: 4,
        draining,
        cold_period: Duration::ZERO,
        weights: Default::default(),
        started_at_ms: Some(started_at_ms),
    }
}

/// Returns a revision of era 1.
const fn revision(number: u64) -> Revision {
    Revision::new(1, number)
}

/// Returns the registrations of the ready targets `ids`, as read at revision 10 of era 1.
fn registrations(now: Instant, ids: &[&str]) -> Registrations {
    let mut registrations = Registrations::new(HEARTBEAT);
    registrations.record_success(now, revision(10), None);
    for id in ids {
        let inserted = registrations.insert(now, target(id, 5, false), revision(9));
        assert!(matches!(inserted, Insertion::New(_)));
    }
    registrations
}

// Guards against requests to a target that left while the store was reachable.
#[test]
fn remove_while_store_answers() {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a"]);
    registrations.record_success(now, revision(11), None);
    assert_eq!(registrations.remove(now, "a"), Removal::Gone);
}

// Guards against requests to a target that left while the store turned this entry alone away. Targets register again within
// 2 s of the store's return, and an entry that reached the store all the time knows when that was.
#[parameterized(
    reached_long_ago = { Some(2_500), true },
    reached_just_now = { Some(500), false },
    unknown = { None, false },
)]
fn remove_after_own_outage(reached_for_ms: Option<u64>, is_gone: bool) {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a"]);
    registrations.record_failure(now + ms(1_000));
    let recovered = now + ms(12_000);
    registrations.record_reachable(recovered);
    registrations.record_success(recovered, revision(20), reached_for_ms.map(ms));
    let removal = registrations.remove(recovered, "a");
    assert_eq!(removal == Removal::Gone, is_gone, "{removal:?}");
}

// Guards against a service without targets after an outage in which all registrations expired, and against keeping a
// target that did not register again.
#[test]
fn remove_after_outage() {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a", "b"]);
    registrations.record_failure(now);
    let recovered = now + ms(5_000);
    registrations.record_success(recovered, revision(20), None);
    let missing = registrations.unlisted(&BTreeSet::new());
    assert_eq!(missing, ["a", "b"]);
    for id in &missing {
        assert!(matches!(
            registrations.remove(recovered, id),
            Removal::Missing(_)
        ));
    }
    registrations.insert(recovered, target("a", 5, false), revision(21));
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
    let mut registrations = registrations(now, &["a"]);
    registrations.record_failure(now);
    registrations.record_success(now + ms(300), revision(11), None);
    assert_eq!(registrations.remove(now + ms(300), "a"), Removal::Gone);
}

// Guards against taking the removal of a target for final that is only missing from the copy.
#[test]
fn remove_after_restore() {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a", "b"]);
    registrations.record_success(now, Revision::new(2, 8), None);
    for id in ["a", "b"] {
        let removal = registrations.remove(now, id);
        assert_eq!(removal, Removal::Missing(now + ms(2_000)));
    }
    registrations.insert(now, target("a", 5, false), Revision::new(2, 9));
    assert_eq!(registrations.expire(now + ms(2_000)), ["b"]);
    assert_eq!(registrations.remove(now + ms(2_000), "a"), Removal::Gone);
}

// Guards against requests to a target that left and that only the copy shows, even if the entry reads late that the
// store removed it after three heartbeats, and against passing over one for good that registers again, starts again or
// is live.
#[parameterized(
    copied = { 5, Revision::new(2, 7), false },
    earlier_start = { 4, Revision::new(2, 7), false },
    written_since = { 5, Revision::new(2, 9), true },
    started_again = { 6, Revision::new(2, 7), true },
    same_era = { 5, revision(12), true },
)]
fn insert_departed(started_at_ms: u64, revision: Revision, used: bool) {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a"]);
    assert_eq!(registrations.remove(now, "a"), Removal::Gone);
    let restored = now + ms(1_000);
    if revision.era == 2 {
        registrations.record_success(restored, Revision::new(2, 8), None);
    }
    let registered = target("a", started_at_ms, false);
    let inserted = registrations.insert(restored, registered.clone(), revision);
    if used {
        assert_eq!(inserted, Insertion::New(registered));
        return;
    }
    assert_eq!(inserted, Insertion::Unconfirmed);
    let again = registrations.insert(restored + ms(500), registered.clone(), revision);
    assert_eq!(again, Insertion::Unconfirmed);
    let removed = restored + 4 * HEARTBEAT;
    assert!(registrations.confirm(removed - ms(1)).is_empty());
    let confirmed = registrations.confirm(removed);
    assert_eq!(confirmed, std::slice::from_ref(&registered));
    let known = registrations.insert(removed, registered.clone(), revision);
    assert_eq!(known, Insertion::Known(registered));
}

// Guards against using a target of the copy whose registration the store removed again.
#[parameterized(
    removed = { true },
    unlisted = { false },
)]
fn confirm_removed(event: bool) {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a"]);
    registrations.remove(now, "a");
    registrations.record_success(now, Revision::new(2, 8), None);
    registrations.insert(now, target("a", 5, false), Revision::new(2, 7));
    if !event {
        assert_eq!(registrations.unlisted(&BTreeSet::new()), ["a"]);
    }
    assert_eq!(registrations.remove(now + ms(500), "a"), Removal::Gone);
    assert!(registrations.confirm(now + ms(9_000)).is_empty());
}

// Guards against requests to a draining target that the copy shows as ready, and against a target that started again
// and is taken for the one that drained.
#[parameterized(
    copied = { 5, 7, true },
    written_since = { 5, 9, false },
    started_again = { 6, 7, false },
)]
fn insert_draining(started_at_ms: u64, number: u64, draining: bool) {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a"]);
    registrations.insert(now, target("a", 5, true), revision(11));
    registrations.record_success(now, Revision::new(2, 8), None);
    let ready = target("a", started_at_ms, false);
    let inserted = registrations.insert(now, ready, Revision::new(2, number));
    let expected = target("a", started_at_ms, draining);
    assert_eq!(inserted, Insertion::Known(expected));
}

// Guards against going back to an earlier start of a target that the copy shows.
#[test]
fn insert_earlier_start() {
    let now = Instant::now();
    let mut registrations = registrations(now, &["a"]);
    registrations.insert(now, target("a", 6, false), revision(11));
    registrations.record_success(now, Revision::new(2, 8), None);
    let earlier = registrations.insert(now, target("a", 5, false), Revision::new(2, 7));
    assert_eq!(earlier, Insertion::Unconfirmed);
}

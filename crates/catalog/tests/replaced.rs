//! Replaced pins of stored entries, as puts derive them.

use catalog::{Entry, StoredEntry, diff};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use weights::{Digest, Pin};

fn entry(version: u8, queue: u32) -> Entry {
    serde_json::from_value(serde_json::json!({
        "kind": "service", "name": "assistant", "owner": "office", "class": "urgent",
        "limits": {"queue": queue}, "backend": "model", "repeatable": true, "deadline_ms": 30_000,
        "model": {"name": "fixtures-lm", "version": format!("v{version}"), "plan": "origin_bytes",
            "digest": Digest::of(&[version]).to_string()},
    }))
    .unwrap()
}

fn pin(version: u8) -> Pin {
    Pin::new(
        "fixtures-lm",
        &format!("v{version}"),
        Digest::of(&[version]),
    )
}

/// Puts `versions` one after another. `forget` selects the puts made by a release of the tool that doesn't write
/// `replaced`.
fn put_all(versions: &[u8], forget: impl Fn(usize) -> bool) -> StoredEntry {
    let mut stored: Option<StoredEntry> = None;
    for (index, version) in versions.iter().enumerate() {
        let mut new = StoredEntry::new(entry(*version, index as u32), "ada", 0, "put");
        if let Some(older) = stored {
            new = new.with_previous(index as u64, older);
        }
        if forget(index) {
            new.entry = new.entry.without_replaced();
        }
        stored = Some(new);
    }
    stored.unwrap()
}

/// Returns up to three versions before the last one, newest first, without it and without duplicates.
fn expected(versions: &[u8]) -> Vec<Pin> {
    let mut newest: Vec<u8> = Vec::new();
    for version in versions.iter().rev() {
        if !newest.contains(version) {
            newest.push(*version);
        }
    }
    newest.iter().skip(1).take(3).copied().map(pin).collect()
}

/// Guards against a put of an unchanged file being reported as a change because the stored entry has replaced pins.
#[test]
fn difference_ignores_replaced() {
    let stored = put_all(&[1, 2], |_| false);
    assert_eq!(stored.entry.pins().collect::<Vec<_>>(), [pin(2), pin(1)]);
    assert_eq!(diff(Some(&stored.entry), &entry(2, 1)), []);
    assert_eq!(stored.entry.without_replaced(), entry(2, 1));
}

/// Guards against replaced pins in an operator's file that bypass the check.
#[test]
fn new_drops_listed_pins() {
    let listed = put_all(&[1, 2], |_| false).entry;
    assert_eq!(
        StoredEntry::new(listed, "ada", 0, "put")
            .entry
            .pins()
            .count(),
        1
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against replaced pins that are lost, duplicated, out of order or equal to the current pin, in any
    /// sequence of puts: with other changes in between, with returns to earlier versions, and longer than the history.
    #[test]
    fn after_any_puts(versions in prop::collection::vec(0_u8..6, 1..60), repeat in 1..30_usize) {
        let versions: Vec<u8> = versions.iter().flat_map(|version| vec![*version; repeat]).collect();
        let stored = put_all(&versions, |_| false);
        let pins: Vec<Pin> = stored.entry.pins().skip(1).collect();
        prop_assert_eq!(pins, expected(&versions));
    }

    /// Guards against lost pins in the first put after an upgrade from a release that doesn't write replaced pins: they
    /// are taken from the history.
    #[test]
    fn after_puts_without_field(versions in prop::collection::vec(0_u8..6, 2..21), last in 0..20_usize) {
        let stored = put_all(&versions, |index| index < last.min(versions.len() - 1));
        let pins: Vec<Pin> = stored.entry.pins().skip(1).collect();
        prop_assert_eq!(pins, expected(&versions));
    }
}

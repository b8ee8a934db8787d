//! Tests of the blame for crashes, and of the quarantine's end.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quarantine::{Evidence, PartId, Prompt, Quarantine, Seat, part_id};
use yare::parameterized;

const DEADLY: PartId = 0xdead;
/// A part of all prompts.
const COMMON: PartId = 0xa0;
/// Length of the first quarantine.
const MINUTE: Duration = Duration::from_secs(60);

fn prompt(parts: &[PartId]) -> Prompt {
    Prompt::new(parts.to_vec())
}

/// Returns a table in which [`DEADLY`] crashed three targets at `now`.
fn quarantined(now: Instant) -> Quarantine {
    let mut table = Quarantine::default();
    for request in 1..=3 {
        table.record_crash(now, request, &prompt(&[COMMON, DEADLY, request]));
    }
    table
}

// Guards against quarantine on too little evidence, and against blaming a part that many requests share with a guilty
// one, or the part of a request that was beside guilty ones.
#[parameterized(
    two_crashes = { &[&[DEADLY, 1], &[DEADLY, 2]], &[] },
    three_crashes = { &[&[DEADLY, 1], &[DEADLY, 2], &[DEADLY, 3]], &[DEADLY] },
    shared_survived = { &[&[COMMON, DEADLY, 1], &[COMMON, DEADLY, 2], &[COMMON, DEADLY, 3]], &[DEADLY] },
    four_of_one_request = { &[&[7, 1], &[7, 1], &[7, 1], &[7, 1]], &[] },
    five_of_one_request = { &[&[7, 1], &[7, 1], &[7, 1], &[7, 1], &[7, 1]], &[1] },
    no_parts = { &[&[], &[], &[], &[], &[]], &[] },
)]
fn blame_of_part(prompts: &[&[PartId]], expected: &[PartId]) {
    let now = Instant::now();
    let mut table = Quarantine::default();
    table.record_survival(now, &prompt(&[COMMON, 99]));
    let mut found = Vec::new();
    for (crash, parts) in (0..).zip(prompts) {
        found.extend(table.record_crash(now, crash, &prompt(parts)).quarantined);
    }
    assert_eq!(found, expected);
    for part in [COMMON, DEADLY, 7, 1] {
        let refused = table.check(now, &prompt(&[part, 50])).is_some();
        assert_eq!(refused, expected.contains(&part), "{part:x}");
    }
}

// Guards against blaming a part that targets survive for the crashes of a herd, whatever comes first.
#[parameterized(
    survived_before = { 5, &[] },
    survived_long_before = { 60, &[7] },
)]
fn blame_of_survived_part(seconds: u64, expected: &[PartId]) {
    let start = Instant::now();
    let now = start + Duration::from_secs(seconds);
    let mut table = Quarantine::default();
    table.record_survival(start, &prompt(&[7, 99]));
    let crashes = (1..=4).map(|crash| table.record_crash(now, crash, &prompt(&[7, crash])));
    let found: Vec<PartId> = crashes.flat_map(|changes| changes.quarantined).collect();
    assert_eq!(found, expected);
    let changes = table.record_survival(now, &prompt(&[7, 98]));
    assert_eq!(changes.released, expected);
    assert_eq!(table.check(now, &prompt(&[7, 50])), None);
}

// Guards against a part that shared three crashes with the guilty one, and stays blamed although these are explained.
#[test]
fn blame_explained() {
    let now = Instant::now();
    let mut table = Quarantine::default();
    for crash in 1..=3 {
        table.record_crash(now, crash, &prompt(&[7, crash + 100]));
        table.record_crash(now, crash, &prompt(&[DEADLY, crash]));
    }
    assert!(
        table.check(now, &prompt(&[7, 50])).is_some(),
        "either may be to blame"
    );
    let changes = table.record_crash(now, 4, &prompt(&[DEADLY, 4]));
    assert_eq!(changes.released, [7]);
    assert!(table.check(now, &prompt(&[DEADLY, 50])).is_some());
}

// Guards against a quarantine that never ends, and against several entries that try a part again at the same time.
#[test]
fn quarantine_end() {
    let now = Instant::now();
    let request = prompt(&[DEADLY, 50]);
    let mut entries: Vec<Quarantine> = (0..12)
        .map(|number| {
            let mut table = quarantined(now);
            let seat = Seat {
                domain: number / 4,
                domains: 3,
                entry: number % 4,
                entries: 4,
            };
            table.set_seat(seat);
            table
        })
        .collect();
    let mut tried = 0;
    for second in 0..60 + 120 {
        let at = now + Duration::from_secs(second);
        let admitted = entries
            .iter_mut()
            .filter_map(|table| table.admit(at, &request).ok());
        let admitted = admitted.count();
        assert!(admitted <= 1, "{admitted} entries try it at {second} s");
        assert!(second >= 60 || admitted == 0, "tried in the quarantine");
        tried += admitted;
    }
    // Each turn of 10 s belongs to one entry.
    assert_eq!(tried, 12, "tries in 120 s");
}

// Guards against a failed try that doesn't prolong the quarantine, and against a successful one that doesn't end it.
#[parameterized(crashed = { true }, survived = { false })]
fn quarantine_tried(crashed: bool) {
    let now = Instant::now();
    let mut table = quarantined(now);
    let (request, later) = (prompt(&[DEADLY, 50]), now + MINUTE);
    assert!(table.admit(later, &request).is_ok());
    assert!(table.admit(later, &request).is_err(), "one at a time");
    let changes = match crashed {
        true => table.record_crash(later, 50, &request),
        false => table.record_survival(later, &request),
    };
    assert_eq!(
        changes.parts,
        match crashed {
            true => vec![COMMON, DEADLY, 50]
                .into_iter()
                .filter(|part| *part != COMMON)
                .collect(),
            false => vec![DEADLY],
        }
    );
    assert_eq!(table.admit(later + MINUTE, &request).is_err(), crashed);
    assert!(table.admit(later + MINUTE * 2, &request).is_ok());
}

// Guards against requests with new parts all the time that make the table grow or drop the guilty part.
#[test]
fn memory_bounded() {
    let now = Instant::now();
    let mut table = quarantined(now);
    for number in 0..20_000 {
        let parts = prompt(&[1 << 40 | number, 1 << 41 | number]);
        table.record_crash(now, 1000 + number, &parts);
        table.record_survival(now, &prompt(&[1 << 42 | number]));
    }
    assert!(table.evidence(now, 0..u64::from(u16::MAX)).len() <= 256);
    assert!(table.check(now, &prompt(&[DEADLY, 50])).is_some());
}

// Guards against ids of parts that are misread, and against lists that are as long as a header allows.
#[parameterized(
    upper = { "DEAD", Some(0xdead) },
    zeros = { "0000000000000000dead", Some(0xdead) },
    zero = { "0", Some(0) },
    empty = { "", None },
    sign = { "-1", None },
    text = { "xyz", None },
)]
fn part_id_of(text: &str, expected: Option<PartId>) {
    assert_eq!(part_id(text), expected);
    let long = Prompt::new((0..5_000).collect());
    assert_eq!((long.parts().len(), long.own_part()), (256, Some(4_999)));
}

/// Something that an entry sees.
#[derive(Clone, Copy, Debug)]
enum Seen {
    Crash(u64, PartId),
    Survival(PartId),
}

fn seen() -> impl Strategy<Value = (usize, u64, Seen)> {
    let crash = (0u64..6, 1u64..4).prop_map(|(crash, part)| Seen::Crash(crash, part));
    let survival = (1u64..4).prop_map(Seen::Survival);
    (
        0usize..3,
        0u64..30_000,
        prop_oneof![4 => crash, 1 => survival],
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against entries that judge differently although all have the same evidence, in another order or repeatedly.
    #[test]
    fn merge_agrees(mut events in prop::collection::vec(seen(), 0..40), order in any::<[usize; 3]>()) {
        let start = Instant::now() + Duration::from_secs(3600);
        events.sort_by_key(|(_, at, _)| *at);
        let mut entries = vec![Quarantine::default(); 3];
        for (entry, at, event) in events {
            let at = start + Duration::from_millis(at);
            match event {
                Seen::Crash(crash, part) => entries[entry].record_crash(at, crash, &prompt(&[part, 100 + crash])),
                Seen::Survival(part) => entries[entry].record_survival(at, &prompt(&[part, 99])),
            };
        }
        let end = start + Duration::from_secs(31);
        for round in 0..4 {
            let told: Vec<Vec<Evidence>> =
                entries.iter().map(|table| table.evidence(end, 0..200)).collect();
            for (number, table) in entries.iter_mut().enumerate() {
                for other in 0..3 {
                    let changes = table.merge(end, &told[(order[number] % 3 + other + round) % 3]);
                    table.refute(end, &changes.parts);
                }
            }
        }
        for part in 1..4 {
            let refused: Vec<bool> = entries
                .iter()
                .map(|table| table.check(end, &prompt(&[part, 50])).is_some())
                .collect();
            prop_assert!(refused.iter().all(|refusal| *refusal == refused[0]), "{part}: {refused:?}");
        }
    }
}

//! Compact encoding of reports.

use gossip::{Key, Record, Value, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{Gate, Report};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7265),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_compose! {
    fn report()(
        target in "[a-z0-9-]{0,20}",
        incarnation: u64,
        sequence: u64,
        gate in prop_oneof![Just(Gate::Closed), Just(Gate::Open), Just(Gate::Draining)],
        weights: Option<u64>,
        counts: [u32; 3],
        slots: u16,
        view: u64,
        member in proptest::option::of("[a-z]{0,9}"),
    ) -> Report {
        let [chunks, running, waiting] = counts;
        let member = member.map(|name| Record {
            key: Key::Catalog(name.clone()),
            version: Version::default(),
            value: Value::Catalog(name),
        });
        Report { target, incarnation, sequence, gate, weights, chunks, running, waiting, slots, view, member }
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against fields encoded and decoded in different orders, and against absent fields that shift the others.
    #[test]
    fn report_round_trip(reports in proptest::collection::vec(report(), 0..4)) {
        let bytes = postcard::to_stdvec(&reports).unwrap();
        prop_assert_eq!(postcard::from_bytes::<Vec<Report>>(&bytes).unwrap(), reports);
    }

    // Guards against a truncated report that is decoded as a complete one without its member record.
    #[test]
    fn report_cut_is_error(report in report(), cut in 1_usize..12) {
        let bytes = postcard::to_stdvec(&report).unwrap();
        let end = bytes.len().saturating_sub(cut);
        prop_assert!(postcard::from_bytes::<Report>(&bytes[..end]).is_err());
    }

    // Guards against panics on malformed input from a faulty peer.
    #[test]
    fn report_malformed_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        if let Ok(report) = postcard::from_bytes::<Report>(&bytes) {
            let again = postcard::to_stdvec(&report).unwrap();
            prop_assert_eq!(postcard::from_bytes::<Report>(&again).unwrap(), report);
        }
    }
}

// Guards against growth of the report that every target sends about each second; the design budgets 60 bytes.
#[test]
fn report_size() {
    let report = Report {
        target: "levis-worker-012".into(),
        incarnation: 90_000,
        sequence: 86_400,
        gate: Gate::Open,
        weights: Some(u64::MAX),
        chunks: 16_384,
        running: 40,
        waiting: 12,
        slots: u16::MAX,
        view: u64::MAX,
        member: None,
    };
    let size = postcard::to_stdvec(&report).unwrap().len();
    assert!(size <= 60, "{size} bytes");
}

//! Tests for the compact serialized form of records.

use std::net::{IpAddr, SocketAddr};

use gossip::{Key, Node, Phase, Record, Target, Value, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6761),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates addresses without IPv6 flow label and scope, which have no meaning on another VM and aren't serialized.
fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn phase() -> impl Strategy<Value = Phase> {
    prop_oneof![Just(Phase::Live), Just(Phase::Leaving), Just(Phase::Down)]
}

fn record() -> impl Strategy<Value = Record> {
    let text = || "[a-z/é]{0,12}";
    let version = any::<(u64, u64, bool)>();
    let content = prop_oneof![
        (text(), text()).prop_map(|(n, text)| (Key::Catalog(n), Value::Catalog(text))),
        (text(), text(), text(), address(), phase()).prop_map(
            |(n, domain, region, peer, phase)| {
                let node = Node {
                    domain,
                    region,
                    peer,
                    phase,
                };
                (Key::Entry(n), Value::Entry(node))
            }
        ),
        (
            text(),
            text(),
            text(),
            text(),
            [address(), address()],
            phase()
        )
            .prop_map(|(n, domain, region, service, [call, chunk], phase)| {
                let target = Target {
                    domain,
                    region,
                    service,
                    call,
                    chunk,
                    phase,
                };
                (Key::Target(n), Value::Target(target))
            }),
    ];
    (content, version).prop_map(|((key, value), (major, minor, down))| Record {
        key,
        version: Version { major, minor, down },
        value,
    })
}

proptest! {
    #![proptest_config(config())]

    // Guards against fields that are written and read in different orders, and against records that read the bytes of
    // the next one.
    #[test]
    fn codec_round_trip(records in proptest::collection::vec(record(), 0..5)) {
        let bytes = postcard::to_stdvec(&records).unwrap();
        prop_assert_eq!(postcard::from_bytes::<Vec<Record>>(&bytes).unwrap(), records);
    }

    // Guards against a truncated record that is accepted as a shorter complete one.
    #[test]
    fn codec_cut_is_error(record in record(), cut in 1_usize..8) {
        let bytes = postcard::to_stdvec(&record).unwrap();
        let end = bytes.len().saturating_sub(cut);
        prop_assert!(postcard::from_bytes::<Record>(&bytes[..end]).is_err());
    }

    // Guards against panics on malformed input from a peer, and against records that change when they are encoded
    // again.
    #[test]
    fn codec_malformed_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        if let Ok(record) = postcard::from_bytes::<Record>(&bytes) {
            let again = postcard::to_stdvec(&record).unwrap();
            prop_assert_eq!(postcard::from_bytes::<Record>(&again).unwrap(), record);
        }
    }
}

// Guards against a record that is written as one kind and read as another.
#[test]
fn codec_kind_mismatch_refused() {
    let record = Record {
        key: Key::Entry("e".into()),
        version: Version::default(),
        value: Value::Catalog("{}".into()),
    };
    assert!(postcard::to_stdvec(&record).is_err());
}

// Guards against growth of the most frequent records: the design assumes 60 bytes per target.
#[test]
fn codec_target_size() {
    let record = Record {
        key: Key::Target("levis-worker-012".into()),
        version: Version {
            major: 90_000,
            minor: 200,
            down: false,
        },
        value: Value::Target(Target {
            domain: "levis".into(),
            region: "levis".into(),
            service: "assistant".into(),
            call: "10.1.2.3:8080".parse().unwrap(),
            chunk: "10.1.2.3:8081".parse().unwrap(),
            phase: Phase::Live,
        }),
    };
    let size = postcard::to_stdvec(&record).unwrap().len();
    assert!(size <= 60, "{size} bytes");
}

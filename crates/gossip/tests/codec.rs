//! The compact form of records.

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

/// Addresses as settings give them: flow label and scope of IPv6 mean nothing on another VM and aren't sent.
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

    // Guards against fields written and read in different order, and against records that eat their neighbours' bytes.
    #[test]
    fn codec_round_trip(records in proptest::collection::vec(record(), 0..5)) {
        let bytes = postcard::to_stdvec(&records).unwrap();
        prop_assert_eq!(postcard::from_bytes::<Vec<Record>>(&bytes).unwrap(), records);
    }

    // Guards against a cut record that is taken for a shorter whole one.
    #[test]
    fn codec_cut_is_error(record in record(), cut in 1_usize..8) {
        let bytes = postcard::to_stdvec(&record).unwrap();
        let end = bytes.len().saturating_sub(cut);
        prop_assert!(postcard::from_bytes::<Record>(&bytes[..end]).is_err());
    }

    // Guards against panics on what a broken peer sends, and against two encodings of one record.
    #[test]
    fn codec_malformed_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        if let Ok(record) = postcard::from_bytes::<Record>(&bytes) {
            let again = postcard::to_stdvec(&record).unwrap();
            prop_assert_eq!(postcard::from_bytes::<Record>(&again).unwrap(), record);
        }
    }
}

// Guards against a record that is stored under one kind and read as another.
#[test]
fn codec_kind_mismatch_refused() {
    let record = Record {
        key: Key::Entry("e".into()),
        version: Version::default(),
        value: Value::Catalog("{}".into()),
    };
    assert!(postcard::to_stdvec(&record).is_err());
}

// Guards against growth of the records that are sent most: the design counts 60 bytes a target.
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

//! Encoded bytes of each message between processes.
//!
//! postcard encodes fields and variants by position, so moving, adding or retyping a field changes the bytes. Processes
//! of two releases run side by side during an upgrade and must understand each other.

use std::fmt::Debug;

use dispatch::{Origin, WeightSource};
use gossip::{Delta, Digest, Key, KeyRange, Node, Phase, Record, Target, Value, Version};
use quarantine::{CrashReport, Evidence};
use quota::{AdvertisedLimit, Grant, PermitRequest, Role};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{
    Datagram, Gate, Load, NamedVersion, PeerRequest, PeerResponse, PermitQuery, Reply, Report,
    Subscription,
};

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

#[track_caller]
fn assert_encoding<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: &T, expected: &str) {
    assert_eq!(to_hex(&postcard::to_stdvec(value).unwrap()), expected);
    assert_eq!(
        postcard::from_bytes::<T>(&from_hex(expected)).unwrap(),
        *value
    );
}

fn named() -> NamedVersion {
    NamedVersion {
        model: "lm".into(),
        version: 300,
        age_ms: Some(1_500),
    }
}

fn statement() -> AdvertisedLimit {
    AdvertisedLimit {
        number: 3,
        limit: Some(2.5),
    }
}

fn target(phase: Phase) -> Record {
    Record {
        key: Key::Target("vm-1".into()),
        version: Version {
            major: 300,
            minor: 2,
            down: phase == Phase::Down,
        },
        value: Value::Target(Target {
            domain: "levis".into(),
            region: "sud".into(),
            service: "assistant".into(),
            call: "10.1.2.3:8080".parse().unwrap(),
            chunk: "10.1.2.3:8081".parse().unwrap(),
            phase,
        }),
    }
}

fn entry() -> Record {
    Record {
        key: Key::Entry("entry-1".into()),
        version: Version {
            major: 7,
            minor: 1,
            down: false,
        },
        value: Value::Entry(Node {
            domain: "levis".into(),
            region: "sud".into(),
            peer: "[::1]:9000".parse().unwrap(),
            phase: Phase::Leaving,
        }),
    }
}

fn catalog() -> Record {
    Record {
        key: Key::Catalog("class/urgent".into()),
        version: Version {
            major: 41,
            minor: 0,
            down: false,
        },
        value: Value::Catalog("{}".into()),
    }
}

fn report(gate: Gate) -> Report {
    Report {
        target: "vm-1".into(),
        incarnation: 300,
        sequence: 86_400,
        gate,
        weights: Some(0x0102_0304_0506_0708),
        chunks: 16_384,
        running: 40,
        waiting: 12,
        slots: 0x8001,
        view: 0x1112_1314_1516_1718,
        member: Some(catalog()),
    }
}

fn digest() -> Digest {
    Digest {
        root: 1_000,
        differs: 5,
        hashes: vec![6, 700],
    }
}

fn delta() -> Delta {
    Delta {
        root: 1_000,
        buckets: vec![1, 2],
        records: vec![catalog()],
        wanted: vec![3],
    }
}

fn reply() -> Reply {
    Reply {
        known: true,
        view: Some(900),
        records: vec![entry()],
        span: Some(KeyRange {
            after: Some(Key::Catalog("a".into())),
            last: Some(Key::Entry("b".into())),
        }),
    }
}

// Guards against datagrams that a process of another release decodes differently.
#[test]
fn format_subscribe() {
    let origin = Origin {
        address: "172.20.0.3:8006".parse().unwrap(),
        bytes_per_s: 912_500,
    };
    let source = WeightSource {
        config: 7,
        model: "lm".into(),
        pieces: 96,
        piece_bytes: 24_576,
        origin: Some(origin),
    };
    let subscription = Subscription {
        domain: "levis".into(),
        named: vec![named()],
        source: Some(source),
        passes_on: true,
        in_touch: false,
    };
    assert_encoding(
        &Datagram::Subscribe(subscription),
        "00056c6576697301026c6dac0201dc0b0107026c6d6080c0010100ac140003c63ef4d8370100",
    );
}

// Guards against load reports that a process of another release decodes differently.
#[test]
fn format_load() {
    let load = Load {
        engine: "10.1.2.3:8080".parse().unwrap(),
        running: 16,
        waiting: 300,
        pace: 1.25,
        accepting: true,
        closes_ms: Some(400),
        weights: vec![("lm".into(), 300)],
        named: vec![named()],
        entries: 6,
        limits: vec![(("desk".into(), Some(1_765_000_000_000)), statement())],
    };
    assert_encoding(
        &Datagram::Load(load),
        "01000a010203903f10ac020000a03f0101900301026c6dac0201026c6dac0201dc0b0601046465736b0180e4ca91af3303010000000000000440",
    );
}

// Guards against lists of entries that a process of another release decodes differently.
#[test]
fn format_entries() {
    let entries = vec!["10.1.2.3:8080".parse().unwrap()];
    assert_encoding(&Datagram::Entries(entries), "0201000a010203903f");
}

// Guards against evidence of crashes that a process of another release decodes differently, and against datagrams that are
// too long to be sent when all numbers are large.
#[test]
fn format_evidence() {
    let evidence = |part, crashes: usize, crash| Evidence {
        part,
        crashes: vec![crash; crashes],
        cleared_ms: Some(300),
    };
    let small = CrashReport {
        crash: 7,
        own_part: 300,
        age_ms: 400,
    };
    let datagram = Datagram::Evidence {
        evidence: vec![evidence(0xdead, 1, small)],
        subscribe: true,
    };
    assert_encoding(&datagram, "0501adbd030107ac02900301ac0201");
    let large = CrashReport {
        crash: u64::MAX,
        own_part: u64::MAX,
        age_ms: u32::MAX,
    };
    let all = vec![evidence(u64::MAX, 8, large); 9];
    let sent = Datagram::evidence(&all).map(|datagram| datagram.encode().unwrap());
    assert_eq!(sent.count(), 3);
}

// Guards against permit requests that a process of another release decodes differently.
#[test]
fn format_ask() {
    let ask = PermitRequest {
        number: 9,
        wanted: 4,
        limit: Some(2.0),
        statement: Some(statement()),
    };
    let question = |role| PermitQuery {
        target: ("desk".into(), None),
        role,
        ask,
    };
    assert_encoding(
        &Datagram::Ask(question(Role::Sole)),
        "03046465736b000009040100000000000000400103010000000000000440",
    );
    assert_encoding(
        &Datagram::Ask(question(Role::Chosen)),
        "03046465736b000109040100000000000000400103010000000000000440",
    );
}

// Guards against permit grants that a process of another release decodes differently.
#[test]
fn format_grant() {
    let grant = Grant {
        number: 9,
        permits: 2,
        pause_ms: 250,
        statement: None,
    };
    let target = ("desk".into(), Some(5));
    assert_encoding(
        &Datagram::Grant { target, grant },
        "04046465736b01050902fa0100",
    );
}

// Guards against records that a peer of another release stores with another kind, version or phase.
#[test]
fn format_records() {
    assert_encoding(&catalog(), "000c636c6173732f757267656e742900027b7d");
    assert_encoding(
        &entry(),
        "0907656e7472792d310701056c65766973037375640100000000000000000000000000000001a846",
    );
    assert_encoding(
        &target(Phase::Live),
        "0204766d2d31ac0202056c657669730373756409617373697374616e74000a010203903f000a010203913f",
    );
    assert_encoding(
        &target(Phase::Down),
        "1604766d2d31ac0202056c657669730373756409617373697374616e74000a010203903f000a010203913f",
    );
}

// Guards against calls that a peer of another release decodes differently.
#[test]
fn format_peer_calls() {
    let call = |request: PeerRequest| to_hex(&postcard::to_stdvec(&request).unwrap());
    let mut open = report(Gate::Open);
    assert_eq!(
        call(PeerRequest::Report {
            report: open.clone()
        }),
        "000d04766d2d31ac0280a3050102030405060708808001280c8180021112131415161718000c636c6173732f757267656e742900027b7d"
    );
    open.member = None;
    open.weights = None;
    assert_encoding(
        &open,
        "0104766d2d31ac0280a305808001280c8180021112131415161718",
    );
    assert_encoding(
        &report(Gate::Closed),
        "0c04766d2d31ac0280a3050102030405060708808001280c8180021112131415161718000c636c6173732f757267656e742900027b7d",
    );
    assert_encoding(
        &report(Gate::Draining),
        "0e04766d2d31ac0280a3050102030405060708808001280c8180021112131415161718000c636c6173732f757267656e742900027b7d",
    );
    let records = vec![entry(), catalog()];
    assert_eq!(
        call(PeerRequest::Push { records }),
        "01020907656e7472792d310701056c65766973037375640100000000000000000000000000000001a846000c636c6173732f757267656e742900027b7d"
    );
    assert_eq!(
        call(PeerRequest::Exchange { digest: digest() }),
        "02e807050206bc05"
    );
    assert_encoding(&digest(), "e807050206bc05");
}

// Guards against replies that a peer of another release decodes differently.
#[test]
fn format_peer_replies() {
    let answer = |response: PeerResponse| to_hex(&postcard::to_stdvec(&response).unwrap());
    assert_eq!(
        answer(PeerResponse::Report(reply())),
        "0001018407010907656e7472792d310701056c65766973037375640100000000000000000000000000000001a846010100016101010162"
    );
    assert_eq!(
        answer(PeerResponse::Push(vec![catalog()])),
        "0101000c636c6173732f757267656e742900027b7d"
    );
    assert_eq!(
        answer(PeerResponse::Exchange(delta())),
        "02e80702010201000c636c6173732f757267656e742900027b7d0103"
    );
    assert_encoding(
        &reply(),
        "01018407010907656e7472792d310701056c65766973037375640100000000000000000000000000000001a846010100016101010162",
    );
    assert_encoding(
        &delta(),
        "e80702010201000c636c6173732f757267656e742900027b7d0103",
    );
}

// Guards against datagrams that a process of another release decodes differently.
#[test]
fn format_without_contents() {
    assert_encoding(&Datagram::Reader, "06");
    assert_encoding(&Datagram::Discover, "07");
}

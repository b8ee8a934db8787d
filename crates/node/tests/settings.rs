//! Reading of settings and the findings about them.

use std::time::Duration;

use node::settings::{Fields, Finding, Interface, Settings, load, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

#[derive(Debug, PartialEq)]
struct Port {
    slots: u32,
    peers: Vec<Peer>,
}

#[derive(Debug, PartialEq)]
struct Peer {
    address: std::net::SocketAddr,
    name: String,
}

impl Settings for Port {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let slots = fields.number("slots", 1..=64, Some(8));
        let peers = fields.objects("peers");
        Some(Self {
            slots: slots?,
            peers: peers?,
        })
    }
}

impl Settings for Peer {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let address = fields.required("address", "an IP address and port");
        let name = fields.text("name");
        Some(Self {
            address: address?,
            name: name?,
        })
    }
}

#[derive(Debug, PartialEq)]
struct Stop(Duration);

impl Settings for Stop {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        fields.seconds("grace_s", 0.0..=60.0).map(Self)
    }
}

// Guards against a check that stops at the first error, so that operators need one start per mistake.
#[test]
fn parse_all_findings_at_once() {
    let text = r#"{"slots": 65, "a/b~c": [1], "peers": [
        {"address": "10.0.0.1", "name": ""}, {"name": 7}, 9]}"#;
    let findings = parse::<Port>(text).unwrap_err();
    let found: Vec<_> = findings
        .iter()
        .map(|Finding { pointer, read, .. }| (pointer.as_str(), read.as_str()))
        .collect();
    let expected = [
        ("/slots", "65"),
        ("/peers/0/address", "\"10.0.0.1\""),
        ("/peers/0/name", "\"\""),
        ("/peers/1/address", "nothing"),
        ("/peers/1/name", "7"),
        ("/peers/2", "9"),
        ("/a~1b~0c", "[1]"),
    ];
    assert_eq!(found, expected);
    assert!(findings.iter().all(|finding| !finding.allowed.is_empty()));
}

// Guards against defaults that aren't applied, and against findings in valid settings.
#[test]
fn parse_valid() {
    let text = r#"{"peers": [{"address": "10.0.0.1:80", "name": "a"}]}"#;
    let port: Port = parse(text).unwrap();
    assert_eq!((port.slots, port.peers.len()), (8, 1));
}

// Guards against an out-of-range duration that is silently clamped.
#[parameterized(
    negative = { "-0.5", None },
    least = { "0", Some(0) },
    fraction = { "1.5", Some(1500) },
    too_long = { "60.5", None },
    text = { "\"5\"", None },
)]
fn parse_seconds(number: &str, expected: Option<u64>) {
    let read = parse::<Stop>(&format!(r#"{{"grace_s": {number}}}"#));
    let expected = expected.map(|ms| Stop(Duration::from_millis(ms)));
    assert_eq!(read.ok(), expected);
}

// Guards against settings that are read for a different interface than the one they select.
#[parameterized(
    absent = { r#"{"grace_s": 1}"#, Some(Interface::Own(Stop(Duration::from_secs(1)))) },
    own = { r#"{"interface": "own", "grace_s": 1}"#, Some(Interface::Own(Stop(Duration::from_secs(1)))) },
    platform = { r#"{"interface": "platform", "peers": []}"#,
        Some(Interface::Platform(Port { slots: 8, peers: Vec::new() })) },
    unknown = { r#"{"interface": "other", "grace_s": 1}"#, None },
)]
fn parse_interface(text: &str, expected: Option<Interface<Stop, Port>>) {
    assert_eq!(parse(text).ok(), expected);
}

// Guards against an unreadable file that is reported without its name.
#[test]
fn load_missing_names_file() {
    let findings = load::<Port>("/nonexistent/entry.json").unwrap_err();
    assert!(
        findings
            .to_string()
            .starts_with("/nonexistent/entry.json: 1 finding")
    );
    assert_eq!(parse::<Port>("{").unwrap_err().len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7365),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against panics on arbitrary text, and against out-of-range numbers that are accepted.
    #[test]
    fn parse_number_range(slots in any::<i64>(), name in "\\PC{0,120}") {
        let peers = serde_json::json!([{"address": "[::1]:80", "name": name}]);
        let text = serde_json::json!({"slots": slots, "peers": peers}).to_string();
        let valid = (1..=64).contains(&slots) && !name.is_empty();
        prop_assert_eq!(parse::<Port>(&text).is_ok(), valid);
    }
}

#[derive(Debug, PartialEq)]
struct Desk(Open);

impl Settings for Desk {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        fields.optional_object("open").map(Self)
    }
}

#[derive(Debug, PartialEq)]
struct Open(Duration);

impl Settings for Open {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        fields.millis("wait_ms", 1..=100, Some(7)).map(Self)
    }
}

// Guards against an optional object that is required after all, and against one whose errors are passed over.
#[parameterized(
    missing = { "{}", Ok(7) },
    set = { r#"{"open": {"wait_ms": 9}}"#, Ok(9) },
    unknown = { r#"{"open": {"wait": 9}}"#, Err("/open/wait") },
    outside = { r#"{"open": {"wait_ms": 101}}"#, Err("/open/wait_ms") },
)]
fn optional_object_fields(text: &str, expected: Result<u64, &str>) {
    match (parse::<Desk>(text), expected) {
        (Ok(Desk(Open(wait))), Ok(ms)) => assert_eq!(wait, Duration::from_millis(ms)),
        (Err(findings), Err(pointer)) => {
            let pointers: Vec<_> = findings.iter().map(|finding| &finding.pointer).collect();
            assert_eq!(pointers, [pointer]);
        }
        (read, expected) => panic!("{read:?} in place of {expected:?}"),
    }
}

//! Validation of sets of entry files.

use std::collections::BTreeMap;

use catalog::{Entry, SourceFile, check};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

const URGENT: &str = r#"{"kind":"class","name":"urgent","owner":"ops","class":"urgent","limits":{},"rank":0,"weight":8,
 "objective":{"answered":0.999,"within_ms":2000,"within":0.95}}"#;
const GREENS: &str = r#"{"kind":"service","name":"greens-desk","owner":"bookings","class":"urgent",
 "limits":{"concurrent":30,"per_target":10,"queue":32,"rate_per_s":50},
 "backend":"plain","repeatable":false,"deadline_ms":5000}"#;
const CLERKS: &str = r#"{"kind":"workspace","name":"clerks","owner":"bookings","class":"urgent",
 "limits":{"concurrent":20},"services":["greens-desk"]}"#;
const MODEL: &str = r#"{"kind":"service","name":"assistant","owner":"office","class":"urgent","limits":{},
 "backend":"model","repeatable":true,"deadline_ms":30000,"model":{"name":"fixtures-lm","version":"v7",
 "digest":"abababababababababababababababababababababababababababababababab","plan":"origin_bytes"}}"#;

/// Checks the valid set with `from` replaced by `to` in every file, and returns the findings as text lines.
fn findings(from: &str, to: &str) -> Vec<String> {
    let files = [
        ("urgent", URGENT),
        ("greens", GREENS),
        ("clerks", CLERKS),
        ("model", MODEL),
    ];
    let texts = files.map(|(file, text)| (file, text.replace(from, to)));
    let sources: Vec<SourceFile<'_>> = texts
        .iter()
        .map(|(file, text)| SourceFile { file, text })
        .collect();
    let targets = BTreeMap::from([("greens-desk".to_owned(), 3)]);
    check(&sources, &targets)
        .findings
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Guards against findings in a valid set.
#[test]
fn check_good_set() {
    assert_eq!(findings("none", "none"), Vec::<String>::new());
}

/// Guards against errors that are missed or reported at the wrong position.
#[parameterized(
    unknown_field = { r#""rank":0"#, r#""rank":0,"colour":1"#,
        "urgent:1:94: /colour: read 1, allowed: the fields kind," },
    field_twice = { r#""rank":0"#, r#""rank":0,"rank":1"#, "urgent:1:92: /rank: read 1, allowed: each field once" },
    no_owner = { r#""owner":"ops","#, "", "urgent:1:1: /owner: read nothing, allowed: the name of the person" },
    empty_owner = { r#""ops""#, r#"" ""#, "urgent:1:41: /owner: read \" \", allowed: the name of the person" },
    share = { "0.95", "1.01", "urgent:2:58: /objective/within: read 1.01, allowed: a number from 0 to 1" },
    negative = { r#""rank":0"#, r#""rank":-1"#, "urgent:1:83: /rank: read -1, allowed: a whole number from 0" },
    class_name = { r#""class":"urgent","limits":{},"rank""#, r#""class":"other","limits":{},"rank""#,
        "urgent:1:55: /class: read \"other\", allowed: the class's own name" },
    class_not_declared = { r#""bookings","class":"urgent""#, r#""bookings","class":"urgnt""#,
        "greens:1:67: /class: read \"urgnt\", allowed: a class that is declared and not retired: \"urgent\"" },
    service_not_declared = { r#"["greens-desk"]"#, r#"["greens-desk","golf"]"#,
        "clerks:2:55: /services/1: read \"golf\", allowed: a service that is declared" },
    service_twice = { r#"["greens-desk"]"#, r#"["greens-desk","greens-desk"]"#,
        "clerks:2:55: /services/1: read \"greens-desk\", allowed: each service once" },
    above_capacity = { r#""concurrent":30"#, r#""concurrent":31"#,
        "greens:2:25: /limits/concurrent: read 31, allowed: at most 30: 3 targets of 10" },
    above_service = { r#""concurrent":20"#, r#""concurrent":31"#,
        "clerks:2:25: /limits/concurrent: read 31, allowed: at most 30, the sum" },
    two_entries = { r#""name":"assistant""#, r#""name":"greens-desk""#,
        "model:1:26: /name: read \"greens-desk\", allowed: one entry for service/greens-desk, which greens has" },
    digest = { "abababab\"", "ABababab\"", "model:3:11: /model/digest: read \"abab" },
    replaced = { r#""plan":"origin_bytes""#, r#""plan":"origin_bytes","replaced":[]"#,
        "model:3:111: /model/replaced: read [], allowed: no field `replaced` in a file: `put` fills it from" },
    no_model = { r#""backend":"plain""#, r#""backend":"model""#,
        "greens:1:1: /model: read nothing, allowed: an object" },
    model_at_plain = { r#""backend":"model""#, r#""backend":"plain""#, "model:2:66: /model: read {\"name\"" },
    not_json = { r#""rank":0"#, r#""rank":"#, "urgent:1:83: read invalid JSON" },
    kind = { r#""class","name""#, r#""clas","name""#, "urgent:1:9: /kind: read \"clas\", allowed: \"class\", " },
)]
fn check_one_fault(from: &str, to: &str, expected: &str) {
    let found = findings(from, to);
    assert!(
        found.iter().any(|line| line.starts_with(expected)),
        "{found:#?}"
    );
}

/// Guards against a check that stops at the first error, so that operators need one run per finding.
#[test]
fn check_all_at_once() {
    let text =
        r#"{"kind":"service","name":"X","limits":{"queue":-1},"backend":"tape","extra":{"a":[]}}"#;
    let sources = [
        SourceFile { file: "a", text },
        SourceFile {
            file: "b",
            text: "[]",
        },
    ];
    let found = check(&sources, &BTreeMap::new()).findings;
    let at = |file: &str| -> Vec<String> {
        let of_file = found.iter().filter(|finding| finding.file == file);
        of_file.map(|finding| finding.pointer.clone()).collect()
    };
    let mut first = at("a");
    first.sort();
    assert_eq!(
        first,
        [
            "/backend",
            "/class",
            "/deadline_ms",
            "/extra",
            "/limits/queue",
            "/name",
            "/owner",
            "/repeatable"
        ]
    );
    assert_eq!(at("b"), ["/kind"]);
}

/// Guards against an active entry that refers to a retired one without a finding.
#[test]
fn check_retired() {
    let found = findings(r#""rank":0"#, r#""rank":0,"retired":true"#);
    assert_eq!(found.len(), 3, "{found:#?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics on corrupted files, and against files that pass the check but can't be parsed as an entry.
    #[test]
    fn check_damaged(at in 0..400_usize, with in "[ -~é]{0,3}", cut in 0..6_usize) {
        let mut text: Vec<char> = MODEL.chars().collect();
        let at = at.min(text.len());
        let end = (at + cut).min(text.len());
        text.splice(at..end, with.chars());
        let text: String = text.into_iter().collect();
        let result = check(&[SourceFile { file: "x", text: &text }], &BTreeMap::new());
        let own = result.findings.iter().any(|finding| !finding.allowed.contains("is declared"));
        prop_assert!(own || serde_json::from_str::<Entry>(&text).is_ok());
    }
}

//! Checks of files while the platform holds malformed objects.

use carobport_catalog::catalogue::Catalogue;
use carobport_catalog::files::Files;
use catalog::StoredEntry;
use platform::{Listing, Object, Revision};
use serde_json::{Value, json};
use yare::parameterized;

fn class(name: &str) -> Value {
    json!({"kind": "class", "name": name, "owner": "ops", "class": name, "limits": {}, "rank": 0,
        "objective": {"answered": 0.9, "within_ms": 1000, "within": 0.9}})
}

fn service(name: &str, class: &str) -> Value {
    json!({"kind": "service", "name": name, "owner": "ops", "class": class, "limits": {}, "backend": "plain",
        "repeatable": true, "deadline_ms": 1000})
}

fn workspace(name: &str, class: &str, service: &str) -> Value {
    json!({"kind": "workspace", "name": name, "owner": "ops", "class": class, "limits": {}, "services": [service]})
}

fn object(name: &str, revision: u64, value: &impl serde::Serialize) -> Object {
    Object {
        name: name.into(),
        revision: Revision::new(0, revision),
        value: serde_json::value::to_raw_value(value).unwrap(),
    }
}

/// Returns a catalogue in which `class/lost` and `service/lost` are malformed and stored entries refer to them.
fn catalogue() -> Catalogue {
    let entries = [
        class("urgent"),
        service("desk", "urgent"),
        service("old", "lost"),
        workspace("clerks", "urgent", "lost"),
    ];
    let mut objects = vec![
        object("class/lost", 41, &json!({"entry": {"kind": "tape"}})),
        object("service/lost", 42, &json!([])),
        // A valid entry stored under another entry's key.
        object(
            "service/moved",
            43,
            &StoredEntry::new(
                serde_json::from_value(entries[1].clone()).unwrap(),
                "ada",
                0,
                "w",
            ),
        ),
    ];
    for (index, entry) in entries.into_iter().enumerate() {
        let stored = StoredEntry::new(serde_json::from_value(entry).unwrap(), "ada", 0, "w");
        objects.push(object(&stored.entry.key(), index as u64, &stored));
    }
    Catalogue::new(&Listing {
        revision: Revision::new(0, 50),
        objects,
        deleted: Vec::new(),
        bytes: 0,
    })
}

/// Guards against a malformed object blocking puts of unrelated entries, and against accepting files that replace or
/// refer to a malformed object or make a stored entry invalid.
#[parameterized(
    other_class = { &[class("standard")], &[] },
    other_service = { &[service("desk", "urgent")], &[] },
    other_workspace = { &[workspace("captains", "urgent", "desk")], &[] },
    same_class = { &[class("lost")], &["class/lost@41"] },
    same_service = { &[service("lost", "urgent")], &["service/lost@42"] },
    other_key = { &[service("moved", "urgent")], &["service/moved@43"] },
    names_class = { &[service("desk", "lost")], &["class/lost@41"] },
    names_service = { &[workspace("captains", "urgent", "lost")], &["service/lost@42"] },
    breaks_stored = { &[json!({"kind": "class", "name": "urgent", "owner": "ops", "class": "urgent", "limits": {},
        "rank": 0, "retired": true, "objective": {"answered": 0.9, "within_ms": 1000, "within": 0.9}})],
        &["clerks", "desk"] },
)]
fn check_with_malformed_objects(files: &[Value], expected: &[&str]) {
    let numbered = files.iter().enumerate();
    let files: Files = numbered
        .map(|(index, value)| (format!("file{index}"), value.to_string()))
        .collect();
    let findings = catalogue().check(&files).findings;
    assert_eq!(findings.is_empty(), expected.is_empty(), "{findings:#?}");
    for expected in expected {
        let matches = |finding: &catalog::Finding| finding.file.contains(expected);
        assert!(findings.iter().any(matches), "{findings:#?}");
    }
}

/// Guards against a finding that doesn't name the malformed object, show its content and say how to fix it.
#[test]
fn finding_names_object() {
    let line = catalogue().malformed["service/lost"].to_string();
    assert!(
        line.starts_with("catalog/service/lost@42:1:1: read [], allowed: a stored entry ("),
        "{line}"
    );
    assert!(
        line.contains("replace the object") && line.contains("its revision is 42"),
        "{line}"
    );
}

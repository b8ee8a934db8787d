//! JSON form of stored catalogue entries.

use catalog::{Entry, StoredEntry};

const SERVICE: &str = r#"{"kind":"service","name":"assistant","owner":"desk","class":"urgent","limits":{"concurrent":40,"per_target":8,"queue":100,"rate_per_s":12.5},"backend":"model","repeatable":true,"deadline_ms":30000,"model":{"name":"lm","version":"v7","digest":"abababababababababababababababababababababababababababababababab","plan":"origin_bytes","replaced":[{"model":"lm","version":"v6","digest":"cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd"}]},"retired":true}"#;
const PLAIN: &str = r#"{"kind":"service","name":"desk","owner":"desk","class":"urgent","limits":{},"backend":"plain","repeatable":false,"deadline_ms":800}"#;
const CLASS: &str = r#"{"kind":"class","name":"urgent","owner":"ops","class":"urgent","limits":{},"rank":0,"weight":2,"objective":{"answered":0.99,"within_ms":1100,"within":0.95}}"#;
const WORKSPACE: &str = r#"{"kind":"workspace","name":"captains","owner":"league","class":"standard","limits":{"concurrent":4},"services":["club-registry"]}"#;

// Guards against entries that a process of another release can't read or reads as something else.
#[test]
fn entry_stored_form() {
    for text in [SERVICE, PLAIN, CLASS, WORKSPACE] {
        let entry: Entry = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_string(&entry).unwrap(), text);
    }
}

// Guards against a plan that is stored under another name.
#[test]
fn entry_plans() {
    for plan in ["origin_bytes", "time_to_replicas", "direct"] {
        let text = SERVICE.replace("origin_bytes", plan);
        let entry: Entry = serde_json::from_str(&text).unwrap();
        assert_eq!(serde_json::to_string(&entry).unwrap(), text);
    }
}

// Guards against a history that a process of another release can't read or reads as something else.
#[test]
fn stored_json_form() {
    let past =
        format!(r#"{{"revision":41,"entry":{WORKSPACE},"author":"a","time_ms":1,"write":"w-1"}}"#);
    let text = format!(
        r#"{{"entry":{WORKSPACE},"author":"b","time_ms":2,"write":"w-2","history":[{past}]}}"#
    );
    let stored: StoredEntry = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&stored).unwrap(), text);
}

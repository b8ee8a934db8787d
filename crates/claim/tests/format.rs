//! Tests for the stored form of a claim table.

use std::time::Duration;

use claim::{Holder, Table};

const STORED: &str = r#"{"slots":[{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"holder":{"name":"vm-2","instance":9},"epoch":2,"from_ms":1760000010000,"until_ms":1760000010000,"wanted_by":"vm-3","prior":{"holder":{"name":"vm-1","instance":1},"from_ms":1759999100000}},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0},{"epoch":0,"from_ms":0,"until_ms":0}]}"#;

// Guards against a table that another build can't read, so that keys would run twice or not at all.
#[test]
fn table_stored_form() {
    let at = Duration::from_secs(1_760_000_000);
    let (first, second) = (Holder::new("vm-1", 1), Holder::new("vm-2", 9));
    let mut table = Table::default();
    table.acquire(3, &first, at, at + claim::TERM);
    table.acquire(3, &second, at, at + claim::TERM);
    table.set_wanted_by(3, Some("vm-3"));
    assert_eq!(serde_json::to_string(&table).unwrap(), STORED);
    assert_eq!(serde_json::from_str::<Table>(STORED).unwrap(), table);
}

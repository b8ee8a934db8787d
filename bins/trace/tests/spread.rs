//! When versions of the configuration came into force.

use trace::{Line, Spread};

const FIRST: &str = r#"
2026-05-05T11:12:20.000Z INFO carobport-entry 250 config-in-force version=4 revision=2 routes=119
2026-05-05T11:12:29.100Z INFO carobport-entry 290 change-read kind=config source=store delay_ms=21
2026-05-05T11:12:29.101Z INFO carobport-entry 250 config-in-force version=5 revision=7 routes=119
"#;
const SECOND: &str = r#"
  9.1101 2026-05-05T11:12:29.110Z INFO carobport-entry 290 change-read kind=versions source=10.1.0.3:7700 delay_ms=3
  9.1111 2026-05-05T11:12:29.111Z INFO carobport-entry 290 change-read kind=config source=10.1.0.3:7700 delay_ms=30
  9.1312 2026-05-05T11:12:29.131Z INFO carobport-entry 250 config-in-force version=6 revision=9 routes=119
"#;
const BEHIND: &str = r#"
2026-05-05T11:12:20.000Z INFO carobport-entry 250 config-in-force version=4 revision=2 routes=119
"#;

fn lines() -> Vec<Line> {
    let logs = [("e1", FIRST), ("e2", SECOND), ("e3", BEHIND)];
    let lines = logs.iter().flat_map(|(name, log)| {
        let lines = log.lines();
        lines.filter_map(|text| Line::parse(name, text))
    });
    lines.collect()
}

// Guards against an entry that is told to be up to date, or behind, by a version that it skipped, and against the source of
// another kind's change. A log collector may have put a time of its own before each line.
#[test]
fn new_takes_first_version_in_force() {
    let spread = Spread::new(5, &lines());
    let arrivals = spread.arrivals().iter();
    let arrivals: Vec<_> = arrivals
        .map(|arrival| (&arrival.entry[..2], arrival.version, &*arrival.source))
        .collect();
    assert_eq!(arrivals, [("e1", 5, "store"), ("e2", 6, "10.1.0.3:7700")]);
    let text = spread.to_string();
    assert!(
        text.starts_with("version 5 came into force at 2 of 3 entries"),
        "{text}"
    );
    assert!(text.contains("all after 30 ms"), "{text}");
    assert!(
        text.contains("never  e3 carobport-entry  version=4"),
        "{text}"
    );
    assert!(Spread::new(7, &lines()).arrivals().is_empty());
}

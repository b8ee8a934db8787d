//! Timelines of requests, and the parser of log lines.

use std::time::Duration;

use proptest::prelude::*;
use trace::{Line, Timeline};
use yare::parameterized;

const LOG: &str = r#"
2026-05-05T11:12:20.000Z INFO carobport-entry 250 config-in-force version=4 revision=2 routes=119
2026-05-05T11:12:29.100Z INFO carobport-entry 241 attempt-failed request=other target=t-2 failure=late
2026-05-05T11:12:29.200Z INFO carobport-entry 241 attempt-failed request=7b88 target=t-1 failure=broken attempt=1
2026-05-05T11:12:29.250Z WARN carobport-entry 242 target-ejected target=t-1
2026-05-05T11:12:29.260Z WARN carobport-entry 242 target-ejected target=t-9
not a line
2026-05-05T11:12:29.300Z INFO carobport-entry 251 version-named model="a b" version=2
2026-05-05T11:12:29.372Z WARN carobport-entry 246 stream-cut request=7b88 target=t-3 failure=refused after=15
"#;

fn lines() -> Vec<Line> {
    LOG.lines()
        .filter_map(|text| Line::parse("e1", text))
        .collect()
}

// Guards against a timeline without the events of the request's targets, or with those of other targets and requests.
#[test]
fn new_selects_targets_and_processes() {
    let timeline = Timeline::new("7b88", &lines(), Duration::from_secs(2));
    let numbers: Vec<u16> = timeline.lines().iter().map(|line| line.number).collect();
    assert_eq!(numbers, [241, 242, 251, 246]);
    let text = timeline.to_string();
    assert!(
        text.starts_with("*       0 ms  e1 carobport-entry  241"),
        "{text}"
    );
    assert!(text.contains("*     172 ms"), "{text}");
    assert!(Timeline::new("none", &lines(), Duration::from_secs(2)).is_empty());
}

// Guards against misreading lines with a prefix, failing on lines of other programs, and cutting quoted values at a
// space.
#[parameterized(
    plain = { "2026-05-05T11:12:29.100Z INFO p 1 n a=1 b=x", Some(&[("a", "1"), ("b", "x")]) },
    quoted = { r#"2026-05-05T11:12:29.100Z INFO p 1 n a="x \"y\" z" b=2"#, Some(&[("a", r#"x "y" z"#), ("b", "2")]) },
    prefixed = { "  -9.1 vm-1 2026-05-05T11:12:29.100Z INFO p 1 n a=1", Some(&[("a", "1")]) },
    no_fields = { "2026-05-05T11:12:29.100Z INFO p 1 n", Some(&[]) },
    no_time = { "INFO p 1 n a=1", None },
    no_number = { "2026-05-05T11:12:29.100Z INFO p n a=1", None },
)]
fn parse_forms(text: &str, expected: Option<&[(&str, &str)]>) {
    let line = Line::parse("f", text);
    let fields = line.as_ref().map(|line| {
        line.fields
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect::<Vec<_>>()
    });
    assert_eq!(fields.as_deref(), expected);
}

proptest! {
    // Guards against log lines that make the parser panic.
    #[test]
    fn parse_any(text in "[ -~\"\\\\=]{0,80}") {
        let _ = Line::parse("f", &text);
        let _ = Line::parse("f", &format!("2026-05-05T11:12:29.100Z INFO p 1 n {text}"));
    }
}

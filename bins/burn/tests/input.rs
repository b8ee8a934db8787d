//! Tests of metrics parsing, outcome classification, sample files and window pairs.

use std::path::PathBuf;

use burn::metrics::{Error, parse};
use burn::outcome::{Verdict, classify};
use burn::sample::{Observation, Sample};
use burn::{WindowPair, file};
use yare::parameterized;

fn temp_path(test: &str) -> PathBuf {
    let name = format!("{test}-{}.jsonl", std::process::id());
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn sample(time_ms: u64) -> Sample {
    Sample {
        time_ms,
        entry: "127.0.0.1:1".into(),
        observation: Observation::Error("closed".into()),
    }
}

/// Guards against lost counts when label values contain quotes, commas or braces, or labels come in another order.
#[test]
fn parse_metrics_labels() {
    let text = "carobport_requests_total{outcome=\"not-run\",service=\"a\\\"},{\\\\\",reason=\"queue\",class=\"u\"} 2\n\
        carobport_requests_total{service=\"b\",class=\"u\",reason=\"queue\",outcome=\"not-run\"} 3\n\
        carobport_start_time_seconds 12.5\n# EOF\n";
    let reading = parse(text).unwrap();
    assert_eq!(reading.requests["u"]["not-run/queue"], 5);
    assert_eq!(reading.started, Some(12.5));
}

/// Guards against accepting truncated metrics, whose missing counters would look like a restart.
#[test]
fn parse_malformed_metrics() {
    assert_eq!(
        parse("carobport_requests_total{class=\"u\"} 1\n"),
        Err(Error::Truncated)
    );
    let text = "carobport_requests_total{class=\"u\",outcome=\"answered\"} many\n# EOF\n";
    assert!(matches!(
        parse(text),
        Err(Error::InvalidLine { line: 1, .. })
    ));
}

/// Guards against overload that doesn't consume the budget, and against callers' own limits that do.
#[parameterized(
    answered = { "answered", Verdict::Good },
    gone = { "gone", Verdict::Excluded },
    own_rate = { "not-run/rate", Verdict::Excluded },
    shared_rate = { "not-run/shared-rate", Verdict::Bad },
    overload = { "not-run/wait", Verdict::Bad },
    cut = { "cut", Verdict::Bad },
    timed_out = { "unknown/timed-out", Verdict::Bad },
    new_reason = { "not-run/something-new", Verdict::Bad },
    old_entry = { "not-run", Verdict::Bad },
)]
fn classify_cause(cause: &str, expected: Verdict) {
    assert_eq!(classify(cause), expected);
}

/// Guards against losing samples after the process was killed while writing a line.
#[test]
fn read_and_append_after_partial_line() {
    let path = temp_path("partial");
    file::append(&path, &[sample(1), sample(2)]).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &text[..text.len() - 5]).unwrap();
    assert_eq!(file::read(&path, 0, 0).unwrap(), [sample(1)]);
    file::append(&path, &[sample(3)]).unwrap();
    assert_eq!(file::read(&path, 0, 0).unwrap(), [sample(1), sample(3)]);
    assert_eq!(file::read(&path, 2, 0).unwrap(), [sample(3)]);
}

/// Guards against silently skipping invalid lines of a damaged file: the error lists each of them.
#[test]
fn read_reports_all_invalid_lines() {
    let path = temp_path("malformed");
    std::fs::write(&path, "{}\n\n").unwrap();
    let error = file::read(&path, 0, 0).unwrap_err().to_string();
    assert!(
        error.contains("line 1") && error.contains("line 2"),
        "{error}"
    );
}

/// Guards against accepting window pairs that are swapped or empty, or whose rate is missing or not a number.
#[parameterized(
    good = { "5m/1h@14.4", true },
    swapped = { "1h/5m@14.4", false },
    zero = { "0m/5m@2", false },
    no_rate = { "5m/1h", false },
    not_a_number = { "5m/1h@nan", false },
)]
fn parse_pair(text: &str, good: bool) {
    assert_eq!(text.parse::<WindowPair>().is_ok(), good);
}

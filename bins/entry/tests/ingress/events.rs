//! Splitting of streams into whole events.

use entry::ingress::events::{Error, Splitter};
use proptest::prelude::*;
use yare::parameterized;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {{\"text\": \"part {id}\"}}\n\n")
}

fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

// Guards against forwarding a partial event, which a caller would take for a whole one when the target fails.
#[test]
fn push_buffers_partial_events() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n").unwrap().is_empty());
    assert!(splitter.finish().is_none());
    assert_eq!(splitter.push(b"\nid").unwrap(), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last(), Some(1));
    assert!(splitter.finish().is_none());
}

// Guards against duplicated or missing events when a stream resumes at another target.
#[parameterized(
    goes_on = { Some(2), 3, Ok(3) },
    again = { Some(5), 3, Ok(5) },
    gap = { Some(1), 3, Err(Error::Gap { last: 1, found: 3 }) },
    fresh = { None, 1, Ok(3) },
)]
fn push_checks_event_order(after: Option<u64>, first: u64, expected: Result<u64, Error>) {
    let mut splitter = Splitter::after(after);
    let result = splitter.push(stream(first..=3).as_bytes());
    assert_eq!(result.map(|_| splitter.last().unwrap()), expected);
}

// Guards against failing on CRLF line ends, comments, unknown fields and ids without a space after the colon.
#[parameterized(
    carriage_return = { "id: 1\r\ndata: a\r\n\r\n", Some(1) },
    comment = { ": ping\n\n: ping\r\n\r\nid: 2\ndata: a\n\n", Some(2) },
    version_line = { "x-version: 3\nid: 4\ndata: a\n\n", Some(4) },
    no_space = { "id:9\n\n", Some(9) },
)]
fn push_line_ends_and_fields(text: &str, last: Option<u64>) {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(text.as_bytes()).unwrap(), text);
    assert_eq!(splitter.last(), last);
    assert_eq!(splitter.finish().unwrap(), "");
}

// Guards against counting comments of a stalled target as progress, and against losing comments or taking them for a
// part of an event.
#[test]
fn push_returns_comments_with_events() {
    let mut splitter = Splitter::default();
    for _ in 0..3 {
        assert_eq!(splitter.push(b": soon\n\n").unwrap(), "");
    }
    let events = splitter.push(b"data: a\n\n: la").unwrap();
    assert_eq!(events, ": soon\n\n: soon\n\n: soon\n\ndata: a\n\n");
    assert_eq!(splitter.push(b"st\n\n").unwrap(), "");
    assert_eq!(splitter.finish().unwrap(), ": last\n\n");
}

// Guards against unbounded memory use when a target never ends its event.
#[test]
fn push_rejects_unterminated_event() {
    let mut splitter = Splitter::default();
    let result = (0..1_000).find_map(|_| splitter.push(&[b'a'; 1_000]).err());
    assert_eq!(result, Some(Error::TooLong));
}

proptest! {
    // Guards against results that depend on how the network splits the stream into chunks.
    #[test]
    fn push_in_any_chunks(count in 1u64..12, cuts in proptest::collection::vec(1usize..40, 1..60), crlf: bool) {
        let mut whole = stream(1..=count);
        if crlf {
            whole = whole.replace('\n', "\r\n");
        }
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            let events = splitter.push(piece).unwrap();
            prop_assert!(events.is_empty() || events.ends_with(b"\n"));
            passed.extend_from_slice(&events);
            rest = tail;
        }
        prop_assert_eq!(passed, whole.as_bytes());
        prop_assert_eq!(splitter.last(), Some(count));
    }

    // Guards against lost, duplicated or truncated events when an attempt ends at any byte and another one resumes.
    #[test]
    fn push_resumed_at_any_byte(count in 1u64..10, cut in 0usize..400) {
        let whole = stream(1..=count);
        let cut = cut.min(whole.len());
        let mut first = Splitter::default();
        let mut passed = first.push(&whole.as_bytes()[..cut]).unwrap().to_vec();
        let last = first.last();
        let mut second = Splitter::after(last);
        let rest = stream(last.unwrap_or(0) + 1..=count);
        passed.extend_from_slice(&second.push(rest.as_bytes()).unwrap());
        prop_assert_eq!(passed, whole.as_bytes());
    }

    // Guards against panics on arbitrary bytes.
    #[test]
    fn push_any_bytes(pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..60), 0..40)) {
        let mut splitter = Splitter::default();
        for piece in &pieces {
            if splitter.push(piece).is_err() {
                break;
            }
        }
    }
}

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

fn event_in(crlf: bool) -> impl Fn(u64) -> String {
    move |id| match crlf {
        true => event(id).replace('\n', "\r\n"),
        false => event(id),
    }
}

/// Returns an event beyond the maximum size.
fn long_event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", "a".repeat(300_000))
}

/// Pushes `bytes` in pieces of the lengths `cuts` until an error, and returns the events.
fn push_in_pieces(splitter: &mut Splitter, bytes: &[u8], cuts: &[usize]) -> Vec<u8> {
    let mut events = Vec::new();
    let mut rest = bytes;
    for cut in cuts.iter().cycle() {
        let (piece, tail) = rest.split_at((*cut).min(rest.len()));
        match splitter.push(piece) {
            Ok(whole) => events.extend_from_slice(&whole),
            Err(_) => break,
        }
        if tail.is_empty() {
            break;
        }
        rest = tail;
    }
    events
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

// Guards against losing whole events that arrive in the same chunk as a malformed one: `last` had advanced over them,
// so the stream resumed without them.
#[parameterized(
    gap = { stream(7..=8), Error::Gap { last: 5, found: 7 } },
    too_long = { long_event(6) + &event(7), Error::TooLong },
    too_long_unterminated = { "a".repeat(300_000), Error::TooLong },
)]
fn push_returns_events_before_error(tail: String, expected: Error) {
    let whole = stream(4..=5);
    let mut splitter = Splitter::after(Some(3));
    let events = splitter.push((whole.clone() + &tail).as_bytes());
    assert_eq!(events.unwrap(), whole);
    assert_eq!(splitter.last(), Some(5));
    assert_eq!(splitter.push(b""), Err(expected));
    assert_eq!(splitter.push(event(6).as_bytes()), Err(expected));
    assert!(splitter.finish().is_none());
}

// Guards against an error that depends on how the network splits a stream: an event beyond the maximum size was
// returned if it arrived at once.
#[parameterized(
    first = { None },
    resumed = { Some(5) },
)]
fn push_long_event_at_once(after: Option<u64>) {
    let mut splitter = Splitter::after(after);
    let result = splitter.push(long_event(6).as_bytes());
    assert_eq!(result, Err(Error::TooLong));
    assert_eq!(splitter.last(), after);
}

// Guards against repeated events when a target repeats some of its own, or a resumed one starts too early.
#[parameterized(
    back = { None, "id: 4\n\nid: 5\n\nid: 4\n\nid: 5\n\nid: 6\n\n", "id: 4\n\nid: 5\n\nid: 6\n\n" },
    early = { Some(5), "id: 4\n\nid: 5\n\nid: 6\n\n", "id: 6\n\n" },
    unnumbered_repeated = { Some(5), "id: 4\n\ndata: a\n\nid: 5\n\ndata: b\n\nid: 6\n\n", "data: b\n\nid: 6\n\n" },
    crlf = { Some(5), "id: 5\r\ndata: a\r\ndata: b\r\n\r\nid: 6\r\n\r\n", "id: 6\r\n\r\n" },
    several_lines = { Some(5), "id: 5\ndata: a\ndata: id: 9\n\nid: 6\ndata: c\ndata:\n\n", "id: 6\ndata: c\ndata:\n\n" },
    version_line = { Some(5), "x-version: 3\nid: 5\n\nx-version: 4\nid: 6\n\n", "x-version: 4\nid: 6\n\n" },
)]
fn push_skips_repeated_events(after: Option<u64>, text: &str, expected: &str) {
    for cut in 0..=text.len() {
        let mut splitter = Splitter::after(after);
        let mut events = splitter.push(&text.as_bytes()[..cut]).unwrap().to_vec();
        events.extend_from_slice(&splitter.push(&text.as_bytes()[cut..]).unwrap());
        assert_eq!(String::from_utf8(events).unwrap(), expected, "cut at {cut}");
        assert_eq!(splitter.last(), Some(6));
    }
}

// Guards against resuming a stream whose last events have no id: the other target would send them again.
#[parameterized(
    fresh = { None, "", false },
    resumed = { Some(3), "", true },
    numbered = { None, "data: a\n\nid: 1\n\n", true },
    unnumbered = { None, "data: a\n\n", false },
    unnumbered_last = { Some(3), "id: 4\n\ndata: a\n\n", false },
    comment_last = { Some(3), "id: 4\n\n: a\n\n", true },
)]
fn is_resumable_after_numbered_event(after: Option<u64>, text: &str, expected: bool) {
    let mut splitter = Splitter::after(after);
    splitter.push(text.as_bytes()).unwrap();
    assert_eq!(splitter.is_resumable(), expected);
}

proptest! {
    // Guards against lost or repeated events when a target leaves out any event and the stream resumes at another one,
    // however the network splits both.
    #[test]
    fn push_resumed_after_gap(count in 2u64..12, dropped in 0usize..12, cuts in proptest::collection::vec(1usize..90, 1..30), crlf: bool) {
        let all: Vec<String> = (1..=count).map(event_in(crlf)).collect();
        let dropped = dropped % all.len();
        let without = [&all[..dropped], &all[dropped + 1..]].concat().concat();
        let mut first = Splitter::after(Some(0));
        let mut passed = push_in_pieces(&mut first, without.as_bytes(), &cuts);
        let last = first.last().unwrap() as usize;
        prop_assert_eq!(last, dropped);
        let whole = all.concat();
        let sent: usize = all[..last].iter().map(String::len).sum();
        prop_assert_eq!(&passed, &whole.as_bytes()[..sent]);
        let mut second = Splitter::after(first.last());
        passed.extend(push_in_pieces(&mut second, whole.as_bytes(), &cuts));
        prop_assert_eq!(passed, whole.as_bytes());
        prop_assert!(second.finish().is_some());
    }

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

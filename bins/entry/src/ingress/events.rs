//! Splits a stream of server-sent events, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT: usize = 256 << 10;

/// Collects the bytes of a stream and gives out whole events in order.
///
/// Comments go with the event that follows them: a target that sends nothing else makes no progress.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that are whole blocks of comments.
    comments: usize,
    /// Bytes of the buffer that hold no end of an event.
    scanned: usize,
    /// Id of the last event that was given out, or after which the stream goes on.
    last: Option<u64>,
}

/// A stream that can't be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// An event is missing.
    #[error("event {found} came after event {last}")]
    Gap {
        /// Id of the event before.
        last: u64,
        /// Id of the event.
        found: u64,
    },
    /// An event has no end.
    #[error("an event exceeds {MAX_EVENT} bytes")]
    TooLong,
}

impl Splitter {
    /// Returns a splitter for a stream that goes on after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was given out, or after which the stream goes on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the comments after the last event, or `None` when a part of an event is held: the stream broke off.
    pub fn finish(&mut self) -> Option<Bytes> {
        let whole = self.buffer.len() == self.comments;
        self.comments = 0;
        self.scanned = 0;
        whole.then(|| self.buffer.split().freeze())
    }

    /// Takes bytes and returns the events that are whole now; events that came before are left out.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when an event is missing or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.next_end() {
            if is_comment(&self.buffer[self.comments..end]) {
                self.comments = end;
                self.scanned = end;
                continue;
            }
            self.comments = 0;
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            if self.accept(&event)? {
                match whole.is_empty() {
                    true => whole = event,
                    false => whole.unsplit(event),
                }
            }
        }
        match self.buffer.len() > MAX_EVENT {
            true => Err(Error::TooLong),
            false => Ok(whole.freeze()),
        }
    }

    /// Leaves out the events up to `last`: those of `given`, whole events that were given out before, and those to come.
    pub fn skip_to(&mut self, last: Option<u64>, given: &Bytes) -> Bytes {
        let mut others = Self::after(last);
        // The events given out follow each other; without the first of them no event is missing.
        let rest = others.push(given).unwrap_or_else(|_| given.clone());
        self.last = self.last.max(last);
        rest
    }

    /// Returns the end of the first block of lines after the comments, with the blank line that ends it.
    fn next_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut at = self.scanned;
        while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + found + 1;
            match &bytes[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                [] | [b'\r'] => {
                    self.scanned = at + found;
                    return None;
                }
                _ => at = line_end,
            }
        }
        self.scanned = bytes.len();
        None
    }

    /// Checks the order of an event, and returns whether it is new.
    fn accept(&mut self, event: &[u8]) -> Result<bool, Error> {
        let Some(found) = id(event) else {
            return Ok(true);
        };
        match self.last {
            Some(last) if found <= last => Ok(false),
            Some(last) if found > last + 1 => Err(Error::Gap { last, found }),
            _ => {
                self.last = Some(found);
                Ok(true)
            }
        }
    }
}

/// Tells whether a block of lines holds only comments.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the id of an event, if it has one that is a number.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

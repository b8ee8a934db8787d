//! Splits a stream of server-sent events, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT: usize = 256 << 10;

/// Collects the bytes of a stream and gives out whole events in order.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
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

    /// Tells whether no part of an event is held.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
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

    /// Returns the length of the first event, with the blank line that ends it.
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

/// Returns the id of an event, if it has one that is a number.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

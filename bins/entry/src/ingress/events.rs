//! Splitting of server-sent event streams, so that only whole events are forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers the bytes of a stream and returns whole events in order.
///
/// Comments are returned with the event that follows them, because a target that sends only comments makes no progress.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the complete comment blocks at the start of the buffer.
    comment_len: usize,
    /// Length of the prefix of the buffer that was searched and contains no end of an event.
    scanned_len: usize,
    /// Id of the last event that was returned, or after which the stream resumes.
    last: Option<u64>,
    /// Whether the target is repeating events before `last`, so that an event without an id is a repeated one, too.
    repeating: bool,
    /// Whether the last event that was returned has an id; `None` if no event was returned.
    last_numbered: Option<bool>,
    /// Error that follows the events returned so far.
    error: Option<Error>,
}

/// An error in a stream, after which it can't be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// One or more events are missing.
    #[error("event {found} follows event {last}: events are missing")]
    Gap {
        /// Id of the previous event.
        last: u64,
        /// Id of the event that was received.
        found: u64,
    },
    /// An event exceeds the maximum size.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

impl Splitter {
    /// Returns a splitter for a stream that resumes after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was returned, or after which the stream resumes.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether any event was returned.
    pub fn has_events(&self) -> bool {
        self.last_numbered.is_some()
    }

    /// Returns whether another target may resume the stream after `last`.
    ///
    /// It may not if events without an id were returned since: the other target would repeat them.
    pub fn is_resumable(&self) -> bool {
        self.last_numbered.unwrap_or(self.last.is_some())
    }

    /// Returns the number of bytes that are held until the event that they belong to is complete.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the error that follows the events returned so far.
    pub fn error(&self) -> Option<Error> {
        self.error
    }

    /// Returns the comments after the last event, or `None` if the stream is malformed or ended within an event.
    pub fn finish(&mut self) -> Option<Bytes> {
        let whole = self.error.is_none() && self.buffer.len() == self.comment_len;
        self.comment_len = 0;
        self.scanned_len = 0;
        whole.then(|| self.buffer.split().freeze())
    }

    /// Appends `bytes` and returns the events that are now complete, except those whose ids were returned before.
    ///
    /// Whole events before an error are returned; the error is then available from [`Splitter::error`], and the next
    /// call returns it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if an event is missing or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        if let Some(error) = self.error {
            return Err(error);
        }
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        self.error = self.split_into(&mut events).err();
        match self.error {
            Some(error) if events.is_empty() => Err(error),
            _ => Ok(events.freeze()),
        }
    }

    /// Moves the whole events from the buffer to `events`, except those whose ids were returned before.
    fn split_into(&mut self, events: &mut BytesMut) -> Result<(), Error> {
        while let Some(end) = self.find_block_end() {
            if is_comment(&self.buffer[self.comment_len..end]) {
                self.comment_len = end;
                self.scanned_len = end;
                continue;
            }
            if end > MAX_EVENT_BYTES {
                return Err(Error::TooLong);
            }
            self.comment_len = 0;
            let event = self.buffer.split_to(end);
            self.scanned_len = 0;
            if self.accept(&event)? {
                match events.is_empty() {
                    true => *events = event,
                    false => events.unsplit(event),
                }
            }
        }
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(Error::TooLong),
            false => Ok(()),
        }
    }

    /// Skips events up to `last`, both in `returned`, which holds the events returned so far, and in the rest of the
    /// stream; returns what is left of `returned`.
    pub fn skip_through(&mut self, last: Option<u64>, returned: &Bytes) -> Bytes {
        let mut splitter = Self::after(last);
        // The returned events are consecutive, so skipping the first of them leaves no gap.
        let rest = splitter.push(returned).unwrap_or_else(|_| returned.clone());
        self.last = self.last.max(last);
        rest
    }

    /// Returns the end of the first block after the comments, including the blank line that terminates it.
    fn find_block_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut start = self.scanned_len;
        while let Some(found) = bytes[start..].iter().position(|byte| *byte == b'\n') {
            let line_end = start + found + 1;
            match &bytes[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                [] | [b'\r'] => {
                    self.scanned_len = start + found;
                    return None;
                }
                _ => start = line_end,
            }
        }
        self.scanned_len = bytes.len();
        None
    }

    /// Checks the sequence of an event's id, and returns whether the event is new.
    fn accept(&mut self, event: &[u8]) -> Result<bool, Error> {
        let Some(found) = event_id(event) else {
            if !self.repeating {
                self.last_numbered = Some(false);
            }
            return Ok(!self.repeating);
        };
        self.repeating = self.last.is_some_and(|last| found < last);
        match self.last {
            Some(last) if found <= last => Ok(false),
            Some(last) if found > last + 1 => Err(Error::Gap { last, found }),
            _ => {
                self.last = Some(found);
                self.last_numbered = Some(true);
                Ok(true)
            }
        }
    }
}

/// Returns whether a block of lines consists only of comments.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the id of an event if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

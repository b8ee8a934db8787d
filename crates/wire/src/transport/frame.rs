//! Length-prefixed frames with a maximum length.

use std::io;

use compio::buf::{IoBufMut, Slice};
use compio_io::framed::frame::{self, Frame};

/// Maximum length of a frame in bytes, without its length field.
///
/// The largest message is an exchange of all records of a bucket; the records of a full failure domain (722 of 60
/// bytes) take 43 KB.
pub const MAX_FRAME: usize = 1 << 20;

/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Framer with a 4-byte big-endian length prefix of at most [`MAX_FRAME`].
#[derive(Clone, Copy, Debug)]
pub struct Framer;

impl<B: IoBufMut> frame::Framer<B> for Framer {
    fn enclose(&mut self, buf: &mut B) {
        let len = (*buf).buf_len();
        // The codec has already rejected messages longer than `MAX_FRAME`.
        let field = u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes();
        buf.extend_from_slice(&[0; LENGTH_BYTES])
            .expect("the write buffer is growable");
        buf.copy_within(0..len, LENGTH_BYTES);
        buf.as_mut_slice()[..LENGTH_BYTES].copy_from_slice(&field);
    }

    fn extract(&mut self, buf: &Slice<B>) -> io::Result<Option<Frame>> {
        let Some(field) = buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*field) as usize;
        if len > MAX_FRAME {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("a frame of {len} bytes exceeds the limit of {MAX_FRAME}"),
            ));
        }
        let complete = buf.len() >= LENGTH_BYTES + len;
        Ok(complete.then(|| Frame::new(LENGTH_BYTES, len, 0)))
    }
}

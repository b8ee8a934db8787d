//! Frames with a bounded length.

use std::io;

use compio::buf::{IoBufMut, Slice};
use compio_io::framed::frame::{Frame, Framer};

/// Most bytes in a frame, without its length field.
///
/// The largest message is a full bucket exchange; a full domain of records (722 of 60 B) is 43 KB.
pub const MAX_FRAME: usize = 1 << 20;

const LENGTH: usize = 4;

/// Framer with a 4-byte big-endian length of at most [`MAX_FRAME`].
#[derive(Clone, Copy, Debug)]
pub struct Bounded;

impl<B: IoBufMut> Framer<B> for Bounded {
    fn enclose(&mut self, buf: &mut B) {
        let len = (*buf).buf_len();
        // The codec refuses longer messages before they get here.
        let field = u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes();
        buf.extend_from_slice(&[0; LENGTH])
            .expect("the write buffer grows");
        buf.copy_within(0..len, LENGTH);
        buf.as_mut_slice()[..LENGTH].copy_from_slice(&field);
    }

    fn extract(&mut self, buf: &Slice<B>) -> io::Result<Option<Frame>> {
        let Some(field) = buf.first_chunk::<LENGTH>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*field) as usize;
        if len > MAX_FRAME {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("a frame of {len} bytes exceeds the limit of {MAX_FRAME}"),
            ));
        }
        let complete = buf.len() >= LENGTH + len;
        Ok(complete.then(|| Frame::new(LENGTH, len, 0)))
    }
}

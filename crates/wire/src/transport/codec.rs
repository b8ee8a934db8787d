//! Encoding of messages as postcard.

use std::io;

use compio::buf::{IoBuf, IoBufMut, Slice};
use compio_io::framed::codec::{Decoder, Encoder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::frame::MAX_FRAME;

/// Codec that encodes messages as postcard; each frame holds exactly one message.
#[derive(Clone, Copy, Debug)]
pub struct Codec;

impl<T: Serialize, B: IoBufMut> Encoder<T, B> for Codec {
    type Error = io::Error;

    fn encode(&mut self, item: T, buf: &mut B) -> io::Result<()> {
        let bytes = postcard::to_stdvec(&item).map_err(invalid_data)?;
        if bytes.len() > MAX_FRAME {
            return Err(invalid_data(format!(
                "a message of {} bytes exceeds the limit of {MAX_FRAME}",
                bytes.len()
            )));
        }
        buf.extend_from_slice(&bytes).map_err(io::Error::other)
    }
}

impl<T: DeserializeOwned, B: IoBuf> Decoder<T, B> for Codec {
    type Error = io::Error;

    fn decode(&mut self, buf: &Slice<B>) -> io::Result<T> {
        let (message, trailing) = postcard::take_from_bytes(buf).map_err(invalid_data)?;
        if !trailing.is_empty() {
            return Err(invalid_data(format!(
                "{} trailing bytes after a message",
                trailing.len()
            )));
        }
        Ok(message)
    }
}

fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

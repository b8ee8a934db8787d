//! tarpc over TCP with postcard encoding and bounded frames.
//!
//! A frame is a 4-byte big-endian length followed by that many bytes of postcard. Both sides reject frames longer than
//! [`MAX_FRAME`]; a malformed or oversized frame closes the connection with an error. [`connect`] and [`serve`] need a
//! compio runtime and an entered Tokio timer context, which `node::run` sets up: tarpc's client panics without the
//! Tokio context. Tokio timers never fire there, so tarpc's own deadlines have no effect and [`Client`] applies its own
//! timeout to each call.

mod client;
mod codec;
mod frame;
mod server;
mod writer;

use std::io;

use compio::net::TcpStream;
use compio_io::framed::Framed;

pub use client::{Client, Error, connect};
pub use codec::Codec;
pub use frame::{Framer, MAX_FRAME};
pub use server::serve;
pub use writer::Writer;

/// A connection that sends `Out` and receives `In`.
pub type Transport<Out, In> = Framed<TcpStream, Writer, Codec, Framer, Out, In>;

/// Returns a transport over `stream`.
///
/// # Errors
///
/// Fails when a socket option can't be set.
pub fn transport<Out, In>(stream: TcpStream) -> io::Result<Transport<Out, In>> {
    // Messages are small and replied to at once; Nagle's algorithm would delay them by up to 40 ms.
    stream.set_nodelay(true)?;
    Ok(Framed::new::<Out, In>(Codec, Framer)
        .with_reader(stream.clone())
        .with_writer(Writer::new(stream)))
}

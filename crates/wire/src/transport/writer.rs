//! Write half of a connection.

use std::io;

use compio::BufResult;
use compio::buf::IoBuf;
use compio::io::AsyncWrite;
use compio::net::TcpStream;

/// Write half of a TCP stream whose shutdown runs without compio's thread pool.
#[derive(Debug)]
pub struct Writer(TcpStream);

impl Writer {
    /// Returns the write half of `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl AsyncWrite for Writer {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.0.write(buf).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.0.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        node::shutdown_write(&self.0)
    }
}

//! TCP stream that implements hyper's I/O traits.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};

use super::admission::Connection;

/// Number of consecutive reads that complete immediately before the stream yields to other tasks.
const MAX_CONSECUTIVE_READS: u32 = 16;

/// Maximum number of bytes passed to the inner stream at once. It copies them into a buffer of its own, which grows to the
/// largest write and stays that large while the connection is open.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// [`HyperStream`] whose shutdown runs without compio's thread pool, and which yields to other tasks while data keeps
/// arriving.
pub struct Stream {
    inner: HyperStream<TcpStream>,
    socket: TcpStream,
    consecutive_reads: u32,
    /// The connection that received bytes are recorded for, if it is a server's.
    connection: Option<Rc<Connection>>,
}

impl Stream {
    /// Wraps `socket` for use by hyper.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            inner: HyperStream::new_plain(socket.clone()),
            socket,
            consecutive_reads: 0,
            connection: None,
        }
    }

    /// Wraps the socket of a server's connection.
    pub fn accepted(socket: TcpStream, connection: Rc<Connection>) -> Self {
        Self {
            connection: Some(connection),
            ..Self::new(socket)
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.consecutive_reads >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Read::poll_read(Pin::new(&mut self.inner), cx, buf);
        if read.is_pending() {
            self.consecutive_reads = 0;
            return read;
        }
        self.consecutive_reads += 1;
        if let Some(connection) = &self.connection {
            connection.receive();
        }
        read
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let buf = &buf[..buf.len().min(MAX_WRITE_BYTES)];
        Write::poll_write(Pin::new(&mut self.inner), cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.inner), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Poll::Ready(crate::shutdown_write(&self.socket))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // The inner stream writes the first buffer that isn't empty, and no others.
        let first = bufs.iter().find(|buf| !buf.is_empty());
        self.poll_write(cx, first.map_or(&[], |buf| &**buf))
    }
}

//! A TCP stream as hyper reads and writes it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Reads in a row that find bytes at once, after which other tasks have their turn.
const READS_IN_A_ROW: u32 = 16;

/// [`HyperStream`] whose shutdown needs no helper thread, and which lets other tasks run while bytes come without end.
pub struct Stream {
    inner: HyperStream<TcpStream>,
    socket: TcpStream,
    reads: u32,
}

impl Stream {
    /// Returns `socket` as a stream for hyper.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            inner: HyperStream::new_plain(socket.clone()),
            socket,
            reads: 0,
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= READS_IN_A_ROW {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Read::poll_read(Pin::new(&mut self.inner), cx, buf);
        self.reads = if read.is_ready() { self.reads + 1 } else { 0 };
        read
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(Pin::new(&mut self.inner), cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.inner), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Poll::Ready(crate::shut_down(&self.socket))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write_vectored(Pin::new(&mut self.inner), cx, bufs)
    }
}

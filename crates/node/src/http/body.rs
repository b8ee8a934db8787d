//! HTTP body, either complete or streamed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::channel::mpsc;
use futures::stream::LocalBoxStream;
use futures::{SinkExt, Stream, StreamExt};
use hyper::body::{Frame, SizeHint};

use super::admission::RequestGuard;

/// Body of an outgoing request or response.
///
/// If a streamed body yields an error, the connection is closed before the end of the body, so that the receiver can
/// distinguish a truncated body from a complete one.
///
/// ```
/// let body = node::http::Body::from("text");
/// assert_eq!(body.len(), Some(4));
/// ```
pub struct Body {
    kind: BodyKind,
    /// The request that this body answers, if the server counts it.
    guard: Option<RequestGuard>,
}

enum BodyKind {
    Full(Option<Bytes>),
    Stream(LocalBoxStream<'static, io::Result<Bytes>>),
}

/// Sender of the body returned by [`Body::channel`].
///
/// Dropping it without [`BodySender::finish`] truncates the body.
pub struct BodySender(mpsc::Sender<Option<Bytes>>);

impl Body {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::from_kind(BodyKind::Full(None))
    }

    /// Returns a body that streams the items of `stream`.
    pub fn stream(stream: impl Stream<Item = io::Result<Bytes>> + 'static) -> Self {
        Self::from_kind(BodyKind::Stream(stream.boxed_local()))
    }

    /// Keeps `guard` until the body is dropped.
    pub(super) fn with_guard(mut self, guard: RequestGuard) -> Self {
        self.guard = Some(guard);
        self
    }

    fn from_kind(kind: BodyKind) -> Self {
        Self { kind, guard: None }
    }

    /// Returns a streamed body and its sender, which waits while `capacity` pieces are buffered.
    pub fn channel(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        let stream = futures::stream::unfold(Some(receiver), |receiver| async {
            let mut receiver: mpsc::Receiver<Option<Bytes>> = receiver?;
            match receiver.next().await {
                Some(Some(piece)) => Some((Ok(piece), Some(receiver))),
                Some(None) => None,
                None => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
            }
        });
        (BodySender(sender), Self::stream(stream))
    }

    /// Returns the length in bytes, or `None` for a streamed body.
    #[expect(clippy::len_without_is_empty, reason = "a stream's length is unknown")]
    pub fn len(&self) -> Option<usize> {
        match &self.kind {
            BodyKind::Full(bytes) => Some(bytes.as_ref().map_or(0, Bytes::len)),
            BodyKind::Stream(_) => None,
        }
    }
}

impl BodySender {
    /// Sends a piece of the body.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::BrokenPipe`] if the body was dropped.
    pub async fn send(&mut self, piece: impl Into<Bytes>) -> io::Result<()> {
        self.send_item(Some(piece.into())).await
    }

    /// Marks the end of the body.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::BrokenPipe`] if the body was dropped.
    pub async fn finish(mut self) -> io::Result<()> {
        self.send_item(None).await
    }

    async fn send_item(&mut self, item: Option<Bytes>) -> io::Result<()> {
        self.0
            .send(item)
            .await
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self::from_kind(BodyKind::Full(bytes))
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Bytes::from(text).into()
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Bytes::from_static(text.as_bytes()).into()
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.kind {
            BodyKind::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            BodyKind::Stream(stream) => stream
                .poll_next_unpin(cx)
                .map(|item| item.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.kind, BodyKind::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self.len() {
            Some(len) => SizeHint::with_exact(len as u64),
            None => SizeHint::default(),
        }
    }
}

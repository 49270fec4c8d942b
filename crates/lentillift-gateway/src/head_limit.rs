//! A connection on which the head of a reply can't go on without end.
//!
//! A faulty server may send interim replies or header lines again and again. The HTTP library reads
//! on for as long as bytes come, and all requests of a host share one thread: one such server would
//! hold up every caller. So only so many bytes are read until the head is complete.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;

/// Largest head of a reply, together with the interim replies before it, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Limit on the head of the reply that a connection waits for; clones share it.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// Bytes that may still be read; none while no head is waited for.
    remaining: Cell<Option<usize>>,
    /// The reader, if it waits because nothing remains.
    reader: RefCell<Option<Waker>>,
    /// The task that waits for the head.
    owner: RefCell<Option<Waker>>,
}

impl HeadLimit {
    /// Starts to count: a request is about to be sent.
    pub fn start(&self) {
        self.0.remaining.set(Some(MAX_HEAD_BYTES));
        self.0.reader.replace(None);
    }

    /// Ends the limit: the head is complete.
    pub fn end(&self) {
        self.0.remaining.set(None);
        if let Some(reader) = self.0.reader.take() {
            reader.wake();
        }
    }

    /// Waits until the limit is used up and the connection wants to read on. If the head is complete
    /// by then, that is known at the same time, and counts.
    pub async fn exceeded(&self) {
        poll_fn(|cx| {
            if self.0.reader.borrow().is_some() {
                return Poll::Ready(());
            }
            self.0.owner.replace(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Holds the reader until the head counts as complete.
    fn block(&self, reader: &Waker) {
        self.0.reader.replace(Some(reader.clone()));
        if let Some(owner) = self.0.owner.take() {
            owner.wake();
        }
    }

    fn consume(&self, bytes: usize) {
        let remaining = self.0.remaining.get();
        self.0
            .remaining
            .set(remaining.map(|left| left.saturating_sub(bytes)));
    }
}

/// A stream whose reads obey a [`HeadLimit`].
#[derive(Debug)]
pub struct Limited<T> {
    // INVARIANT: The limit of `Take` is set before each read, and never reached: that would look
    // like the end of the stream.
    stream: Take<T>,
    limit: HeadLimit,
}

impl<T> Limited<T>
where
    T: AsyncRead + Unpin,
{
    /// Limits the reads of `stream`.
    pub fn new(stream: T, limit: HeadLimit) -> Self {
        Self {
            stream: stream.take(u64::MAX),
            limit,
        }
    }
}

impl<T> AsyncRead for Limited<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = match self.limit.0.remaining.get() {
            Some(0) => {
                self.limit.block(cx.waker());
                return Poll::Pending;
            }
            Some(left) => left as u64,
            None => u64::MAX,
        };
        self.stream.set_limit(limit);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.limit.consume(buffer.filled().len() - before);
        result
    }
}

impl<T> AsyncWrite for Limited<T>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}

//! A TCP stream that fails when the other side sends more bytes than it may.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that a stream may still deliver.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::SeqCst);
    }

    /// Takes bytes that were read. Returns false if there were more than allowed.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::SeqCst).checked_sub(bytes);
        self.set(left.unwrap_or(0));
        left.is_some()
    }
}

/// A stream whose reads use up an [`Allowance`].
pub(crate) struct MeteredStream {
    pub(crate) stream: TcpStream,
    pub(crate) allowance: Allowance,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        Poll::Ready(match self.allowance.take(out.filled().len() - before) {
            true => Ok(()),
            false => Err(io::Error::other("the response is too long")),
        })
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

//! A TCP stream that notices the close of the other side although bytes before it have not been consumed.
//!
//! An HTTP/1.1 server does not read while it handles a request and already holds bytes of the next one, so it would not
//! notice that the caller has gone. These bytes are read ahead here.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll, Waker};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum number of bytes to read ahead. A close behind more of them is noticed once they have been consumed.
const MAX_AHEAD_BYTES: usize = 64 << 10;
const READ_BYTES: usize = 4 << 10;

#[derive(Default)]
struct Ahead {
    bytes: BytesMut,
    closed: bool,
    /// Reader that waits for bytes.
    reader: Option<Waker>,
}

/// A stream whose bytes can be read ahead.
#[derive(Clone)]
pub(super) struct ReadAhead {
    stream: Arc<TcpStream>,
    ahead: Arc<Mutex<Ahead>>,
    started: Arc<Notify>,
}

impl ReadAhead {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            ahead: Arc::default(),
            started: Arc::default(),
        }
    }

    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.ahead.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Begins to read ahead, because a request is handled from now on.
    pub(super) fn start(&self) {
        self.started.notify_one();
    }

    /// Reads ahead while requests are handled. Returns when the other side has closed the connection.
    pub(super) async fn wait_closed(&self) {
        loop {
            self.started.notified().await;
            while self.ahead().bytes.len() < MAX_AHEAD_BYTES {
                if self.stream.readable().await.is_err() || self.read_available() {
                    return;
                }
            }
        }
    }

    /// Reads what has arrived. Returns whether the other side has closed the connection.
    fn read_available(&self) -> bool {
        let mut buffer = [0; READ_BYTES];
        let mut ahead = self.ahead();
        match self.stream.try_read(&mut buffer) {
            Ok(0) => ahead.closed = true,
            Ok(n) => ahead.bytes.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
            Err(_) => ahead.closed = true,
        }
        ahead.reader.take().into_iter().for_each(Waker::wake);
        ahead.closed
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let mut ahead = self.ahead();
            if !ahead.bytes.is_empty() {
                let n = ahead.bytes.len().min(out.remaining());
                out.put_slice(&ahead.bytes[..n]);
                ahead.bytes.advance(n);
                return Poll::Ready(Ok(()));
            }
            if ahead.closed {
                return Poll::Ready(Ok(()));
            }
            ahead.reader = Some(cx.waker().clone());
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(out.initialize_unfilled()) {
                Ok(n) => {
                    out.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl ReadAhead {
    fn poll_write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |s| s.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |s| s.try_write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut = rustix::net::shutdown(&*self.stream, rustix::net::Shutdown::Write);
        match shut {
            // The other side has closed the connection already.
            Err(rustix::io::Errno::NOTCONN) => Poll::Ready(Ok(())),
            result => Poll::Ready(result.map_err(io::Error::from)),
        }
    }
}

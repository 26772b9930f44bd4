//! Limits on a connection at the port between nodes until its peer has shown that it is a node.
//!
//! Answers the load of clients at that port that are no nodes: without it, each could make the process hold a message of
//! the largest size, on any number of connections. They have no such limits once a node has said which one it is.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::meter::Account;
use crate::prelude::*;

/// Bytes that may arrive before the first message of a node, which has a few hundred, and its opening request.
const MAX_GREETING_BYTES: usize = 64 << 10;
/// Time for the opening request and the first message. The other side gives up an opening after 600 ms, and sends its
/// first message at once.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection whose peer may not be a node.
pub(crate) struct Greeting {
    state: Arc<GreetingState>,
}

/// State that the stream shares, so that the connection counts until its descriptor is closed. The writer of the connection
/// may hold the stream for a moment longer than its reader.
struct GreetingState {
    finished: AtomicBool,
    received: AtomicUsize,
    account: Mutex<Option<Account>>,
}

impl Greeting {
    /// Begins the greeting on a connection; without an account it is not limited.
    pub(crate) fn new(account: Option<Account>) -> Self {
        let state = GreetingState {
            finished: AtomicBool::new(account.is_none()),
            received: AtomicUsize::new(0),
            account: Mutex::new(account),
        };
        Self {
            state: Arc::new(state),
        }
    }

    fn account(&self) -> MutexGuard<'_, Option<Account>> {
        let account = self.state.account.lock();
        account.unwrap_or_else(|e| e.into_inner())
    }

    /// Limits what is read from the connection until the greeting is finished.
    pub(crate) fn limit(&self, stream: TcpStream) -> GreetedStream {
        GreetedStream {
            stream,
            state: self.state.clone(),
        }
    }

    /// The peer is a node: its connection is a link, which has a share of the descriptors of its own.
    pub(crate) fn finish(&self) {
        self.state.finished.store(true, Ordering::Relaxed);
        self.account().take();
    }

    /// Waits until the connection has to be closed, which is never after the greeting.
    pub(crate) async fn given_up(&self) {
        let meter = self.account().as_ref().map(Account::meter);
        if let Some(meter) = meter {
            let evicted = tokio::time::timeout(GREETING_TIMEOUT, meter.evicted()).await;
            if evicted.is_ok() || !self.state.finished.load(Ordering::Relaxed) {
                return;
            }
        }
        std::future::pending().await
    }
}

/// A stream on which little may arrive before the greeting is finished.
pub(crate) struct GreetedStream {
    /// Dropped before the state, whose account ends with it.
    stream: TcpStream,
    state: Arc<GreetingState>,
}

impl AsyncRead for GreetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, out);
        if self.state.finished.load(Ordering::Relaxed) {
            return result;
        }
        let more = out.filled().len() - before;
        let received = self.state.received.fetch_add(more, Ordering::Relaxed) + more;
        match received > MAX_GREETING_BYTES {
            true => Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            false => result,
        }
    }
}

impl AsyncWrite for GreetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

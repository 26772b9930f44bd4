//! A TCP stream that notices the close of the other side although bytes before it have not been consumed.
//!
//! An HTTP/1.1 server does not read while it handles a request and already holds bytes of the next one, so it would not
//! notice that the caller has gone. These bytes are read ahead here.

use std::io;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard};
use std::task::{ready, Context, Poll, Waker};

use futures_util::FutureExt;
use http::request;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::meter::{ActiveRequest, Meter};
use super::pipeline::{EarlyResponse, Pipeline};
use crate::prelude::*;

/// Maximum number of bytes to read ahead.
const MAX_AHEAD_BYTES: usize = 64 << 10;
/// Interval at which a stream that may not read ahead is checked for a close behind its unread bytes: it has
/// [`MAX_AHEAD_BYTES`] already, or the budget of the process has no room for more.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 4 << 10;

struct Ahead {
    pipeline: Pipeline,
    closed: bool,
    /// Reader that waits for bytes.
    reader: Option<Waker>,
    /// Measures what the connection holds, if the process has a budget.
    meter: Option<Meter>,
}

/// A stream whose bytes can be read ahead.
#[derive(Clone)]
pub(super) struct ReadAhead {
    stream: Arc<TcpStream>,
    ahead: Arc<Mutex<Ahead>>,
    started: Arc<Notify>,
    /// Notifies that requests that were started early have been handed over.
    handed_over: Arc<Notify>,
}

impl ReadAhead {
    pub(super) fn new(stream: TcpStream, pipeline: Pipeline, meter: Option<Meter>) -> Self {
        Self {
            stream: Arc::new(stream),
            ahead: Arc::new(Mutex::new(Ahead {
                pipeline,
                closed: false,
                reader: None,
                meter,
            })),
            started: Arc::default(),
            handed_over: Arc::default(),
        }
    }

    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.ahead.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Begins to read ahead, because a request is handled from now on. Returns its response if it was started early.
    pub(super) fn begin(&self, request: &request::Parts, has_body: bool) -> Option<EarlyResponse> {
        let started = self.ahead().pipeline.begin(request, has_body);
        self.started.notify_one();
        self.handed_over.notify_one();
        started
    }

    /// Charges the connection for a request that it begins, if the process has a budget.
    pub(super) fn charge(
        &self,
        request: &request::Parts,
        has_body: bool,
        length: Option<u64>,
    ) -> Option<ActiveRequest> {
        let meter = self.ahead().meter.clone()?;
        Some(meter.begin(&request.headers, has_body.then_some(length)))
    }

    /// Records that the request is finished. Returns whether the next one was started early.
    pub(super) fn end(&self) -> bool {
        let mut ahead = self.ahead();
        ahead.pipeline.end();
        ahead.pipeline.has_started()
    }

    /// Starts no more requests early, and waits until those that were started have been handed over.
    pub(super) async fn stop_early_start(&self) {
        self.ahead().pipeline.stop();
        while self.ahead().pipeline.has_started() {
            self.handed_over.notified().await;
        }
    }

    /// Reads ahead while requests are handled. Returns when the other side has closed the connection.
    pub(super) async fn wait_closed(&self) {
        loop {
            self.started.notified().await;
            while self.ahead().may_read() {
                if self.stream.readable().await.is_err() || self.read_available() {
                    return;
                }
            }
            while !self.ahead().may_read() {
                if self.is_closed_behind() {
                    return;
                }
                tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            }
            self.started.notify_one();
        }
    }

    /// Whether the other side has closed the connection, although not all bytes have been read.
    fn is_closed_behind(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|r| r.is_ok_and(|r| r.is_read_closed()))
    }

    /// Reads what has arrived. Returns whether the other side has closed the connection.
    fn read_available(&self) -> bool {
        let mut ahead = self.ahead();
        if ahead.read_from(&self.stream).is_ok() {
            ahead.reader.take().into_iter().for_each(Waker::wake);
        }
        ahead.closed
    }
}

impl Ahead {
    /// Whether more may be read before the library asks for it.
    fn may_read(&self) -> bool {
        let room = self.meter.as_ref().is_none_or(Meter::may_read_ahead);
        room && self.pipeline.len() < MAX_AHEAD_BYTES
    }

    /// Reads what has arrived on the stream.
    ///
    /// # Errors
    ///
    /// Nothing has arrived.
    fn read_from(&mut self, stream: &TcpStream) -> io::Result<()> {
        let mut buffer = [0; READ_BYTES];
        match stream.try_read(&mut buffer) {
            Ok(0) => self.closed = true,
            Ok(n) => {
                self.pipeline.add(&buffer[..n]);
                if let Some(meter) = &self.meter {
                    meter.record_received(&buffer[..n], self.pipeline.len());
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Err(e),
            Err(_) => self.closed = true,
        }
        Ok(())
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
            let taken = ahead.pipeline.take(out.remaining());
            if let Some(meter) = ahead.meter.as_ref().filter(|_| !taken.is_empty()) {
                meter.record_received(&taken, ahead.pipeline.len());
            }
            if !taken.is_empty() || ahead.closed {
                out.put_slice(&taken);
                return Poll::Ready(Ok(()));
            }
            ahead.reader = Some(cx.waker().clone());
            if ahead.pipeline.len() >= MAX_AHEAD_BYTES {
                return Poll::Pending;
            }
            ready!(self.stream.poll_read_ready(cx))?;
            // An error says that nothing has arrived; the next iteration waits for it.
            let _ = ahead.read_from(&self.stream);
        }
    }
}

impl ReadAhead {
    fn poll_write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            let is_ready = self.stream.poll_write_ready(cx);
            if let (Poll::Pending, Some(meter)) = (&is_ready, &self.ahead().meter) {
                meter.record_blocked();
            }
            ready!(is_ready)?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    let ahead = self.ahead();
                    if let (Some(meter), Ok(bytes)) = (&ahead.meter, &result) {
                        meter.record_written(*bytes);
                    }
                    return Poll::Ready(result);
                }
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

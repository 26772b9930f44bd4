//! Streamed request and response bodies.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard};
use std::task::{ready, Context as TaskContext, Poll};

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use tokio::time::{Instant, Sleep};

use super::reason::{Failure, Reason};
use crate::prelude::*;

/// Bytes of a request body that are read before a target is chosen, so that a slow caller occupies no slot.
pub const PREFIX_BYTES: usize = 64 << 10;
/// Largest response, in bytes, that is buffered before it is returned. While a response is buffered, a failure can
/// still be retried or reported with an error status.
pub const MAX_BUFFERED_RESPONSE_BYTES: u64 = 64 << 10;

/// Error of a body stream: a [`StreamError`], or an error of the connection.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a request or a response, streamed or in memory.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body of known length from data in memory.
pub fn full<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Limits on the body of a request from a caller or from another node.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest size of the whole body, in bytes.
    pub max_bytes: u64,
    /// Longest wait for the next frame.
    pub read_timeout: Duration,
}

/// Error that ends a body stream before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamError(pub Reason);

impl std::fmt::Display for StreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "body stream failed: {}", self.0)
    }
}

impl std::error::Error for StreamError {}

/// The caller's body beyond the buffered prefix, shared with the [`Replay`] that is being sent.
#[derive(Default)]
struct SharedRemainder {
    remainder: Option<Body>,
    consumed: bool,
    error: Option<Reason>,
}

/// A request body with a buffered prefix. It can be sent again until reading of the remainder has started.
pub struct BufferedBody {
    /// The buffered start of the body: less than [`PREFIX_BYTES`] plus one frame. After [`BufferedBody::buffer_all`] it
    /// is the entire body.
    pub prefix: Bytes,
    limits: BodyLimits,
    length: Option<u64>,
    shared: Arc<Mutex<SharedRemainder>>,
}

impl BufferedBody {
    /// Reads a body until it ends or at least [`PREFIX_BYTES`] are buffered.
    ///
    /// # Errors
    ///
    /// The body is too large, arrives too slowly or its stream failed.
    pub async fn read(mut body: Body, limits: BodyLimits) -> Result<Self, Reason> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > limits.max_bytes {
            return Err(Reason::TooLarge);
        }
        let mut prefix = BytesMut::new();
        let mut ended = body.is_end_stream();
        while !ended && prefix.len() < PREFIX_BYTES {
            let next = tokio::time::timeout(limits.read_timeout, body.frame()).await;
            match next.map_err(|_| Reason::SlowCaller)? {
                Some(Ok(frame)) => prefix.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return Err(Reason::BadRequest),
                None => ended = true,
            }
            ended |= body.is_end_stream();
        }
        if prefix.len() as u64 > limits.max_bytes {
            return Err(Reason::TooLarge);
        }
        Ok(Self {
            length: length.or(ended.then_some(prefix.len() as u64)),
            prefix: prefix.freeze(),
            limits,
            shared: Arc::new(Mutex::new(SharedRemainder {
                remainder: (!ended).then_some(body),
                ..SharedRemainder::default()
            })),
        })
    }

    fn shared(&self) -> MutexGuard<'_, SharedRemainder> {
        self.shared.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Buffers the remainder of the body, so that the body can be sent any number of times.
    ///
    /// # Errors
    ///
    /// The body is larger than `max_bytes`, arrives too slowly or its stream failed.
    pub async fn buffer_all(&mut self, max_bytes: usize) -> Result<(), Reason> {
        if self.fully_buffered().is_none() {
            let mut body = self.replay();
            let mut data = BytesMut::new();
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| self.read_error().unwrap_or(Reason::BadRequest))?;
                data.extend(frame.into_data().unwrap_or_default());
                if data.len() > max_bytes {
                    return Err(Reason::TooLarge);
                }
            }
            self.prefix = data.freeze();
            self.length = Some(self.prefix.len() as u64);
            self.shared = Arc::default();
        }
        match self.prefix.len() > max_bytes {
            true => Err(Reason::TooLarge),
            false => Ok(()),
        }
    }

    /// Whether the body can still be sent from its start.
    pub fn replayable(&self) -> bool {
        !self.shared().consumed
    }

    /// The entire body, if the prefix contains all of it.
    pub fn fully_buffered(&self) -> Option<&Bytes> {
        let s = self.shared();
        (s.remainder.is_none() && !s.consumed).then_some(&self.prefix)
    }

    /// Why reading the caller's body failed, if it did.
    pub fn read_error(&self) -> Option<Reason> {
        self.shared().error
    }

    /// Returns a body that sends the prefix and then the remainder.
    pub fn replay(&self) -> Body {
        if self.fully_buffered().is_some() {
            return full(self.prefix.clone());
        }
        let buffered = self.prefix.len() as u64;
        Replay {
            prefix: Some(self.prefix.clone()),
            remainder: None,
            shared: self.shared.clone(),
            bytes_left: self.limits.max_bytes.saturating_sub(buffered),
            length: self.length,
            read_timeout: self.limits.read_timeout,
            timer: Box::pin(tokio::time::sleep(self.limits.read_timeout)),
        }
        .boxed_unsync()
    }
}

/// Sends a request body: the buffered prefix, then the remainder as it arrives from the caller.
struct Replay {
    prefix: Option<Bytes>,
    remainder: Option<Body>,
    shared: Arc<Mutex<SharedRemainder>>,
    bytes_left: u64,
    length: Option<u64>,
    read_timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

impl Replay {
    fn fail(&self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut s = self.shared.lock().unwrap_or_else(|e| e.into_inner());
        s.error = Some(reason);
        Poll::Ready(Some(Err(StreamError(reason).into())))
    }

    fn take_remainder(&mut self) {
        let mut s = self.shared.lock().unwrap_or_else(|e| e.into_inner());
        s.consumed = true;
        self.remainder = s.remainder.take();
    }
}

impl http_body::Body for Replay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        if self.remainder.is_none() {
            self.take_remainder();
        }
        let Some(remainder) = self.remainder.as_mut() else {
            return self.fail(Reason::BadRequest);
        };
        let Poll::Ready(next) = Pin::new(remainder).poll_frame(cx) else {
            ready!(self.timer.as_mut().poll(cx));
            return self.fail(Reason::SlowCaller);
        };
        let next_timeout = Instant::now() + self.read_timeout;
        self.timer.as_mut().reset(next_timeout);
        match next {
            None => Poll::Ready(None),
            Some(Err(_)) => self.fail(Reason::BadRequest),
            Some(Ok(frame)) => {
                // Trailers are not forwarded, because they belong to one connection.
                let data = frame.into_data().unwrap_or_default();
                match self.bytes_left.checked_sub(data.len() as u64) {
                    Some(left) => {
                        self.bytes_left = left;
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    None => self.fail(Reason::TooLarge),
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A response body that fails at a deadline and holds `guard` until it ends or is dropped.
pub struct GuardedBody<G> {
    inner: Body,
    timer: Pin<Box<Sleep>>,
    guard: Option<G>,
}

impl<G> GuardedBody<G> {
    /// Wraps a body that has to end within `timeout`.
    pub fn new(inner: Body, timeout: Duration, guard: G) -> Self {
        Self {
            inner,
            timer: Box::pin(tokio::time::sleep(timeout)),
            guard: Some(guard),
        }
    }
}

impl<G> http_body::Body for GuardedBody<G>
where
    G: Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(StreamError(Reason::Deadline).into())));
        }
        let next = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if next.is_none() {
            self.guard = None;
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Applies `timeout` to a response that is still streaming and holds `guard` until it has ended or is dropped.
pub fn guard_response<G>(res: Response<Body>, timeout: Duration, guard: G) -> Response<Body>
where
    G: Send + Unpin + 'static,
{
    match res.body().size_hint().exact() {
        // Such a response is already in memory.
        Some(n) if n <= MAX_BUFFERED_RESPONSE_BYTES => res,
        _ => res.map(|b| GuardedBody::new(b, timeout, guard).boxed_unsync()),
    }
}

/// Buffers a response whose known length is at most [`MAX_BUFFERED_RESPONSE_BYTES`]; longer and chunked ones stream.
///
/// # Errors
///
/// The response ended early or did not arrive within `timeout`; the request may have run.
pub async fn buffer_short_response(
    res: Response<Body>,
    timeout: Duration,
) -> Result<Response<Body>, Failure> {
    match res.body().size_hint().exact() {
        Some(n) if n <= MAX_BUFFERED_RESPONSE_BYTES => {}
        _ => return Ok(res),
    }
    let (parts, body) = res.into_parts();
    match tokio::time::timeout(timeout, body.collect()).await {
        Ok(Ok(b)) => Ok(Response::from_parts(parts, full(b.to_bytes()))),
        Ok(Err(_)) => Err(Failure::unknown(Reason::BadResponse)),
        Err(_) => Err(Failure::unknown(Reason::Deadline)),
    }
}

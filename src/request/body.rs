//! Streamed bodies of requests and answers.

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

/// Part of a body that is read before a target is chosen, so that a slow caller holds no slot.
pub const PREFIX_BYTES: usize = 64 << 10;
/// Largest answer that is held until it is whole; a broken one can then still be retried or reported with a status.
pub const HELD_ANSWER_BYTES: u64 = 64 << 10;

/// Error of a body stream.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A streamed body.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body with this content.
pub fn full<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Limits on a request body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Size in bytes.
    pub bytes: u64,
    /// Time in which the next part has to arrive.
    pub part: Duration,
}

/// Why a body stream broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken(pub Reason);

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "body broken: {}", self.0)
    }
}

impl std::error::Error for Broken {}

#[derive(Default)]
struct Source {
    rest: Option<Body>,
    started: bool,
    fault: Option<Reason>,
}

/// A request body whose first part has been read. It can be sent again until the rest has been touched.
pub struct HeldBody {
    /// The first part, at most [`PREFIX_BYTES`] and one more network read.
    pub prefix: Bytes,
    limits: BodyLimits,
    length: Option<u64>,
    source: Arc<Mutex<Source>>,
}

impl HeldBody {
    /// Reads the first part of a body.
    ///
    /// # Errors
    ///
    /// The body is too large, too slow or broken.
    pub async fn read(mut body: Body, limits: BodyLimits) -> Result<Self, Reason> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > limits.bytes {
            return Err(Reason::TooLarge);
        }
        let mut prefix = BytesMut::new();
        let mut ended = body.is_end_stream();
        while !ended && prefix.len() < PREFIX_BYTES {
            let part = tokio::time::timeout(limits.part, body.frame()).await;
            match part.map_err(|_| Reason::SlowCaller)? {
                Some(Ok(frame)) => prefix.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return Err(Reason::BadRequest),
                None => ended = true,
            }
            ended |= body.is_end_stream();
        }
        if prefix.len() as u64 > limits.bytes {
            return Err(Reason::TooLarge);
        }
        Ok(Self {
            length: length.or(ended.then_some(prefix.len() as u64)),
            prefix: prefix.freeze(),
            limits,
            source: Arc::new(Mutex::new(Source {
                rest: (!ended).then_some(body),
                ..Source::default()
            })),
        })
    }

    fn source(&self) -> MutexGuard<'_, Source> {
        self.source.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reads the rest of the body, so that it can be sent any number of times.
    ///
    /// # Errors
    ///
    /// The body is larger than `max` bytes, too slow or broken.
    pub async fn hold(&mut self, max: usize) -> Result<(), Reason> {
        if self.whole().is_none() {
            let mut body = self.body();
            let mut data = BytesMut::new();
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| self.fault().unwrap_or(Reason::BadRequest))?;
                data.extend(frame.into_data().unwrap_or_default());
                if data.len() > max {
                    return Err(Reason::TooLarge);
                }
            }
            self.prefix = data.freeze();
            self.length = Some(self.prefix.len() as u64);
            self.source = Arc::default();
        }
        match self.prefix.len() > max {
            true => Err(Reason::TooLarge),
            false => Ok(()),
        }
    }

    /// Whether the body can be sent (again) from its start.
    pub fn replayable(&self) -> bool {
        !self.source().started
    }

    /// The whole body, when it ended within the first part.
    pub fn whole(&self) -> Option<&Bytes> {
        let s = self.source();
        (s.rest.is_none() && !s.started).then_some(&self.prefix)
    }

    /// Why the caller's part of the stream broke, if it did.
    pub fn fault(&self) -> Option<Reason> {
        self.source().fault
    }

    /// A body to send, from the start.
    pub fn body(&self) -> Body {
        if self.whole().is_some() {
            return full(self.prefix.clone());
        }
        let sent = self.prefix.len() as u64;
        Replay {
            prefix: Some(self.prefix.clone()),
            rest: None,
            source: self.source.clone(),
            left: self.limits.bytes.saturating_sub(sent),
            length: self.length,
            part: self.limits.part,
            timer: Box::pin(tokio::time::sleep(self.limits.part)),
        }
        .boxed_unsync()
    }
}

struct Replay {
    prefix: Option<Bytes>,
    rest: Option<Body>,
    source: Arc<Mutex<Source>>,
    left: u64,
    length: Option<u64>,
    part: Duration,
    timer: Pin<Box<Sleep>>,
}

impl Replay {
    fn broken(&self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut s = self.source.lock().unwrap_or_else(|e| e.into_inner());
        s.fault = Some(reason);
        Poll::Ready(Some(Err(Broken(reason).into())))
    }

    fn take_rest(&mut self) {
        let mut s = self.source.lock().unwrap_or_else(|e| e.into_inner());
        s.started = true;
        self.rest = s.rest.take();
    }
}

impl http_body::Body for Replay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.rest.is_none() {
            self.take_rest();
        }
        let Some(rest) = self.rest.as_mut() else {
            return self.broken(Reason::BadRequest);
        };
        let Poll::Ready(next) = Pin::new(rest).poll_frame(cx) else {
            ready!(self.timer.as_mut().poll(cx));
            return self.broken(Reason::SlowCaller);
        };
        let at = Instant::now() + self.part;
        self.timer.as_mut().reset(at);
        match next {
            None => Poll::Ready(None),
            Some(Err(_)) => self.broken(Reason::BadRequest),
            Some(Ok(frame)) => {
                // Trailers are not forwarded: they belong to one connection.
                let data = frame.into_data().unwrap_or_default();
                match self.left.checked_sub(data.len() as u64) {
                    Some(left) => {
                        self.left = left;
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    None => self.broken(Reason::TooLarge),
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// An answer body that ends at a deadline and holds `guard` until it ends or is dropped.
pub struct Guarded<G> {
    inner: Body,
    timer: Pin<Box<Sleep>>,
    guard: Option<G>,
}

impl<G> Guarded<G> {
    /// Wraps a body.
    pub fn new(inner: Body, time: Duration, guard: G) -> Self {
        Self {
            inner,
            timer: Box::pin(tokio::time::sleep(time)),
            guard: Some(guard),
        }
    }
}

impl<G> http_body::Body for Guarded<G>
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
            return Poll::Ready(Some(Err(Broken(Reason::Deadline).into())));
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

/// Limits the time of an answer that still streams and holds `guard` until it has ended or is given up.
pub fn guard<G>(res: Response<Body>, time: Duration, guard: G) -> Response<Body>
where
    G: Send + Unpin + 'static,
{
    match res.body().size_hint().exact() {
        // Such an answer is already in memory.
        Some(n) if n <= HELD_ANSWER_BYTES => res,
        _ => res.map(|b| Guarded::new(b, time, guard).boxed_unsync()),
    }
}

/// Holds a short answer of known length until it is whole; longer and chunked ones stream.
///
/// # Errors
///
/// The answer broke off or did not arrive in time; the request may have been run.
pub async fn settle(res: Response<Body>, time: Duration) -> Result<Response<Body>, Failure> {
    match res.body().size_hint().exact() {
        Some(n) if n <= HELD_ANSWER_BYTES => {}
        _ => return Ok(res),
    }
    let (parts, body) = res.into_parts();
    match tokio::time::timeout(time, body.collect()).await {
        Ok(Ok(b)) => Ok(Response::from_parts(parts, full(b.to_bytes()))),
        Ok(Err(_)) => Err(Failure::unknown(Reason::BadAnswer)),
        Err(_) => Err(Failure::unknown(Reason::Deadline)),
    }
}

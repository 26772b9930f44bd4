//! Entry node: a large request body that is read from the caller only as it can be sent on.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};

use crate::prelude::*;
use crate::request::body::Body;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::pacing::is_large;
use crate::sidecar::process::bandwidth::PIECE_BYTES;
use crate::sidecar::process::node::Node;

/// Bytes of all uploads that are kept so that they can be sent to another node. Beyond it, an upload is dropped as it is
/// sent on, and its request is not retried.
pub(crate) const MAX_KEPT_BYTES: usize = 12 << 20;

/// Time without a byte of the caller from which on it is the cause when its body is late. Round trips to callers take a
/// few tens of ms.
const SLOW_CALLER_AFTER: Duration = Duration::from_millis(150);

/// Room for the bytes of uploads that are kept for another attempt.
struct Kept {
    room: Arc<Semaphore>,
    /// Room that is taken; `None` if there was none for a part.
    permits: Option<OwnedSemaphorePermit>,
}

impl Kept {
    /// Takes room for further bytes.
    fn add(&mut self, bytes: usize) {
        let Some(permits) = self.permits.as_mut() else {
            return;
        };
        let bytes = u32::try_from(bytes).ok();
        let more = bytes.and_then(|n| self.room.clone().try_acquire_many_owned(n).ok());
        match more {
            Some(more) => permits.merge(more),
            None => self.permits = None,
        }
    }
}

/// What has been read from the caller.
struct Reading {
    body: Body,
    /// Bytes from `start` on, in pieces: one buffer would be copied as it grows. All but the last are full.
    pieces: VecDeque<BytesMut>,
    /// Number of bytes that were dropped.
    start: usize,
    /// Number of bytes that were read.
    end: usize,
    kept: Kept,
}

impl Reading {
    fn add(&mut self, mut data: &[u8]) {
        self.kept.add(data.len());
        self.end += data.len();
        while !data.is_empty() {
            if self.pieces.back().is_none_or(|p| p.len() == PIECE_BYTES) {
                self.pieces.push_back(BytesMut::new());
            }
            let Some(last) = self.pieces.back_mut() else {
                return;
            };
            let (now, later) = data.split_at(data.len().min(PIECE_BYTES - last.len()));
            last.extend_from_slice(now);
            data = later;
        }
    }

    /// Copies bytes that have been read; `None` if some of them were dropped.
    fn copy(&self, from: usize, bytes: usize) -> Option<Bytes> {
        let at = from.checked_sub(self.start)?;
        let mut out = BytesMut::with_capacity(bytes);
        let mut skip = at % PIECE_BYTES;
        for piece in self.pieces.iter().skip(at / PIECE_BYTES) {
            let part = &piece[skip..];
            out.extend_from_slice(&part[..part.len().min(bytes - out.len())]);
            skip = 0;
            if out.len() == bytes {
                break;
            }
        }
        Some(out.freeze())
    }

    /// Drops the pieces before an offset. Returns whether there were any.
    fn drop_before(&mut self, offset: usize) -> bool {
        let before = self.start;
        while self.start + PIECE_BYTES <= offset && self.pieces.pop_front().is_some() {
            self.start += PIECE_BYTES;
        }
        self.start > before
    }
}

/// A request body with an announced length that is sent in pieces.
pub(crate) struct Upload {
    len: usize,
    reading: Mutex<Reading>,
    /// Whether bytes were dropped, because there was no room to keep them.
    dropped: AtomicBool,
    /// Whether the current attempt may have passed the whole body on.
    passed_on: AtomicBool,
    /// Time since which the caller has not sent the bytes that can be sent on, in ms; the maximum if it has.
    waiting_since: AtomicU64,
    /// Whether the body comes over the link of this VM.
    over_link: bool,
}

/// Announced length of a body that is sent as an upload.
pub(crate) fn upload_len<B>(body: &B) -> Option<usize>
where
    B: http_body::Body,
{
    let len = usize::try_from(body.size_hint().exact()?).ok()?;
    is_large(len).then_some(len)
}

impl Upload {
    /// Wraps a body of which nothing has been read. `room` limits the bytes that are kept over all uploads.
    pub(crate) fn new(body: Body, len: usize, room: &Arc<Semaphore>, over_link: bool) -> Self {
        let kept = Kept {
            room: room.clone(),
            permits: room.clone().try_acquire_many_owned(0).ok(),
        };
        Self {
            len,
            reading: Mutex::new(Reading {
                body,
                pieces: VecDeque::new(),
                start: 0,
                end: 0,
                kept,
            }),
            dropped: AtomicBool::new(false),
            passed_on: AtomicBool::new(false),
            waiting_since: AtomicU64::new(u64::MAX),
            over_link,
        }
    }

    /// Announced length, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Whether the body can be sent from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        !self.dropped.load(Ordering::SeqCst)
    }

    /// Records that an attempt begins, which has passed nothing on.
    pub(crate) fn begin_attempt(&self) {
        self.passed_on.store(false, Ordering::SeqCst);
    }

    /// Records that the whole body is passed on from now on, so the request may run.
    pub(crate) fn pass_on(&self) {
        self.passed_on.store(true, Ordering::SeqCst);
    }

    /// Whether the current attempt may have passed the whole body on.
    pub(crate) fn was_passed_on(&self) -> bool {
        self.passed_on.load(Ordering::SeqCst)
    }

    /// Replaces a failure to pass the body on in time by [`Reason::SlowCaller`] if the caller has been silent for
    /// [`SLOW_CALLER_AFTER`]; returns other failures unchanged.
    pub(crate) fn explain(&self, now: Now, f: Failure) -> Failure {
        let since = Duration::from_millis(self.waiting_since.load(Ordering::SeqCst));
        let slow = now.saturating_sub(since) >= SLOW_CALLER_AFTER;
        match f.reason {
            Reason::LinkFull | Reason::Deadline if slow => Failure::not_run(Reason::SlowCaller),
            _ => f,
        }
    }

    /// Reads `bytes` bytes from the offset `from` on, which must not have been dropped. Dropping the future loses
    /// nothing.
    ///
    /// # Errors
    ///
    /// The caller broke the body off.
    pub(crate) async fn read(&self, n: &Node, from: usize, bytes: usize) -> Result<Bytes, Failure> {
        let broken = Failure::not_run(Reason::BadRequest);
        let mut r = self.reading.lock().await;
        while r.end < from + bytes {
            let now = n.clock.now().as_millis() as u64;
            self.waiting_since.store(now, Ordering::SeqCst);
            let frame = r.body.frame().await.ok_or(broken)?.map_err(|_| broken)?;
            self.waiting_since.store(u64::MAX, Ordering::SeqCst);
            let data = frame.into_data().unwrap_or_default();
            if self.over_link {
                n.inbound.record_received(data.len());
            }
            r.add(&data);
        }
        let copy = r.copy(from, bytes).ok_or(broken)?;
        if r.kept.permits.is_none() && r.drop_before(from + bytes) {
            self.dropped.store(true, Ordering::SeqCst);
        }
        Ok(copy)
    }

    /// Reads the rest of the body and discards it, for `timeout` at most. A connection that is closed with unread bytes
    /// is reset, which may destroy the response.
    pub(crate) fn discard(self: Arc<Self>, n: &Arc<Node>, timeout: Duration) {
        let n = n.clone();
        tokio::spawn(async move {
            let mut r = self.reading.lock().await;
            r.pieces.clear();
            r.kept.permits = None;
            discard_frames(&n, &mut r.body, self.len, timeout).await;
        });
    }
}

/// Reads an unread body and discards it, up to `max` bytes and for `timeout` at most.
pub(crate) fn discard(n: &Arc<Node>, mut body: Body, max: usize, timeout: Duration) {
    use http_body::Body as _;
    if body.is_end_stream() {
        return;
    }
    let n = n.clone();
    tokio::spawn(async move { discard_frames(&n, &mut body, max, timeout).await });
}

async fn discard_frames(n: &Node, body: &mut Body, max: usize, timeout: Duration) {
    let end = n.clock.now() + timeout;
    let mut discarded = 0;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.into_data().map_or(0, |data| data.len());
            if discarded > max {
                return;
            }
        }
    };
    tokio::select! {
        () = read => {}
        () = n.wait_until(end) => {}
    }
}

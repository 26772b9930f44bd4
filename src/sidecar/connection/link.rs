//! State of a link to another node: the requests that wait for their results, and the queues of its writer.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use bytes::BytesMut;
use tokio::sync::{mpsc, oneshot, watch, Notify};

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::frame::{Head, Message, Seq};
use crate::sidecar::connection::pool::MAX_RESPONSE_BYTES;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::AttemptResult;
use crate::sidecar::version::freshness::{FreshnessLimits, PeerFreshness};

/// Maximum number of messages that wait to be written on a link. The limit is reached only if the peer does not read.
pub(crate) const MAX_OUTGOING: usize = 512;

/// A request that waits for its result.
pub(super) struct PendingRequest {
    pub(super) result: oneshot::Sender<AttemptResult>,
    pub(super) deadline: Now,
    /// Parts of the response that have arrived.
    pub(super) parts: BytesMut,
    /// Large body of the request, if it has one.
    pub(super) body: Option<OutgoingBody>,
}

/// A body that the peer takes in pieces.
pub(super) struct OutgoingBody {
    /// Numbers of bytes that the peer has granted.
    pub(super) grants: mpsc::UnboundedSender<usize>,
    /// Whether all of it may have been written. Before, the request cannot run.
    pub(super) passed_on: bool,
}

impl PendingRequest {
    /// Whether the peer cannot have the whole request.
    fn is_incomplete(&self) -> bool {
        self.body.as_ref().is_some_and(|b| !b.passed_on)
    }
}

/// An open link from this node to another one.
pub(super) struct Link {
    pub(super) node: NodeId,
    pub(super) outgoing: mpsc::Sender<(Seq, Message)>,
    /// Cancelled requests. They do not wait behind `outgoing`, which may be full; at most one is sent for each request.
    pub(super) cancels: mpsc::UnboundedSender<Seq>,
    pub(super) pending: Mutex<BTreeMap<Seq, PendingRequest>>,
    /// Greatest number of a request that was written to the connection.
    pub(super) last_written: AtomicU64,
    pub(super) last_seq: AtomicU64,
    /// Whether the peer reports that it watches the store and reaches it.
    pub(super) reaches_store: AtomicBool,
    /// Whether the peer responds to pings.
    pub(super) responsive: AtomicBool,
    pub(super) freshness: Mutex<PeerFreshness>,
    /// Requests a ping now, because the peer of another link does not respond.
    pub(super) ping_now: Notify,
    /// Time since which the link has had pending requests, in ms.
    pub(super) pending_since: AtomicU64,
    /// Notifies the task of the link that there are pending requests again.
    pub(super) pending_added: Notify,
    /// Number of times that the peer has not responded for so long that its requests may be sent elsewhere too.
    pub(super) suspected: watch::Sender<u64>,
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Link {
    /// Creates the state of a link whose messages go to these queues.
    pub(super) fn new(
        node: NodeId,
        outgoing: mpsc::Sender<(Seq, Message)>,
        cancels: mpsc::UnboundedSender<Seq>,
    ) -> Self {
        Self {
            node,
            outgoing,
            cancels,
            pending: Mutex::default(),
            last_written: AtomicU64::new(0),
            last_seq: AtomicU64::new(0),
            reaches_store: AtomicBool::new(false),
            responsive: AtomicBool::new(true),
            freshness: Mutex::default(),
            ping_now: Notify::new(),
            pending_since: AtomicU64::new(0),
            pending_added: Notify::new(),
            suspected: watch::channel(0).0,
        }
    }

    /// Asks the peer how fresh its version is, unless it has yet to answer.
    pub(super) fn ask_freshness(&self, now: Now) {
        if lock(&self.freshness).ask(now) {
            let message = Message::without_payload(Head::GetFreshness);
            // The queue is full only if the peer does not read; then the question counts as unanswered.
            let _ = self.outgoing.try_send((0, message));
        }
    }

    /// Records whether the peer reports that it reaches the store.
    pub(super) fn set_reaches_store(&self, reaches: bool) {
        self.reaches_store.store(reaches, Ordering::SeqCst);
        if reaches {
            lock(&self.freshness).on_reaches_store();
        }
    }

    /// Whether the peer reports that it reaches the store and answers questions about it.
    pub(super) fn is_watcher(&self, now: Now, limits: &FreshnessLimits) -> bool {
        self.reaches_store.load(Ordering::SeqCst)
            && lock(&self.freshness).is_reliable(now, limits.answer_timeout)
    }

    /// Whether the peer has not answered a question about its version in time, and has sent nothing else.
    pub(super) fn is_silent(&self, now: Now, limits: &FreshnessLimits) -> bool {
        lock(&self.freshness).is_silent(now, limits.answer_timeout)
    }

    pub(super) fn finish(&self, seq: Seq, result: AttemptResult) {
        if let Some(p) = lock(&self.pending).remove(&seq) {
            // The receiver is dropped if the caller has gone.
            let _ = p.result.send(result);
        }
    }

    /// Adds a part of the response to a request, unless the request was given up.
    ///
    /// # Errors
    ///
    /// The response is longer than any response may be.
    pub(super) fn add_part(&self, seq: Seq, part: &[u8]) -> Result<(), String> {
        let mut pending = lock(&self.pending);
        let Some(p) = pending.get_mut(&seq) else {
            return Ok(());
        };
        if p.parts.len() + part.len() > MAX_RESPONSE_BYTES {
            return Err("the response is too long".into());
        }
        p.parts.extend_from_slice(part);
        Ok(())
    }

    /// Takes the parts of a response that have arrived.
    pub(super) fn take_parts(&self, seq: Seq) -> BytesMut {
        let mut pending = lock(&self.pending);
        let parts = pending.get_mut(&seq).map(|p| p.parts.split());
        parts.unwrap_or_default()
    }

    /// Passes a grant on to the sender of a body.
    pub(super) fn grant(&self, seq: Seq, bytes: usize) {
        let pending = lock(&self.pending);
        let body = pending.get(&seq).and_then(|p| p.body.as_ref());
        // The receiver is dropped once the whole body is on its way.
        let _ = body.map(|b| b.grants.send(bytes));
    }

    /// Records that the last part of a body may be written from now on.
    pub(super) fn pass_body_on(&self, seq: Seq) {
        let mut pending = lock(&self.pending);
        let body = pending.get_mut(&seq).and_then(|p| p.body.as_mut());
        body.into_iter().for_each(|b| b.passed_on = true);
    }

    /// Marks a request as written. Returns false if it was cancelled while it waited, and must not be sent.
    pub(super) fn begin_write(&self, seq: Seq) -> bool {
        // Under the lock, because a request that fails as not written must never be sent.
        let pending = lock(&self.pending);
        let wanted = pending.contains_key(&seq);
        if wanted {
            self.last_written.fetch_max(seq, Ordering::SeqCst);
        }
        wanted
    }

    pub(super) fn was_written(&self, seq: Seq) -> bool {
        seq <= self.last_written.load(Ordering::SeqCst)
    }

    /// Tells the peer that nobody waits for a request any more.
    pub(super) fn cancel(&self, seq: Seq) {
        // The receiver is dropped when the link is closed, which cancels all its requests.
        let _ = self.cancels.send(seq);
    }

    /// Fails all pending requests, because the link is closed; those that were not written whole were not run.
    pub(super) fn fail_all(&self) {
        let mut pending = lock(&self.pending);
        for (seq, p) in std::mem::take(&mut *pending) {
            let result = match self.was_written(seq) && !p.is_incomplete() {
                true => AttemptResult::Failed {
                    failure: Failure::unknown(Reason::Lost),
                    delivered: true,
                },
                false => AttemptResult::undelivered(Failure::not_run(Reason::NotSent)),
            };
            let _ = p.result.send(result);
        }
    }

    /// Adds a pending request. The first one on an idle link wakes its task, which then checks whether the peer
    /// responds.
    pub(super) fn add(&self, n: &Node, seq: Seq, p: PendingRequest) {
        let mut pending = lock(&self.pending);
        if pending.is_empty() {
            let now = n.clock.now().as_millis() as u64;
            self.pending_since.store(now, Ordering::SeqCst);
            self.pending_added.notify_one();
        }
        pending.insert(seq, p);
    }

    pub(super) fn is_pending(&self, seq: Seq) -> bool {
        lock(&self.pending).contains_key(&seq)
    }

    pub(super) fn is_before_deadline(&self, seq: Seq, now: Now) -> bool {
        let pending = lock(&self.pending);
        pending.get(&seq).is_some_and(|p| now < p.deadline)
    }

    /// Time since which there have been pending requests; `None` if there are none.
    pub(super) fn pending_since(&self) -> Option<Now> {
        let since = || Duration::from_millis(self.pending_since.load(Ordering::SeqCst));
        (!lock(&self.pending).is_empty()).then(since)
    }
}

/// Cancels a pending request when it is dropped, unless the request is finished.
pub(super) struct CancelOnDrop {
    pub(super) link: Arc<Link>,
    pub(super) seq: Seq,
    pub(super) finished: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.finished && lock(&self.link.pending).remove(&self.seq).is_some() {
            self.link.cancel(self.seq);
        }
    }
}

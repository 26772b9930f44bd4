//! Sends large messages in pieces, as [`Bandwidth`] allows.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::clock::Clock;
use crate::request::body::BodyError;
use crate::sidecar::process::bandwidth::{Bandwidth, TransferId, Turn, Urgency, PIECE_BYTES};
use crate::sidecar::process::node::{InFlightGuard, Node};

/// Fraction of the bandwidth that messages use; the rest is for the headers of packets and for acknowledgements.
const USABLE_FRACTION: f64 = 0.95;

/// The link of the VM, shared by all connections of the node.
pub struct SharedLink {
    bandwidth: Mutex<Bandwidth>,
    waiting: Mutex<HashMap<TransferId, Arc<Notify>>>,
    clock: Arc<dyn Clock>,
}

impl SharedLink {
    /// Creates an idle link with this bandwidth, in Mbit/s.
    pub fn new(mbps: f64, clock: Arc<dyn Clock>) -> Self {
        Self {
            bandwidth: Mutex::new(Bandwidth::new(USABLE_FRACTION * mbps)),
            waiting: Mutex::default(),
            clock,
        }
    }

    /// Changes the bandwidth of the link, in Mbit/s.
    pub fn set_rate(&self, mbps: f64) {
        self.bandwidth().set_rate(USABLE_FRACTION * mbps);
    }

    /// State of the link.
    pub fn bandwidth(&self) -> MutexGuard<'_, Bandwidth> {
        self.bandwidth.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records a message that is written at once.
    pub fn record_written(&self, bytes: usize) {
        let now = self.clock.now();
        self.bandwidth().record_written(now, bytes);
    }

    /// Time that the link needs for everything that is to be sent.
    pub fn backlog(&self) -> Duration {
        let now = self.clock.now();
        self.bandwidth().backlog(now)
    }

    /// Begins to send a message in pieces.
    pub fn begin(self: &Arc<Self>, urgency: Urgency, bytes: usize) -> PacedTransfer {
        let id = self.bandwidth().begin(urgency, bytes);
        let turn = Arc::new(Notify::new());
        self.waiting().insert(id, turn.clone());
        PacedTransfer {
            link: self.clone(),
            id,
            turn,
        }
    }

    /// Reserves the link for the response to a request that runs, until the result is dropped.
    pub fn reserve(self: &Arc<Self>, route: &str) -> Reservation {
        let mut bandwidth = self.bandwidth();
        let bytes = bandwidth.expected_bytes(route);
        bandwidth.reserve(bytes);
        drop(bandwidth);
        Reservation {
            link: self.clone(),
            bytes,
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<TransferId, Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Wakes the transfer that writes the next piece.
    fn wake_first(&self) {
        let first = self.bandwidth().first(self.clock.now());
        if let Some(turn) = first.and_then(|id| self.waiting().get(&id).cloned()) {
            turn.notify_one();
        }
    }
}

/// Bytes of the link that are reserved for a response.
pub struct Reservation {
    link: Arc<SharedLink>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.link.bandwidth().release(self.bytes);
    }
}

/// A message that is sent in pieces. Dropping it gives up those that were not written.
pub struct PacedTransfer {
    link: Arc<SharedLink>,
    id: TransferId,
    turn: Arc<Notify>,
}

impl PacedTransfer {
    /// Waits until the next piece may be written. Returns its size, in bytes.
    pub async fn next_piece(&self) -> usize {
        loop {
            let now = self.link.clock.now();
            let turn = self.link.bandwidth().take_turn(now, self.id);
            match turn {
                Turn::Write(bytes) => {
                    self.link.wake_first();
                    return bytes;
                }
                Turn::Wait(time) => {
                    // A more urgent transfer may take over meanwhile.
                    let _ = tokio::time::timeout(time, self.turn.notified()).await;
                }
                Turn::Behind => {
                    self.link.wake_first();
                    self.turn.notified().await;
                }
            }
        }
    }
}

impl Drop for PacedTransfer {
    fn drop(&mut self) {
        self.link.bandwidth().end(self.id);
        self.link.waiting().remove(&self.id);
        self.link.wake_first();
    }
}

type NextPiece = Pin<Box<dyn Future<Output = (PacedTransfer, usize)> + Send>>;

/// A body of known length that is sent in pieces.
pub(crate) struct PacedBody {
    data: Bytes,
    next: Option<NextPiece>,
    /// A stopping process waits until the body has been sent.
    _in_flight: InFlightGuard,
}

impl PacedBody {
    pub(crate) fn new(n: &Arc<Node>, urgency: Urgency, data: Bytes) -> Self {
        let transfer = n.shared_link.begin(urgency, data.len());
        Self {
            data,
            next: Some(next_piece(transfer)),
            _in_flight: n.track_request(),
        }
    }
}

fn next_piece(transfer: PacedTransfer) -> NextPiece {
    Box::pin(async move {
        let bytes = transfer.next_piece().await;
        (transfer, bytes)
    })
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(next) = self.next.as_mut() else {
            return Poll::Ready(None);
        };
        let (transfer, bytes) = ready!(next.as_mut().poll(cx));
        let piece = self.data.split_to(bytes);
        self.next = (!self.data.is_empty()).then(|| next_piece(transfer));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.next.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}

/// Whether a message of this size is sent in pieces.
pub(crate) fn is_large(bytes: usize) -> bool {
    bytes > PIECE_BYTES
}

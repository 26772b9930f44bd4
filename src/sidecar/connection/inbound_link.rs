//! Gives senders of large request bodies their grants, as [`Inbound`] allows.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::clock::Clock;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::process::inbound::{Full, Inbound, Offer, Turn, UploadId};

/// Fraction of the bandwidth that is granted; the rest is for the headers of packets and for acknowledgements.
const USABLE_FRACTION: f64 = 0.95;

/// The link of the VM for what it receives, shared by all connections of the node.
pub struct SharedInbound {
    policy: Mutex<Inbound>,
    waiting: Mutex<HashMap<UploadId, Arc<Notify>>>,
    clock: Arc<dyn Clock>,
}

impl SharedInbound {
    /// Creates an idle link with this bandwidth, in Mbit/s; at most `bytes` of bodies are held.
    pub fn new(mbps: f64, bytes: usize, clock: Arc<dyn Clock>) -> Self {
        Self {
            policy: Mutex::new(Inbound::new(USABLE_FRACTION * mbps).with_memory(bytes)),
            waiting: Mutex::default(),
            clock,
        }
    }

    /// Changes the bandwidth of the link, in Mbit/s.
    pub fn set_rate(&self, mbps: f64) {
        self.policy().set_rate(USABLE_FRACTION * mbps);
    }

    /// State of the link.
    pub fn policy(&self) -> MutexGuard<'_, Inbound> {
        self.policy.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records data other than granted bodies that has arrived.
    pub fn record_received(&self, bytes: usize) {
        let now = self.clock.now();
        self.policy().record_received(now, bytes);
    }

    /// Time that the link needs for the bodies that were admitted.
    pub fn backlog(&self) -> Duration {
        let now = self.clock.now();
        self.policy().backlog(now)
    }

    /// Admits a body that comes over the link.
    ///
    /// # Errors
    ///
    /// The body cannot arrive in time, or there is no memory for it.
    pub fn admit(self: &Arc<Self>, offer: &Offer) -> Result<InboundTransfer, Full> {
        let id = self.policy().admit(self.clock.now(), offer)?;
        Ok(self.transfer(id))
    }

    /// Admits a body that a caller sends to this node.
    ///
    /// # Errors
    ///
    /// There is no memory for the body.
    pub fn admit_local(self: &Arc<Self>, bytes: usize) -> Result<InboundTransfer, Full> {
        let id = self.policy().admit_local(self.clock.now(), bytes)?;
        Ok(self.transfer(id))
    }

    fn transfer(self: &Arc<Self>, id: UploadId) -> InboundTransfer {
        let turn = Arc::new(Notify::new());
        self.waiting().insert(id, turn.clone());
        InboundTransfer {
            link: self.clone(),
            id,
            turn,
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<UploadId, Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Wakes the body that gets the next grant.
    fn wake_first(&self) {
        let first = self.policy().first(self.clock.now());
        if let Some(turn) = first.and_then(|id| self.waiting().get(&id).cloned()) {
            turn.notify_one();
        }
    }
}

/// An admitted body. Dropping it gives up what has not been granted, and its memory.
pub struct InboundTransfer {
    link: Arc<SharedInbound>,
    id: UploadId,
    turn: Arc<Notify>,
}

impl InboundTransfer {
    /// Waits until the sender may send the next piece. Returns its size, in bytes.
    ///
    /// # Errors
    ///
    /// The body can no longer arrive in time.
    pub async fn next_grant(&self) -> Result<usize, Failure> {
        loop {
            let now = self.link.clock.now();
            let turn = self.link.policy().take_turn(now, self.id);
            match turn {
                Turn::Grant(bytes) => {
                    self.link.wake_first();
                    return Ok(bytes);
                }
                Turn::TooLate => return Err(Failure::not_run(Reason::LinkFull)),
                Turn::Wait(time) => {
                    // A more urgent body may take over meanwhile.
                    let _ = tokio::time::timeout(time, self.turn.notified()).await;
                }
            }
        }
    }

    /// Records that granted bytes have arrived.
    pub fn arrived(&self, bytes: usize) {
        let now = self.link.clock.now();
        self.link.policy().arrived(now, self.id, bytes);
        self.link.wake_first();
    }
}

impl Drop for InboundTransfer {
    fn drop(&mut self) {
        self.link.policy().end(self.id);
        self.link.waiting().remove(&self.id);
        self.link.wake_first();
    }
}

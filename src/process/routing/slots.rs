//! Connects the admission queue of the local backend server to the clock and to waiting request tasks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use prometheus::IntGaugeVec;
use tokio::sync::oneshot;

use crate::prelude::*;
use crate::process::clock::Clock;
use crate::process::routing::admission::{Action, Admission, Arrival, RankShare, Ticket};
use crate::request::reason::{Failure, Reason};
use crate::settings::QueuePolicy;
use crate::version::snapshot::Snapshot;

struct State {
    admission: Admission,
    version: VersionNumber,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Failure>>>,
}

/// The slots of the backend server and the requests that wait for them.
pub struct Slots {
    state: Mutex<State>,
    next_ticket: AtomicU64,
    clock: Arc<dyn Clock>,
    queued: IntGaugeVec,
}

/// Place of a request, first in the queue and then in a slot. Released when dropped.
pub struct Slot {
    slots: Arc<Slots>,
    ticket: Ticket,
    ran: bool,
}

impl Slots {
    /// Creates the queue; it has no slots until the backend server announces them.
    pub fn new(policy: QueuePolicy, clock: Arc<dyn Clock>, queued: IntGaugeVec) -> Self {
        Self {
            state: Mutex::new(State {
                admission: Admission::new(policy),
                version: 0,
                waiters: HashMap::default(),
            }),
            next_ticket: AtomicU64::new(1),
            clock,
            queued,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Applies an event to the admission state, performs the resulting actions and updates the queue metric.
    fn apply<F>(&self, event: F)
    where
        F: FnOnce(&mut Admission, Now) -> Vec<Action>,
    {
        let now = self.clock.now();
        let mut s = self.state();
        for action in event(&mut s.admission, now) {
            let (ticket, result) = match action {
                Action::Dispatch(t) => (t, Ok(())),
                Action::Reject(t, reason, back_off) => (
                    t,
                    Err(Failure {
                        back_off,
                        ..Failure::not_run(reason)
                    }),
                ),
            };
            // A request that was abandoned releases its place when its `Slot` is dropped.
            if let Some(tx) = s.waiters.remove(&ticket) {
                let _ = tx.send(result);
            }
        }
        for (rank, n) in s.admission.waiting() {
            self.queued.with_label_values(&[rank]).set(n as i64);
        }
    }

    /// Sets the number of slots that the backend server announced.
    pub fn set_slots(&self, slots: u32) {
        self.apply(|a, now| a.set_slots(now, slots));
    }

    /// Rejects all waiting requests, without a back-off.
    pub fn reject_all(&self, reason: Reason) {
        self.apply(|a, _| a.reject_all(reason));
    }

    /// Running and waiting requests in percent of the slots.
    pub fn load_percent(&self) -> u32 {
        self.state().admission.load_percent()
    }

    /// Updates the ranks if the configuration version has changed.
    fn update_ranks(&self, snapshot: &Snapshot) {
        let mut s = self.state();
        if s.version != snapshot.version.number {
            s.version = snapshot.version.number;
            let ranks: Vec<_> = snapshot.manifest.rank.iter().map(rank_share).collect();
            s.admission.set_ranks(&ranks);
        }
    }

    /// Queues a request and waits for a slot. A `snapshot` of another version updates the ranks first.
    ///
    /// # Errors
    ///
    /// The request is rejected or its deadline passes first. It was not run.
    pub async fn acquire(
        self: &Arc<Self>,
        snapshot: Option<&Snapshot>,
        rank: &RankId,
        caller: &CallerId,
        deadline: Now,
    ) -> Result<Slot, Failure> {
        if let Some(s) = snapshot {
            self.update_ranks(s);
        }
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.state().waiters.insert(ticket, tx);
        let slot = Slot {
            slots: self.clone(),
            ticket,
            ran: false,
        };
        let arrival = Arrival {
            ticket,
            rank: rank.clone(),
            caller: caller.clone(),
            deadline,
        };
        self.apply(|a, now| a.arrive(now, &arrival));
        let remaining = deadline.saturating_sub(self.clock.now());
        match tokio::time::timeout(remaining, rx).await {
            Ok(Ok(result)) => result.map(|()| slot),
            Ok(Err(_)) | Err(_) => Err(Failure::not_run(Reason::Deadline)),
        }
    }
}

fn rank_share(r: &crate::version::manifest::Rank) -> RankShare {
    RankShare {
        name: r.name.clone(),
        order: r.order,
        min_share: f64::from(r.min_share_percent) / 100.0,
    }
}

impl Slot {
    /// Records that the backend server responded, so that the time in the slot counts as a service time.
    pub fn mark_ran(&mut self) {
        self.ran = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (ticket, ran) = (self.ticket, self.ran);
        self.slots.state().waiters.remove(&ticket);
        self.slots.apply(|a, now| match ran {
            true => a.finished(now, ticket),
            false => a.cancelled(now, ticket),
        });
    }
}

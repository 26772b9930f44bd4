//! Drives the admission of the backend server beside this node.

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
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Failure>>>,
}

/// The slots of the backend server and the requests that wait for them.
pub struct Slots {
    state: Mutex<State>,
    next: AtomicU64,
    clock: Arc<dyn Clock>,
    queued: IntGaugeVec,
}

/// A request's place: first in the queue, then in a slot. Dropping it gives the place up.
pub struct Slot {
    owner: Arc<Slots>,
    ticket: Ticket,
    ran: bool,
}

impl Slots {
    /// No slots until the backend server announces them.
    pub fn new(policy: QueuePolicy, clock: Arc<dyn Clock>, queued: IntGaugeVec) -> Self {
        Self {
            state: Mutex::new(State {
                admission: Admission::new(policy),
                version: 0,
                waiting: HashMap::default(),
            }),
            next: AtomicU64::new(1),
            clock,
            queued,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Admission, Now) -> Vec<Action>,
    {
        let now = self.clock.now();
        let mut s = self.state();
        for action in change(&mut s.admission, now) {
            let (ticket, verdict) = match action {
                Action::Dispatch(t) => (t, Ok(())),
                Action::Refuse(t, reason, back_off) => (
                    t,
                    Err(Failure {
                        back_off,
                        ..Failure::not_run(reason)
                    }),
                ),
            };
            // A receiver that has gone gives its place up itself.
            if let Some(tx) = s.waiting.remove(&ticket) {
                let _ = tx.send(verdict);
            }
        }
        for (rank, n) in s.admission.waiting() {
            self.queued.with_label_values(&[rank]).set(n as i64);
        }
    }

    /// Takes the number of slots that the backend server announced.
    pub fn set_slots(&self, slots: u32) {
        self.change(|a, now| a.set_slots(now, slots));
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(&self, reason: Reason) {
        self.change(|a, _| a.refuse_all(reason));
    }

    /// Running and waiting requests in percent of the slots.
    pub fn load_percent(&self) -> u32 {
        self.state().admission.load_percent()
    }

    /// Takes the ranks of a version.
    fn follow(&self, snapshot: &Snapshot) {
        let mut s = self.state();
        if s.version != snapshot.version.number {
            s.version = snapshot.version.number;
            let ranks: Vec<_> = snapshot.manifest.rank.iter().map(share).collect();
            s.admission.set_ranks(&ranks);
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The request is refused or its deadline passes first. It was not run.
    pub async fn take(
        self: &Arc<Self>,
        snapshot: Option<&Snapshot>,
        rank: &RankId,
        caller: &CallerId,
        deadline: Now,
    ) -> Result<Slot, Failure> {
        if let Some(s) = snapshot {
            self.follow(s);
        }
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.state().waiting.insert(ticket, tx);
        let slot = Slot {
            owner: self.clone(),
            ticket,
            ran: false,
        };
        let arrival = Arrival {
            ticket,
            rank: rank.clone(),
            caller: caller.clone(),
            deadline,
        };
        self.change(|a, now| a.arrive(now, &arrival));
        let left = deadline.saturating_sub(self.clock.now());
        match tokio::time::timeout(left, rx).await {
            Ok(Ok(verdict)) => verdict.map(|()| slot),
            Ok(Err(_)) | Err(_) => Err(Failure::not_run(Reason::Deadline)),
        }
    }
}

fn share(r: &crate::version::manifest::Rank) -> RankShare {
    RankShare {
        name: r.name.clone(),
        order: r.order,
        least: f64::from(r.min_share_percent) / 100.0,
    }
}

impl Slot {
    /// The backend server answered, so the time in the slot is a service time.
    pub fn ran(&mut self) {
        self.ran = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (ticket, ran) = (self.ticket, self.ran);
        self.owner.state().waiting.remove(&ticket);
        self.owner.change(|a, now| match ran {
            true => a.finished(now, ticket),
            false => a.gone(now, ticket),
        });
    }
}

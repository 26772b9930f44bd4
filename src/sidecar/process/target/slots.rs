//! Asynchronous access to the admission queue of this node's target.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::prelude::*;
use crate::process::clock::Clock;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::ending::Occupancy;
use crate::sidecar::process::target::queue::{Action, Arrival, Load, Queue, Ticket};

/// Interval at which waiting requests are checked while no slot becomes free.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which an old request is checked for whether later ones were answered.
const UNANSWERED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    queue: Queue,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Failure>>>,
}

/// The slots of the target and the requests that wait for them.
pub struct Slots {
    state: Mutex<State>,
    next_ticket: AtomicU64,
    clock: Arc<dyn Clock>,
}

/// A place in the queue and later a slot for one request. Dropping it releases the place.
pub struct Slot {
    slots: Arc<Slots>,
    ticket: Ticket,
    /// Whether the request failed at the target; `None` if there is no result to record.
    pub failed: Option<bool>,
    /// How the target failed; `None` if the failure, if any, is not its own.
    pub error: Option<TargetError>,
}

/// Error of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetError {
    /// A server error, or a lost connection or no response.
    Failed,
    /// No response until the deadline.
    TimedOut,
}

/// The use of a slot at the target; dropping it records that the target no longer runs the request.
struct InUse {
    slots: Arc<Slots>,
    ticket: Ticket,
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.slots.update(|q, now| q.release(now, self.ticket));
    }
}

impl Slot {
    /// Keeps the slot occupied until the result is dropped, also if the slot itself is dropped before. Also returns the
    /// time after which [`Slot::wait_unanswered`] is of use; `None` if that is unknown.
    pub fn hold(&self) -> (Occupancy, Option<Duration>) {
        let bound = self.slots.state().queue.hold(self.ticket);
        let in_use = InUse {
            slots: self.slots.clone(),
            ticket: self.ticket,
        };
        (Arc::new(in_use), bound)
    }

    /// Waits until the target is found not to respond to the request. Returns whether it is to get fewer requests.
    pub async fn wait_unanswered(&self, bound: Option<Duration>) -> bool {
        let Some(bound) = bound else {
            return std::future::pending().await;
        };
        tokio::time::sleep(bound).await;
        loop {
            let now = self.slots.clock.now();
            {
                let queue = &mut self.slots.state().queue;
                if queue.is_unanswered(now, self.ticket) {
                    return queue.on_full(now);
                }
            }
            tokio::time::sleep(UNANSWERED_CHECK_INTERVAL).await;
        }
    }

    /// Records that the connection of the request was lost before any byte of a response. Returns whether the target is
    /// to get fewer requests.
    pub fn on_lost(&self) -> bool {
        let now = self.slots.clock.now();
        self.slots.state().queue.on_lost(now, self.ticket)
    }
}

impl Slots {
    /// Creates an empty queue; it has no slots until the target is known.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            next_ticket: AtomicU64::new(1),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Lets the target have all its slots, also after it turned out to be full.
    pub fn disable_full_limit(&self) {
        self.state().queue.disable_full_limit();
    }

    /// Lets the target have all its slots from its start.
    pub fn disable_pace(&self) {
        self.state().queue.disable_pace();
    }

    /// Updates the queue and notifies the requests that were dispatched or rejected.
    pub fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut Queue, Now) -> Vec<Action>,
    {
        let now = self.clock.now();
        let mut s = self.state();
        for action in update(&mut s.queue, now) {
            let (ticket, decision) = match action {
                Action::Dispatch(t) => (t, Ok(())),
                Action::Reject(t, reason, back_off) => {
                    let f = Failure::not_run(reason);
                    (t, Err(Failure { back_off, ..f }))
                }
            };
            // If the receiver was dropped, its `Slot` releases the place.
            if let Some(tx) = s.waiters.remove(&ticket) {
                let _ = tx.send(decision);
            }
        }
    }

    /// Load to report to other nodes.
    pub fn load(&self) -> Load {
        self.state().queue.load(self.clock.now())
    }

    /// Mean service time of a route at the target.
    pub fn route_time(&self, route: &str) -> Duration {
        self.state().queue.route_time(route)
    }

    /// Why a request that arrives after `delay` would be rejected then; see [`Queue::preview`].
    pub fn preview(
        &self,
        arrival: &Arrival,
        delay: Duration,
        arriving: usize,
    ) -> Option<(Reason, Duration)> {
        let now = self.clock.now();
        self.state().queue.preview(now, arrival, delay, arriving)
    }

    /// Why a request that arrives now would be rejected, with the back-off; `None` if it would be admitted. Nothing changes,
    /// because the request arrives at a copy of the queue.
    pub fn try_arrival(&self, arrival: Arrival, limit: Option<f32>) -> Option<(Reason, Duration)> {
        let now = self.clock.now();
        let mut copy = self.state().queue.clone();
        if let Some(rate) = limit {
            copy.suggest_limit(now, rate.into());
        }
        let own = arrival.ticket;
        let rejection = |action| match action {
            Action::Reject(ticket, reason, back_off) if ticket == own => Some((reason, back_off)),
            _ => None,
        };
        copy.arrive(now, arrival).into_iter().find_map(rejection)
    }

    /// Fraction of the running requests that are retries.
    pub fn retry_fraction(&self) -> f64 {
        self.state().queue.retry_fraction()
    }

    /// Occupies a slot for something that is not a request of the queue, until the result is dropped, at most for `time`.
    pub fn occupy(self: &Arc<Self>, time: Duration) -> Occupancy {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let until = self.clock.now() + time;
        self.state().queue.occupy(ticket, until);
        Arc::new(InUse {
            slots: self.clone(),
            ticket,
        })
    }

    /// Number of requests that the target gets at once, and how often that number has fallen.
    pub fn pace(&self) -> (usize, u64) {
        self.state().queue.pace()
    }

    /// Number of running and waiting requests.
    pub fn len(&self) -> usize {
        self.state().queue.len()
    }

    /// Whether no request is running or waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request under a new ticket, whatever `arrival.ticket` is, and waits for a slot.
    ///
    /// # Errors
    ///
    /// The request was rejected and not run.
    pub async fn acquire(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Failure> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (tx, mut rx) = oneshot::channel();
        self.state().waiters.insert(ticket, tx);
        let slot = Slot {
            slots: self.clone(),
            ticket,
            failed: None,
            error: None,
        };
        self.update(|q, now| q.arrive(now, Arrival { ticket, ..arrival }));
        loop {
            match tokio::time::timeout(CHECK_INTERVAL, &mut rx).await {
                Ok(Ok(decision)) => return decision.map(|()| slot),
                Ok(Err(_)) => return Err(Failure::not_run(Reason::NotReady)),
                Err(_) => self.update(|q, now| q.advance(now)),
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.slots.state().waiters.remove(&ticket);
        self.slots.update(|q, now| {
            if let Some(error) = self.error {
                q.on_error(ticket, error == TargetError::TimedOut);
            }
            match self.failed {
                Some(failed) => q.finish(now, ticket, failed),
                None => q.cancel(now, ticket),
            }
        });
    }
}

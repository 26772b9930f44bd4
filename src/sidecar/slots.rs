//! Drives the queue of the target beside this node.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use tokio::sync::oneshot;

use super::queue::{Action, Arrival, Load, Queue, Ticket};
use crate::prelude::*;
use crate::process::clock::Clock;
use crate::request::reason::{Failure, Reason};

/// Interval in which waiting requests are looked at while no slot becomes free.
const TICK: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Failure>>>,
}

/// The slots of the target and the requests that wait for them.
pub struct Slots {
    state: Mutex<State>,
    next: AtomicU64,
    clock: Arc<dyn Clock>,
}

/// A request's place: first in the queue, then in a slot. Dropping it gives the place up.
pub struct Slot {
    owner: Arc<Slots>,
    ticket: Ticket,
    /// Whether the target answered, and whether its answer was a failure.
    pub answered: Option<bool>,
}

impl Slots {
    /// No slots until the target is known.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            next: AtomicU64::new(1),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes the queue and tells the requests that it decided about.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Queue, Now) -> Vec<Action>,
    {
        let now = self.clock.now();
        let mut s = self.state();
        for action in change(&mut s.queue, now) {
            let (ticket, verdict) = match action {
                Action::Dispatch(t) => (t, Ok(())),
                Action::Refuse(t, reason, back_off) => {
                    let f = Failure::not_run(reason);
                    (t, Err(Failure { back_off, ..f }))
                }
            };
            // A receiver that has gone gives its place up itself.
            if let Some(tx) = s.waiting.remove(&ticket) {
                let _ = tx.send(verdict);
            }
        }
    }

    /// Load for other nodes.
    pub fn load(&self) -> Load {
        self.state().queue.load(self.clock.now())
    }

    /// Part of the running requests that reached a target before.
    pub fn repeat_part(&self) -> f64 {
        self.state().queue.repeat_part()
    }

    /// Running and waiting requests.
    pub fn len(&self) -> usize {
        self.state().queue.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The request is refused. It was not run.
    pub async fn take(self: &Arc<Self>, arrival: Arrival) -> Result<Slot, Failure> {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, mut rx) = oneshot::channel();
        self.state().waiting.insert(ticket, tx);
        let slot = Slot {
            owner: self.clone(),
            ticket,
            answered: None,
        };
        self.change(|q, now| q.arrive(now, Arrival { ticket, ..arrival }));
        loop {
            match tokio::time::timeout(TICK, &mut rx).await {
                Ok(Ok(verdict)) => return verdict.map(|()| slot),
                Ok(Err(_)) => return Err(Failure::not_run(Reason::NotReady)),
                Err(_) => self.change(|q, now| q.advance(now)),
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.owner.state().waiting.remove(&ticket);
        self.owner.change(|q, now| match self.answered {
            Some(failed) => q.finished(now, ticket, failed),
            None => q.gone(now, ticket),
        });
    }
}

//! Applies the [`Budget`] of a process to its connections: measures what each holds, and closes those that give way.

use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use super::budget::{Budget, BudgetLimits, ClientId, Limit, Spent, Stage};
use super::meter::{Account, Shared};
use crate::prelude::*;

/// Interval at which limits in time are checked, for all connections together.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Times that a task lets others run before it goes on although connections are still being closed. Each needs to run once.
const MAX_YIELDS: usize = 64;
/// Connections that callers leave to the other ports, so that they cannot shut out the target, readiness checks and other
/// nodes.
const RESERVED_CONNECTIONS: usize = 16;

/// Learns which limit closed the connection of which port.
pub trait LimitObserver: Send + Sync {
    /// A limit closed a connection, or rejected a request on it.
    fn limit_reached(&self, port: &'static str, limit: Limit);
}

#[derive(Default)]
pub(super) struct GateState {
    pub(super) budget: Budget,
    pub(super) accounts: HashMap<ClientId, Arc<Shared>>,
    /// Connections that have given way and are still open.
    pub(super) closing: usize,
}

/// The budget of a process, shared by its listeners.
pub struct Gate {
    state: Mutex<GateState>,
    pub(super) observer: Box<dyn LimitObserver>,
    start: Instant,
}

impl Gate {
    /// Creates a gate without connections.
    pub fn new(limits: BudgetLimits, observer: Box<dyn LimitObserver>) -> Self {
        let state = GateState {
            budget: Budget::new(limits),
            ..GateState::default()
        };
        Self {
            state: Mutex::new(state),
            observer,
            start: Instant::now(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: BudgetLimits) {
        self.state().budget.set_limits(limits);
    }

    /// Bytes that all connections hold, and their number.
    pub fn used(&self) -> (usize, usize) {
        let state = self.state();
        (state.budget.used(), state.budget.connections())
    }

    /// Closes connections that exceed a limit in time. Never returns.
    pub async fn watch(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.now();
            let overdue = self.state().budget.remove_overdue(now);
            self.evict(overdue);
        }
    }

    fn now(&self) -> Now {
        self.start.elapsed()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Closes connections that the budget has removed.
    pub(super) fn evict(&self, evicted: Vec<(ClientId, Limit)>) {
        for (id, limit) in evicted {
            let mut state = self.state();
            let account = state.accounts.remove(&id);
            if let Some(account) = account {
                state.closing += 1;
                account.closing.store(true, Ordering::Relaxed);
                drop(state);
                account.evicted.notify_one();
                self.observer.limit_reached(account.port, limit);
            }
        }
    }

    /// Waits until the connections that have given way are closed. Until then they hold memory and descriptors that the
    /// budget no longer counts.
    pub(super) async fn settle(&self) {
        for _ in 0..MAX_YIELDS {
            if self.state().closing == 0 {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    pub(super) fn set_stage(&self, id: ClientId, stage: Stage) {
        let now = self.now();
        self.state().budget.set_stage(id, stage, now);
    }

    pub(super) fn charge(&self, id: ClientId, bytes: usize) -> Result<(), Spent> {
        if bytes == 0 {
            return Ok(());
        }
        let now = self.now();
        let evicted = self.state().budget.charge(id, bytes, now)?;
        self.evict(evicted);
        Ok(())
    }

    pub(super) fn release(&self, id: ClientId, bytes: usize) {
        if bytes > 0 {
            self.state().budget.release(id, bytes);
        }
    }

    pub(super) fn record_blocked(&self, id: ClientId) {
        let now = self.now();
        self.state().budget.record_blocked(id, now);
    }

    pub(super) fn record_progress(&self, id: ClientId, bytes: usize) {
        let now = self.now();
        self.state().budget.record_progress(id, bytes as u64, now);
    }
}

/// Port of a listener, and the gate for its connections.
pub struct Door {
    /// Budget of the process.
    pub gate: Arc<Gate>,
    /// Name of the port, as a metric label.
    pub port: &'static str,
    /// Whether the port is for callers, which get no share of the reserved connections.
    pub callers: bool,
    /// Time within which a head has to be complete after its first byte, for new connections.
    pub head_timeout: Box<dyn Fn() -> Duration + Send + Sync>,
}

impl Door {
    /// Admits a new connection; others may give way to it. `None` if none can.
    pub fn open(&self) -> Option<Account> {
        let reserved = match self.callers {
            true => RESERVED_CONNECTIONS,
            false => 0,
        };
        let head_timeout = (self.head_timeout)();
        let now = self.gate.now();
        let mut state = self.gate.state();
        let Ok((id, evicted)) = state.budget.open(now, reserved, self.port, head_timeout) else {
            drop(state);
            self.gate
                .observer
                .limit_reached(self.port, Limit::Descriptors);
            return None;
        };
        let shared = Arc::new(Shared::new(self.gate.clone(), id, self.port));
        state.accounts.insert(id, shared.clone());
        drop(state);
        self.gate.evict(evicted);
        Some(Account::new(shared))
    }

    /// Waits until the connections that have given way are closed, so that accepting others is not ahead of it.
    pub async fn settle(&self) {
        self.gate.settle().await;
    }

    /// Closes the connection of this port that gives way first, because the port has as many as it may have.
    pub fn make_room(&self) {
        let now = self.gate.now();
        let evicted = self.gate.state().budget.remove_first(now, self.port);
        self.gate.evict(evicted.into_iter().collect());
    }
}

//! Limits on what all clients of a node together may use, from its settings.

use std::sync::Mutex;
use std::time::Instant;

use prometheus::IntCounterVec;

use crate::connection::budget::{BudgetLimits, Limit};
use crate::connection::gate::{Door, LimitObserver};
use crate::logging::EventLog;
use crate::prelude::*;
use crate::settings::LimitSettings;
use crate::sidecar::process::node::Node;

/// Interval between two log lines about the same limit at the same port.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the budget; `None` if the settings name neither the memory nor the descriptors of the process.
pub fn budget_limits(s: &LimitSettings) -> Option<BudgetLimits> {
    let bytes = match s.memory_bytes {
        0 => s.vm_memory_mb << 20 >> 1,
        bytes => bytes,
    };
    if bytes == 0 && s.descriptors == 0 {
        return None;
    }
    let unlimited = |n: u64| match n {
        0 => usize::MAX,
        n => usize::try_from(n).unwrap_or(usize::MAX),
    };
    let window = Duration::from_millis(s.rate_window_ms);
    Some(BudgetLimits {
        bytes: unlimited(bytes),
        // The last quarter is for the store, links, the target and the listeners.
        connections: unlimited(s.descriptors - s.descriptors / 4),
        window_bytes: s.min_bytes_per_s * s.rate_window_ms / 1000,
        window,
    })
}

/// Bytes of large request bodies that may be held at the entry node, and as many at the target's node: a quarter of the
/// budget each. These bodies are not charged to the budget, because they arrive no faster than they are granted.
pub fn upload_bytes(s: &LimitSettings) -> usize {
    budget_limits(s).map_or(usize::MAX, |limits| limits.bytes / 4)
}

/// Port at which clients connect to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Requests of callers.
    Caller,
    /// Calls of the target.
    Control,
    /// Readiness checks.
    Ready,
    /// Metrics and status.
    Admin,
    /// Links of other nodes.
    Relay,
}

impl Port {
    /// Value of the metric label.
    fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Control => "control",
            Self::Ready => "ready",
            Self::Admin => "admin",
            Self::Relay => "relay",
        }
    }
}

/// Budget for the connections of a port, if the settings name one. The configuration has the time for the heads of
/// callers; elsewhere that of the settings applies.
pub fn door(n: &Arc<Node>, port: Port) -> Option<Door> {
    let gate = n.gate.clone()?;
    let n = n.clone();
    let head_timeout = move || {
        let configured = n.routes.load().as_ref().map(|t| t.limits.header_timeout);
        let own = Duration::from_millis(n.settings().limits.header_timeout_ms);
        configured.filter(|_| port == Port::Caller).unwrap_or(own)
    };
    Some(Door {
        gate,
        port: port.as_str(),
        callers: port == Port::Caller,
        head_timeout: Box::new(head_timeout),
    })
}

/// Counts and logs the connections that a limit closes.
pub struct LimitLog {
    closed: IntCounterVec,
    log: EventLog,
    last: Mutex<BTreeMap<(&'static str, Limit), Entry>>,
}

#[derive(Default)]
struct Entry {
    logged: Option<Instant>,
    /// Connections closed since the last line.
    unlogged: u64,
}

impl LimitLog {
    /// Creates a log that counts in `closed`, by port and limit.
    pub fn new(closed: IntCounterVec) -> Self {
        Self {
            closed,
            log: EventLog::default(),
            last: Mutex::default(),
        }
    }
}

impl LimitObserver for LimitLog {
    fn limit_reached(&self, port: &'static str, limit: Limit) {
        self.closed.with_label_values(&[port, limit.as_str()]).inc();
        let mut last = self.last.lock().unwrap_or_else(|e| e.into_inner());
        let entry = last.entry((port, limit)).or_default();
        entry.unlogged += 1;
        if entry.logged.is_some_and(|t| t.elapsed() < LOG_INTERVAL) {
            return;
        }
        entry.logged = Some(Instant::now());
        let count = std::mem::take(&mut entry.unlogged).to_string();
        self.log.event(
            "client_limited",
            &[
                ("port", port),
                ("limit", limit.as_str()),
                ("closed", &count),
            ],
        );
    }
}

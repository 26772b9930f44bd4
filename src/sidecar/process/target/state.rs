//! State of the target of this node, as determined by its heartbeats and by the results of requests. No I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Id of an incarnation of a target; several incarnations may share one.
pub type TargetId = SmolStr;

/// Maximum number of departed targets to remember, so that delayed heartbeats do not make them ready again.
const MAX_DEPARTED: usize = 64;
/// Heartbeat intervals without a heartbeat or a response after which a target counts as dead.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Time between attempts at a target that counts as down; a heartbeat ends it early.
const DOWN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of consecutive attempts without a response in time after which a target counts as down.
const MAX_TIMEOUTS: u32 = 8;

/// State that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// Accepts requests.
    Ready,
    /// Stops soon.
    Draining,
}

/// Report of a target that it runs, sent at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the target that sent it.
    pub id: TargetId,
    /// Service that it runs; has to be that of the settings.
    pub service: ServiceId,
    /// Address that accepts requests; has to be that of the settings.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State that the target reports.
    pub state: ReportedState,
    /// Remaining time for which the target is slow after its start.
    pub warm_up: Duration,
    /// Start of the target, in ms since 1970; greater for a later incarnation.
    pub incarnation: u64,
    /// Incremented with each heartbeat of an incarnation.
    pub seq: u64,
}

/// Reason for which a heartbeat or an announced stop was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatError {
    /// It is not from the target of this node.
    Foreign,
    /// It is from an earlier incarnation.
    Stale,
}

impl HeartbeatError {
    /// Label for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Stale => "stale",
        }
    }
}

/// State of the target that is sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Id of the target; other nodes discard their statistics when it changes.
    pub id: TargetId,
    /// Whether it accepts requests from other nodes.
    pub ready: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Incarnation of the target; 0 if unknown.
    #[serde(default)]
    pub incarnation: u64,
}

#[derive(Debug)]
struct Current {
    id: TargetId,
    /// 0 if it is not known: after a probe, or if the heartbeats do not tell it.
    incarnation: u64,
    seq: u64,
    slots: u32,
    last_heard: Now,
    /// Time until which it accepts requests although it is leaving; `None` if it is not leaving.
    accepts_until: Option<Now>,
    /// Time until which it gets no requests because it counts as down.
    down_until: Option<Now>,
    /// Consecutive attempts without a response in time.
    timeouts: u32,
}

/// State of the target of this node.
#[derive(Debug)]
pub struct OwnTarget {
    service: ServiceId,
    address: SocketAddr,
    heartbeat_interval: Duration,
    /// Time for which a leaving target still accepts requests, so that other nodes can learn of it first.
    drain_delay: Duration,
    current: Option<Current>,
    /// Departed targets with their last incarnation; `u64::MAX` if it is not known, which covers all incarnations.
    departed: Vec<(TargetId, u64)>,
}

impl OwnTarget {
    /// Creates the state; no target is known until a heartbeat or a health probe.
    pub fn new(
        service: ServiceId,
        address: SocketAddr,
        heartbeat_interval: Duration,
        drain_delay: Duration,
    ) -> Self {
        Self {
            service,
            address,
            heartbeat_interval,
            drain_delay,
            current: None,
            departed: Vec::new(),
        }
    }

    /// Restores the record of a target that departed before this process started. It may have sent a heartbeat to this
    /// process already.
    pub fn restore_departure(&mut self, id: TargetId, incarnation: u64, now: Now) {
        let departed = |c: &&mut Current| c.id == id && c.incarnation <= incarnation;
        if let Some(c) = self.current.as_mut().filter(departed) {
            c.accepts_until.get_or_insert(now);
        }
        if !self.has_departed(&id, incarnation) {
            self.record_departure(id, incarnation);
        }
    }

    fn record_departure(&mut self, id: TargetId, incarnation: u64) {
        if self.departed.len() == MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((id, incarnation));
    }

    fn has_departed(&self, id: &str, incarnation: u64) -> bool {
        self.departed
            .iter()
            .any(|(i, last)| i == id && incarnation <= *last)
    }

    /// Processes a heartbeat. Returns whether the state that is sent to other nodes changed.
    ///
    /// # Errors
    ///
    /// The heartbeat is from another target or an earlier incarnation. The state is unchanged.
    pub fn on_heartbeat(&mut self, h: &Heartbeat, now: Now) -> Result<bool, HeartbeatError> {
        if h.service != self.service || h.address != self.address {
            return Err(HeartbeatError::Foreign);
        }
        let before = self.state(now);
        let old = self.current.as_ref();
        if old.is_some_and(|c| {
            h.incarnation < c.incarnation
                || h.incarnation == c.incarnation && h.id != c.id && c.incarnation > 0
        }) {
            return Err(HeartbeatError::Stale);
        }
        let outdated =
            |c: &&Current| c.id == h.id && c.incarnation == h.incarnation && h.seq <= c.seq;
        if old.filter(outdated).is_some() {
            return Ok(false);
        }
        let departed = self.has_departed(&h.id, h.incarnation);
        let leaving = h.state == ReportedState::Draining || departed;
        let same_incarnation = self
            .current
            .take()
            .filter(|c| c.id == h.id && (c.incarnation == h.incarnation || c.incarnation == 0));
        let accepts_until = same_incarnation.as_ref().and_then(|c| c.accepts_until);
        // A departure that is known without the target is from before the start of this process.
        let drain_end = match departed && same_incarnation.is_none() {
            true => now,
            false => now + self.drain_delay,
        };
        self.current = Some(Current {
            id: h.id.clone(),
            incarnation: h.incarnation,
            seq: h.seq,
            slots: h.slots.max(1),
            last_heard: now,
            accepts_until: accepts_until.or(leaving.then_some(drain_end)),
            down_until: None,
            timeouts: 0,
        });
        if leaving && !departed {
            self.record_departure(h.id.clone(), h.incarnation);
        }
        Ok(self.state(now) != before)
    }

    /// Records that the target announced its stop. `incarnation` is 0 if the target did not tell it.
    pub fn on_stop(
        &mut self,
        id: &TargetId,
        incarnation: u64,
        now: Now,
    ) -> Result<bool, HeartbeatError> {
        let before = self.state(now);
        match &mut self.current {
            Some(c) if c.id == *id && (incarnation == 0 || incarnation >= c.incarnation) => {
                c.accepts_until.get_or_insert(now + self.drain_delay);
                let incarnation = c.incarnation.max(incarnation);
                self.record_departure(id.clone(), incarnation);
                Ok(self.state(now) != before)
            }
            Some(_) => Err(HeartbeatError::Stale),
            None => {
                let incarnation = if incarnation == 0 {
                    u64::MAX
                } else {
                    incarnation
                };
                self.record_departure(id.clone(), incarnation);
                Ok(false)
            }
        }
    }

    /// Records that a response of the target said that it is about to stop. Returns the incarnation of the target unless
    /// its stop was known.
    pub fn on_leaving_response(&mut self, id: &TargetId, now: Now) -> Option<u64> {
        let c = self.current.as_mut();
        let c = c.filter(|c| c.id == *id && c.accepts_until.is_none())?;
        c.accepts_until = Some(now + self.drain_delay);
        let incarnation = c.incarnation;
        if incarnation > 0 {
            self.record_departure(id.clone(), incarnation);
        }
        Some(incarnation)
    }

    /// Records a target that responded to a health probe before its first heartbeat.
    pub fn on_probe(&mut self, id: TargetId, slots: u32, now: Now) {
        if self.current.is_none() && !self.departed.iter().any(|(i, _)| *i == id) {
            self.current = Some(Current {
                id,
                incarnation: 0,
                seq: 0,
                slots,
                last_heard: now,
                accepts_until: None,
                down_until: None,
                timeouts: 0,
            });
        }
    }

    /// Records that the target responded to a request.
    pub fn on_response(&mut self, now: Now) {
        if let Some(c) = &mut self.current {
            c.last_heard = now;
            c.down_until = None;
            c.timeouts = 0;
        }
    }

    /// Records that the target refused a connection. Returns whether it counted as up before.
    pub fn on_connect_refused(&mut self, now: Now) -> bool {
        match &mut self.current {
            Some(c) => c.down_until.replace(now + DOWN_RETRY_INTERVAL).is_none(),
            None => false,
        }
    }

    /// Records that the target did not respond to a request in time.
    pub fn on_timeout(&mut self, now: Now) {
        if let Some(c) = &mut self.current {
            c.timeouts += 1;
            if c.timeouts >= MAX_TIMEOUTS {
                c.timeouts = 0;
                c.down_until = Some(now + DOWN_RETRY_INTERVAL);
            }
        }
    }

    /// Discards the state of a target whose address another target has taken over.
    pub fn on_replaced(&mut self, id: &str) {
        if self.current.as_ref().is_some_and(|c| c.id == id) {
            self.current = None;
        }
    }

    /// Id of the target, if it accepts requests now.
    pub fn usable(&self, now: Now) -> Option<&TargetId> {
        let c = self.current.as_ref()?;
        let alive = now < c.last_heard + self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let accepts = c.accepts_until.is_none_or(|t| now < t);
        let up = c.down_until.is_none_or(|t| now >= t);
        (alive && accepts && up).then_some(&c.id)
    }

    /// Whether the target announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|c| c.accepts_until.is_some())
    }

    /// Whether no target is known.
    pub fn is_unknown(&self) -> bool {
        self.current.is_none()
    }

    /// Number of slots of the target; 0 if none is known.
    pub fn slots(&self) -> u32 {
        self.current.as_ref().map_or(0, |c| c.slots)
    }

    /// State to send to other nodes; `None` if no target is known.
    pub fn state(&self, now: Now) -> Option<TargetState> {
        let c = self.current.as_ref()?;
        let alive = now < c.last_heard + self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        Some(TargetState {
            id: c.id.clone(),
            ready: alive && c.accepts_until.is_none(),
            slots: c.slots,
            incarnation: c.incarnation,
        })
    }
}

//! State of the target of this node, as determined by its heartbeats and by the results of requests. No I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::fleet::target_history::KnownTarget;

/// Id of an incarnation of a target; several incarnations may share one.
pub type TargetId = SmolStr;

/// Maximum number of departed targets to remember, so that delayed heartbeats do not make them ready again.
const MAX_DEPARTED: usize = 64;
/// Heartbeat intervals without a heartbeat or a response after which a target counts as dead.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Further heartbeats after the first one that show that a target runs and does not leave, if nothing else does. A
/// heartbeat may be late, but a target that leaves sends no more of them.
const CONFIRMING_HEARTBEATS: u32 = 2;
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
    /// Version of the program that the target runs; `None` if the heartbeat does not tell it.
    pub version: Option<SmolStr>,
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
    /// Whether it announced its stop.
    #[serde(default)]
    pub leaving: bool,
    /// Version of the program that it runs; `None` if unknown.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
}

#[derive(Debug)]
struct Current {
    id: TargetId,
    /// 0 if it is not known: after a probe, or if the heartbeats do not tell it.
    incarnation: u64,
    seq: u64,
    slots: u32,
    version: Option<SmolStr>,
    /// Whether its last heartbeat says that it is slow after its start.
    cold: bool,
    last_heard: Now,
    /// Time until which it accepts requests although it is leaving; `None` if it is not leaving.
    accepts_until: Option<Now>,
    /// Time until which it gets no requests because it counts as down.
    down_until: Option<Now>,
    /// Consecutive attempts without a response in time.
    timeouts: u32,
    /// Heartbeats that are still needed until it accepts requests, because an earlier process of the node may have
    /// acknowledged its stop.
    unconfirmed: u32,
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
    /// Targets of earlier processes of this node that have not departed, as other nodes remember them.
    vouched: Vec<(TargetId, u64)>,
    /// Ids of targets that run the service of this node, as they or other nodes have reported. Whoever answers at the
    /// address may run another one.
    own_ids: Vec<TargetId>,
    /// Target that responded to a health probe, with the number of slots to assume.
    probed: Option<(TargetId, u32)>,
    /// Whether an earlier process of this node may have acknowledged the stop of a target.
    restarted: bool,
    /// Departed targets with their last incarnation.
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
            vouched: Vec::new(),
            own_ids: Vec::new(),
            probed: None,
            restarted: true,
            departed: Vec::new(),
        }
    }

    /// Records that this is the first process of its node, so that no stop has been acknowledged before.
    pub fn on_first_process(&mut self) {
        self.restarted = false;
        self.confirm_known();
    }

    /// Records what another node remembers of the targets of this node. Returns the departures that were not known.
    pub fn on_known_targets(&mut self, known: &[KnownTarget], now: Now) -> Vec<KnownTarget> {
        let mut new = Vec::new();
        for k in known {
            if !k.departed {
                self.vouch(&k.id, k.incarnation);
                self.record_own(&k.id);
            } else if !self.has_departed(&k.id, k.incarnation) {
                self.restore_departure(k.id.clone(), k.incarnation, now);
                new.push(k.clone());
            }
        }
        self.confirm_known();
        self.adopt_probed(now);
        new
    }

    fn vouch(&mut self, id: &TargetId, incarnation: u64) {
        let entry = (id.clone(), incarnation);
        if !self.vouched.contains(&entry) && self.vouched.len() < MAX_DEPARTED {
            self.vouched.push(entry);
        }
        self.confirm_known();
    }

    fn record_own(&mut self, id: &TargetId) {
        if self.own_ids.contains(id) {
            return;
        }
        if self.own_ids.len() == MAX_DEPARTED {
            self.own_ids.remove(0);
        }
        self.own_ids.push(id.clone());
    }

    /// Confirms the target if other nodes remember it, or an earlier one in its place.
    fn confirm_known(&mut self) {
        let Some(mut c) = self.current.take() else {
            return;
        };
        if self.is_known(&c.id, c.incarnation) {
            c.unconfirmed = 0;
        }
        self.current = Some(c);
    }

    /// Whether no earlier process of this node can have acknowledged the stop of a target that is not among the departed
    /// ones.
    fn is_known(&self, id: &TargetId, incarnation: u64) -> bool {
        // An earlier target than this one was the last of that process.
        let vouched =
            |(i, last): &(TargetId, u64)| *last < incarnation || *last == incarnation && i == id;
        let departed = |(i, last): &(TargetId, u64)| i == id && *last < incarnation;
        !self.restarted
            || self.probed.as_ref().is_some_and(|(probed, _)| probed == id)
            || self.vouched.iter().any(vouched)
            || self.departed.iter().any(departed)
    }

    /// Whether a target is known that gets no requests yet, because an earlier process may have acknowledged its stop.
    pub fn is_unconfirmed(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.unconfirmed > 0)
    }

    /// Restores the record of a target that departed before this process started. It may have sent a heartbeat to this
    /// process already.
    pub fn restore_departure(&mut self, id: TargetId, incarnation: u64, now: Now) {
        let departed = |c: &&mut Current| c.id == id && c.incarnation <= incarnation;
        if let Some(c) = self.current.as_mut().filter(departed) {
            c.accepts_until.get_or_insert(now);
        }
        self.record_departure(id, incarnation);
    }

    fn record_departure(&mut self, id: TargetId, incarnation: u64) {
        if self.has_departed(&id, incarnation) {
            return;
        }
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
        self.record_own(&h.id);
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
        // This process has heard of an earlier target.
        let succeeds = old.is_some_and(|c| c.incarnation > 0 && c.incarnation < h.incarnation);
        let departed = self.has_departed(&h.id, h.incarnation);
        let leaving = h.state == ReportedState::Draining || departed;
        let same_incarnation = self
            .current
            .take()
            .filter(|c| c.id == h.id && (c.incarnation == h.incarnation || c.incarnation == 0));
        let accepts_until = same_incarnation.as_ref().and_then(|c| c.accepts_until);
        let unconfirmed = match &same_incarnation {
            _ if succeeds || self.is_known(&h.id, h.incarnation) => 0,
            Some(c) if now < c.last_heard + self.heartbeat_interval / 2 => c.unconfirmed,
            Some(c) => c.unconfirmed.saturating_sub(1),
            None => CONFIRMING_HEARTBEATS,
        };
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
            version: h.version.clone(),
            cold: !h.warm_up.is_zero(),
            last_heard: now,
            accepts_until: accepts_until.or(leaving.then_some(drain_end)),
            down_until: None,
            timeouts: 0,
            unconfirmed,
        });
        if leaving {
            self.record_departure(h.id.clone(), h.incarnation);
        }
        Ok(self.state(now) != before)
    }

    /// Records that the target announced its stop. `incarnation` is 0 if the target did not tell it. If the target is not
    /// known either, `latest` bounds it. Returns the last incarnation that departed.
    ///
    /// # Errors
    ///
    /// The stop is that of another target or an earlier incarnation. The state is unchanged.
    pub fn on_stop(
        &mut self,
        id: &TargetId,
        incarnation: u64,
        latest: u64,
        now: Now,
    ) -> Result<u64, HeartbeatError> {
        match &mut self.current {
            Some(c) if c.id == *id && (incarnation == 0 || incarnation >= c.incarnation) => {
                c.accepts_until.get_or_insert(now + self.drain_delay);
                let incarnation = c.incarnation.max(incarnation);
                self.record_departure(id.clone(), incarnation);
                Ok(incarnation)
            }
            Some(_) => Err(HeartbeatError::Stale),
            None => {
                let incarnation = match incarnation {
                    0 => latest,
                    known => known,
                };
                self.record_departure(id.clone(), incarnation);
                Ok(incarnation)
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

    /// Records a target that responded to a health probe. It is used before its first heartbeat if it is known to run the
    /// service of this node; the probe does not tell.
    pub fn on_probe(&mut self, id: TargetId, slots: u32, now: Now) {
        self.probed = Some((id, slots));
        self.confirm_known();
        self.adopt_probed(now);
    }

    fn adopt_probed(&mut self, now: Now) {
        let Some((id, slots)) = &self.probed else {
            return;
        };
        let departed = self.departed.iter().any(|(i, _)| i == id);
        if self.current.is_some() || departed || !self.own_ids.contains(id) {
            return;
        }
        self.current = Some(Current {
            id: id.clone(),
            incarnation: 0,
            seq: 0,
            slots: *slots,
            version: None,
            cold: false,
            last_heard: now,
            accepts_until: None,
            down_until: None,
            timeouts: 0,
            unconfirmed: 0,
        });
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
            self.probed = None;
        }
    }

    /// Id of the target, if it accepts requests now.
    pub fn usable(&self, now: Now) -> Option<&TargetId> {
        let c = self.current.as_ref()?;
        let alive = now < c.last_heard + self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let accepts = c.accepts_until.is_none_or(|t| now < t);
        let up = c.down_until.is_none_or(|t| now >= t);
        (alive && accepts && up && c.unconfirmed == 0).then_some(&c.id)
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

    /// Whether the target says that it is slow after its start.
    pub fn is_cold(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.cold)
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
            ready: alive && c.accepts_until.is_none() && c.unconfirmed == 0,
            slots: c.slots,
            incarnation: c.incarnation,
            leaving: c.accepts_until.is_some(),
            version: c.version.clone(),
        })
    }
}

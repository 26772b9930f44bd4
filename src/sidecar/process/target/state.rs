//! State of the target of this node, as determined by its heartbeats and by the results of requests. No I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::fleet::target_history::KnownTarget;
use crate::sidecar::process::target::current::Current;
use crate::sidecar::process::target::heartbeat::{Heartbeat, HeartbeatError, ReportedState};
use crate::sidecar::process::target::records::TargetRecords;
use crate::sidecar::process::target::successor::Successors;

/// Id of an incarnation of a target; several incarnations may share one.
pub type TargetId = SmolStr;

/// Further heartbeats after the first one that show that a target runs and does not leave, if nothing else does. A
/// heartbeat may be late, but a target that leaves sends no more of them.
const CONFIRMING_HEARTBEATS: u32 = 2;

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

/// State of the target of this node.
#[derive(Debug)]
pub struct OwnTarget {
    service: ServiceId,
    address: SocketAddr,
    heartbeat_interval: Duration,
    /// Time for which a leaving target still accepts requests, so that other nodes can learn of it first.
    drain_delay: Duration,
    current: Option<Current>,
    records: TargetRecords,
    successors: Successors,
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
            records: TargetRecords::default(),
            successors: Successors::default(),
        }
    }

    /// Records that this is the first process of its node, so that no stop has been acknowledged before.
    pub fn on_first_process(&mut self) {
        self.records.on_first_process();
        self.confirm_known();
    }

    /// Records what another node remembers of the targets of this node. Returns the departures that were not known.
    pub fn on_known_targets(&mut self, known: &[KnownTarget], now: Now) -> Vec<KnownTarget> {
        let mut new = Vec::new();
        for k in known {
            if !k.departed {
                self.records.vouch(&k.id, k.incarnation);
                self.confirm_known();
                self.records.record_own(&k.id);
            } else if !self.records.has_departed(&k.id, k.incarnation) {
                self.restore_departure(k.id.clone(), k.incarnation, now);
                new.push(k.clone());
            }
        }
        self.confirm_known();
        self.adopt_probed(now);
        new
    }

    /// Confirms the target if other nodes remember it, or an earlier one in its place.
    fn confirm_known(&mut self) {
        let known = |c: &&mut Current| self.records.is_known(&c.id, c.incarnation);
        if let Some(c) = self.current.as_mut().filter(known) {
            c.unconfirmed = 0;
        }
    }

    /// Whether a target is known that gets no requests yet, because an earlier process may have acknowledged its stop.
    pub fn is_unconfirmed(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.unconfirmed > 0)
    }

    /// Restores the record of a target that departed before this process started. It may have sent a heartbeat to this
    /// process already.
    pub fn restore_departure(&mut self, id: TargetId, incarnation: u64, now: Now) {
        self.records.record_departure(id, incarnation);
        self.end_departed(now);
    }

    /// Replaces the departed targets of all nodes, with their last incarnations, that the store lists.
    pub fn on_departures_listed(&mut self, listed: HashMap<TargetId, u64>, now: Now) {
        self.records.record_listed(listed, now);
        self.end_departed(now);
    }

    /// Ends the requests for the current target if it has departed.
    fn end_departed(&mut self, now: Now) {
        let departed = |c: &&mut Current| self.records.has_departed(&c.id, c.incarnation);
        if let Some(c) = self.current.as_mut().filter(departed) {
            c.accepts_until.get_or_insert(now);
        }
    }

    /// Processes a heartbeat. Returns whether the state that is sent to other nodes changed.
    ///
    /// # Errors
    ///
    /// The heartbeat is from another target, from an earlier incarnation, or a late one of a target that has departed. The
    /// state is unchanged.
    pub fn on_heartbeat(&mut self, h: &Heartbeat, now: Now) -> Result<bool, HeartbeatError> {
        if h.service != self.service || h.address != self.address {
            return Err(HeartbeatError::Foreign);
        }
        self.records.record_own(&h.id);
        let mut h = h.clone();
        h.incarnation = self.successors.order(&h.id, h.incarnation);
        let leaves = h.state == ReportedState::Draining;
        if leaves && self.successors.is_candidate(&h.id, h.incarnation) {
            let before = self.state(now);
            self.on_stop(&h.id, h.incarnation, h.incarnation, now)?;
            return Ok(self.state(now) != before);
        }
        if self.runs_now(&h, now) {
            let incarnation = self.next_incarnation(&h);
            self.successors.accept(&h, incarnation);
            h.incarnation = incarnation;
        }
        self.apply_heartbeat(&h, now)
    }

    /// Whether the target of a heartbeat runs now, although it seems to be an earlier one.
    fn runs_now(&mut self, h: &Heartbeat, now: Now) -> bool {
        let departed = self.records.last_departed(&h.id);
        let by_name = departed == Some(h.incarnation);
        let after = self.current.as_ref().is_some_and(|c| c.is_after(h));
        let earlier = after || departed.is_some_and(|last| h.incarnation < last);
        match h.state {
            ReportedState::Ready if earlier && h.incarnation > 0 && !by_name => {
                let interval = self.heartbeat_interval;
                self.successors.on_earlier(h, interval, now)
            }
            ReportedState::Ready if earlier || by_name => false,
            // The current target runs, or a target leaves.
            _ => {
                self.successors.reset();
                false
            }
        }
    }

    /// Incarnation that orders the target of a heartbeat behind all that are known.
    fn next_incarnation(&self, h: &Heartbeat) -> u64 {
        let current = self.current.as_ref().map_or(0, |c| c.incarnation);
        let departed = self.records.last_departed(&h.id).unwrap_or_default();
        current.max(departed) + 1
    }

    fn apply_heartbeat(&mut self, h: &Heartbeat, now: Now) -> Result<bool, HeartbeatError> {
        let before = self.state(now);
        let old = self.current.as_ref();
        if old.is_some_and(|c| c.is_after(h)) {
            return Err(HeartbeatError::Stale);
        }
        if old.is_some_and(|c| c.includes(h)) {
            return Ok(false);
        }
        let departed = self.records.has_departed(&h.id, h.incarnation);
        let ready = h.state == ReportedState::Ready;
        if departed && ready && old.is_some_and(|c| c.id != h.id) {
            return Err(HeartbeatError::Departed);
        }
        let unconfirmed = self.unconfirmed_after(h, now);
        let leaving = !ready || departed;
        let same = self.current.take().filter(|c| c.is_same(h));
        // A target that only a probe has told of may have departed, and this may be a later incarnation of it.
        let accepts_until = same
            .as_ref()
            .filter(|_| departed)
            .and_then(|c| c.accepts_until);
        // A departure that is known without the target is from before the start of this process.
        let drain_end = match departed && same.is_none() {
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
            self.records.record_departure(h.id.clone(), h.incarnation);
        }
        Ok(self.state(now) != before)
    }

    /// Heartbeats that are still needed after this one until its target accepts requests.
    fn unconfirmed_after(&self, h: &Heartbeat, now: Now) -> u32 {
        let old = self.current.as_ref();
        // This process has heard of an earlier target.
        let succeeds = old.is_some_and(|c| c.is_before(h));
        match old.filter(|c| c.is_same(h)) {
            _ if succeeds || self.records.is_known(&h.id, h.incarnation) => 0,
            Some(c) if now < c.last_heard + self.heartbeat_interval / 2 => c.unconfirmed,
            Some(c) => c.unconfirmed.saturating_sub(1),
            None => CONFIRMING_HEARTBEATS,
        }
    }

    /// Records that a target announced its stop. It may be another one than the current target, whose heartbeats are late
    /// or have been lost. `incarnation` is 0 if the call did not tell it; `latest` bounds it then.
    /// Returns the last incarnation that departed.
    ///
    /// # Errors
    ///
    /// It is not the current target, and its stop was known. The state is unchanged.
    pub fn on_stop(
        &mut self,
        id: &TargetId,
        incarnation: u64,
        latest: u64,
        now: Now,
    ) -> Result<u64, HeartbeatError> {
        let incarnation = self.successors.order(id, incarnation);
        // The current target has the same id and is silent. If it runs after all, its next heartbeat shows that.
        let runs = self.successors.is_candidate(id, incarnation);
        self.successors.reset();
        let covers = |c: &&mut Current| {
            c.id == *id && (incarnation == 0 || incarnation >= c.incarnation || runs)
        };
        let current = self.current.as_mut().filter(covers);
        let known = current.as_ref().map_or(0, |c| c.incarnation);
        let departed = match incarnation {
            // It may be that of a later incarnation, which has not been heard of.
            0 => latest.max(known),
            named => named,
        };
        match current {
            Some(c) if incarnation > 0 && incarnation < c.incarnation => c.unconfirmed = 1,
            Some(c) => c.leave(incarnation, now + self.drain_delay),
            None if self.records.has_departed(id, departed) => return Err(HeartbeatError::Stale),
            None => {}
        }
        self.records.record_departure(id.clone(), departed);
        Ok(departed)
    }

    /// Last incarnation of a target that has announced its stop, if that is known.
    pub fn last_departed(&self, id: &str) -> Option<u64> {
        self.records.last_departed(id)
    }

    /// Records that a response of the target said that it is about to stop. `latest` bounds its incarnation if that is
    /// not known. Returns the incarnation, unless its stop was known.
    pub fn on_leaving_response(&mut self, id: &TargetId, latest: u64, now: Now) -> Option<u64> {
        let c = self.current.as_ref();
        let c = c.filter(|c| c.id == *id && c.accepts_until.is_none())?;
        self.on_stop(id, c.incarnation, latest, now).ok()
    }

    /// Records a target that responded to a health probe. It is used before its first heartbeat if it is known to run the
    /// service of this node; the probe does not tell.
    pub fn on_probe(&mut self, id: TargetId, slots: u32, now: Now) {
        self.records.record_probe(id, slots);
        self.confirm_known();
        self.adopt_probed(now);
    }

    fn adopt_probed(&mut self, now: Now) {
        if self.current.is_some() {
            return;
        }
        if let Some((id, slots)) = self.records.usable_probe() {
            self.current = Some(Current::from_probe(id.clone(), *slots, now));
        }
    }

    /// Records that the target responded to a request.
    pub fn on_response(&mut self, now: Now) {
        if let Some(c) = &mut self.current {
            c.on_response(now);
        }
    }

    /// Records that the target refused a connection. Returns whether it counted as up before.
    pub fn on_connect_refused(&mut self, now: Now) -> bool {
        let c = self.current.as_mut();
        c.is_some_and(|c| c.on_connect_refused(now))
    }

    /// Records that the target did not respond to a request in time.
    pub fn on_timeout(&mut self, now: Now) {
        if let Some(c) = &mut self.current {
            c.on_timeout(now);
        }
    }

    /// Discards the state of a target whose address another target has taken over.
    pub fn on_replaced(&mut self, id: &str) {
        if self.current.as_ref().is_some_and(|c| c.id == id) {
            self.current = None;
            self.records.forget_probe();
        }
    }

    /// Id of the target, if it accepts requests now.
    pub fn usable(&self, now: Now) -> Option<&TargetId> {
        let c = self.current.as_ref()?;
        let alive = c.is_alive(self.heartbeat_interval, now);
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
        let alive = c.is_alive(self.heartbeat_interval, now);
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

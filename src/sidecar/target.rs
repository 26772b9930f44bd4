//! State of the target beside this node, from its heartbeats and what requests find. Without I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Name of one lifetime of a target, or of several that use the same name.
pub type TargetId = SmolStr;

/// Targets that left and are remembered, so that late heartbeats do not bring them back.
const MAX_LEFT: usize = 64;
/// Heartbeat intervals without a heartbeat or an answer after which a target counts as gone.
const SILENT_BEATS: u32 = 4;
/// Time between two attempts at a target that refused a connection, until its next heartbeat.
const RETRY_DOWN: Duration = Duration::from_millis(200);
/// Attempts in a row that ran out of time with no answer in between, after which a target counts as down.
const SILENT_ATTEMPTS: u32 = 8;

/// State that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reported {
    /// Runs requests.
    Ready,
    /// Leaves soon.
    Draining,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Target.
    pub id: TargetId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: Reported,
    /// Time for which it is still slow after its start.
    pub cold: Duration,
    /// Start of this lifetime, in ms since 1970; greater for a later one.
    pub born: u64,
    /// Grows with each heartbeat of a lifetime.
    pub seq: u64,
}

/// Why a heartbeat was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatError {
    /// It is not of the target beside this node.
    Foreign,
    /// It is of an earlier lifetime.
    Stale,
}

impl BeatError {
    /// Label for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Stale => "stale",
        }
    }
}

/// The target as other nodes learn it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Target.
    pub id: TargetId,
    /// Whether it takes requests from other nodes.
    pub ready: bool,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Debug)]
struct Current {
    id: TargetId,
    born: u64,
    seq: u64,
    slots: u32,
    heard: Now,
    leaving: Option<Now>,
    /// Time until which it is left alone after it refused a connection.
    down_until: Option<Now>,
    silent: u32,
}

/// State of the target beside this node.
#[derive(Debug)]
pub struct OwnTarget {
    service: ServiceId,
    address: SocketAddr,
    heartbeat: Duration,
    /// Time for which a leaving target still takes requests, so that other nodes learn of it first.
    linger: Duration,
    current: Option<Current>,
    left: Vec<(TargetId, u64)>,
}

impl OwnTarget {
    /// No target is known yet.
    pub fn new(
        service: ServiceId,
        address: SocketAddr,
        heartbeat: Duration,
        linger: Duration,
    ) -> Self {
        Self {
            service,
            address,
            heartbeat,
            linger,
            current: None,
            left: Vec::new(),
        }
    }

    /// Notes a target that left before this process started.
    pub fn known_left(&mut self, id: TargetId, born: u64) {
        self.remember_left(id, born);
    }

    fn remember_left(&mut self, id: TargetId, born: u64) {
        if self.left.len() == MAX_LEFT {
            self.left.remove(0);
        }
        self.left.push((id, born));
    }

    fn has_left(&self, id: &str, born: u64) -> bool {
        self.left.iter().any(|(i, b)| i == id && born <= *b)
    }

    /// Takes a heartbeat. Returns whether what other nodes have to know changed.
    ///
    /// # Errors
    ///
    /// The heartbeat is of another target or an earlier lifetime and changed nothing.
    pub fn heartbeat(&mut self, h: &Heartbeat, now: Now) -> Result<bool, BeatError> {
        if h.service != self.service || h.address != self.address {
            return Err(BeatError::Foreign);
        }
        let before = self.state(now);
        let old = self.current.as_ref();
        if old.is_some_and(|c| h.born < c.born || h.born == c.born && h.id != c.id && c.born > 0) {
            return Err(BeatError::Stale);
        }
        let late = |c: &&Current| c.id == h.id && c.born == h.born && h.seq <= c.seq;
        if old.filter(late).is_some() {
            return Ok(false);
        }
        let leaving = h.state == Reported::Draining || self.has_left(&h.id, h.born);
        let same = self
            .current
            .take()
            .filter(|c| c.id == h.id && (c.born == h.born || c.born == 0));
        let since = same.as_ref().and_then(|c| c.leaving);
        self.current = Some(Current {
            id: h.id.clone(),
            born: h.born,
            seq: h.seq,
            slots: h.slots.max(1),
            heard: now,
            leaving: since.or(leaving.then_some(now)),
            down_until: None,
            silent: 0,
        });
        if leaving && !self.has_left(&h.id, h.born) {
            self.remember_left(h.id.clone(), h.born);
        }
        Ok(self.state(now) != before)
    }

    /// The target says that it ends. `born` is 0 when it did not say which lifetime ends.
    pub fn ended(&mut self, id: &TargetId, born: u64, now: Now) -> Result<bool, BeatError> {
        let before = self.state(now);
        match &mut self.current {
            Some(c) if c.id == *id && (born == 0 || born >= c.born) => {
                c.leaving.get_or_insert(now);
                let born = c.born.max(born);
                self.remember_left(id.clone(), born);
                Ok(self.state(now) != before)
            }
            Some(_) => Err(BeatError::Stale),
            None => {
                let born = if born == 0 { u64::MAX } else { born };
                self.remember_left(id.clone(), born);
                Ok(false)
            }
        }
    }

    /// A health probe found this target before its first heartbeat.
    pub fn probed(&mut self, id: TargetId, slots: u32, now: Now) {
        if self.current.is_none() && !self.left.iter().any(|(i, _)| *i == id) {
            self.current = Some(Current {
                id,
                born: 0,
                seq: 0,
                slots,
                heard: now,
                leaving: None,
                down_until: None,
                silent: 0,
            });
        }
    }

    /// The target answered a request.
    pub fn answered(&mut self, now: Now) {
        if let Some(c) = &mut self.current {
            c.heard = now;
            c.down_until = None;
            c.silent = 0;
        }
    }

    /// The target refused a connection. Returns whether it counted as up before.
    pub fn refused(&mut self, now: Now) -> bool {
        match &mut self.current {
            Some(c) => c.down_until.replace(now + RETRY_DOWN).is_none(),
            None => false,
        }
    }

    /// The target gave no answer in the time of a request.
    pub fn silent(&mut self, now: Now) {
        if let Some(c) = &mut self.current {
            c.silent += 1;
            if c.silent >= SILENT_ATTEMPTS {
                c.silent = 0;
                c.down_until = Some(now + RETRY_DOWN);
            }
        }
    }

    /// Another target has the address.
    pub fn replaced(&mut self, id: &str) {
        if self.current.as_ref().is_some_and(|c| c.id == id) {
            self.current = None;
        }
    }

    /// The target that takes requests now.
    pub fn usable(&self, now: Now) -> Option<&TargetId> {
        let c = self.current.as_ref()?;
        let alive = now < c.heard + self.heartbeat * SILENT_BEATS;
        let stays = c.leaving.is_none_or(|t| now < t + self.linger);
        let up = c.down_until.is_none_or(|t| now >= t);
        (alive && stays && up).then_some(&c.id)
    }

    /// Whether the target said that it leaves.
    pub fn leaving(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.leaving.is_some())
    }

    /// Whether no lifetime is known.
    pub fn is_unknown(&self) -> bool {
        self.current.is_none()
    }

    /// Slots of the target.
    pub fn slots(&self) -> u32 {
        self.current.as_ref().map_or(0, |c| c.slots)
    }

    /// What other nodes have to know.
    pub fn state(&self, now: Now) -> Option<TargetState> {
        let c = self.current.as_ref()?;
        let alive = now < c.heard + self.heartbeat * SILENT_BEATS;
        Some(TargetState {
            id: c.id.clone(),
            ready: alive && c.leaving.is_none(),
            slots: c.slots,
        })
    }
}

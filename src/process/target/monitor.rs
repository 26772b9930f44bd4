//! Monitor of the backend server beside this node.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::members::record::{Target, TargetState};

/// Time after which a backend server counts as gone without another announcement.
pub const TTL: Duration = Duration::from_secs(5);
/// Announcements in a row with a bad health hint after which the hint counts.
pub const BAD_HINTS: u32 = 3;
/// Time for which an observed answer outweighs health hints.
pub const PROOF_TIME: Duration = Duration::from_secs(2);

/// What the backend server announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announced {
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceId,
    /// State.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Distinguishes successive processes.
    pub incarnation: u64,
    /// Health hint, which may be late or wrong.
    pub healthy: Option<bool>,
    /// Load hint in percent, which may be late or wrong.
    pub load: Option<u8>,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Put this target into the own record.
    Publish(Target),
    /// Try to open a connection and report with [`Monitor::probed`].
    Probe(SocketAddr),
    /// The process with this incarnation crashed.
    Crashed(u64),
}

#[derive(Debug)]
struct Held {
    announced: Announced,
    heard: Now,
    since: Now,
    bad: u32,
    gone: bool,
}

impl Held {
    /// Whether its end is no crash, because it or a planned stop announced it.
    fn orderly(&self, draining: bool) -> bool {
        draining || self.announced.state == TargetState::Draining
    }
}

/// State of the backend server as this node sees it.
#[derive(Debug, Default)]
pub struct Monitor {
    held: Option<Held>,
    draining: bool,
    proof: Option<Now>,
    probing: bool,
    published: Option<(ServiceId, TargetState, u32)>,
    leaving: Option<Now>,
}

impl Monitor {
    /// Takes an announcement.
    pub fn announced(&mut self, a: Announced, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        let old = self.held.take();
        let replaced = old
            .as_ref()
            .filter(|h| h.announced.incarnation != a.incarnation);
        // A process that had announced its end stopped in order; one that was found gone was counted then.
        let orderly = |h: &Held| h.gone || h.orderly(self.draining);
        if let Some(h) = replaced.filter(|h| !orderly(h)) {
            out.push(Action::Crashed(h.announced.incarnation));
        }
        let same = old.filter(|h| h.announced.incarnation == a.incarnation);
        let was_ready = same
            .as_ref()
            .is_some_and(|h| h.announced.state == TargetState::Ready);
        let bad = match a.healthy {
            Some(false) => same.as_ref().map_or(0, |h| h.bad) + 1,
            _ => 0,
        };
        let since = same.filter(|_| was_ready).map_or(now, |h| h.since);
        self.held = Some(Held {
            announced: a,
            heard: now,
            since,
            bad,
            gone: false,
        });
        out.extend(self.publish(now));
        out
    }

    /// A planned stop marks the target as draining, or ends.
    pub fn drain(&mut self, draining: bool, now: Now) -> Vec<Action> {
        self.draining = draining;
        self.publish(now)
    }

    /// A connection to the backend server broke or was refused.
    pub fn broke(&mut self, _now: Now) -> Vec<Action> {
        let Some(h) = self.held.as_ref().filter(|h| !h.gone && !self.probing) else {
            return Vec::new();
        };
        let address = h.announced.address;
        self.probing = true;
        vec![Action::Probe(address)]
    }

    /// Whether a probe is under way.
    pub fn is_probing(&self) -> bool {
        self.probing
    }

    /// Takes the result of a probe.
    pub fn probed(&mut self, address: SocketAddr, opened: bool, now: Now) -> Vec<Action> {
        self.probing = false;
        let Some(h) = self
            .held
            .as_mut()
            .filter(|h| !h.gone && h.announced.address == address)
        else {
            return Vec::new();
        };
        if opened {
            return Vec::new();
        }
        h.gone = true;
        let mut out = Vec::new();
        if !h.orderly(self.draining) {
            out.push(Action::Crashed(h.announced.incarnation));
        }
        out.extend(self.publish(now));
        out
    }

    /// The backend server answered a request.
    pub fn answered(&mut self, now: Now) {
        self.proof = Some(now);
    }

    /// Advances the time: a silent backend server is gone. Silence alone is no crash.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.publish(now)
    }

    /// State as this node sees it.
    pub fn state(&self, now: Now) -> TargetState {
        let Some(h) = &self.held else {
            return TargetState::Starting;
        };
        let proven = self.proof.is_some_and(|t| now < t + PROOF_TIME);
        match h.announced.state {
            _ if h.gone || now >= h.heard + TTL => TargetState::Gone,
            s if s == TargetState::Ready && self.draining => TargetState::Draining,
            s if s == TargetState::Ready && h.bad >= BAD_HINTS && !proven => TargetState::Starting,
            s => s,
        }
    }

    /// Address of the backend server while it can run requests.
    pub fn backend(&self, now: Now) -> Option<SocketAddr> {
        let usable = matches!(self.state(now), TargetState::Ready | TargetState::Draining);
        self.held
            .as_ref()
            .filter(|_| usable)
            .map(|h| h.announced.address)
    }

    /// Time since the record says that the target is leaving.
    pub fn leaving(&self, now: Now) -> Option<Duration> {
        self.leaving.map(|t| now.saturating_sub(t))
    }

    /// Incarnation of the backend server.
    pub fn incarnation(&self) -> Option<u64> {
        self.held.as_ref().map(|h| h.announced.incarnation)
    }

    /// Slots and connections.
    pub fn capacity(&self) -> Option<(u32, u32)> {
        let a = self.held.as_ref().map(|h| &h.announced)?;
        Some((a.slots, a.connections))
    }

    /// Last load hint in percent, for operators and as a start value; what the node observes takes precedence.
    pub fn load(&self) -> Option<u8> {
        self.held.as_ref()?.announced.load
    }

    fn publish(&mut self, now: Now) -> Vec<Action> {
        let state = self.state(now);
        let Some(h) = &self.held else {
            return Vec::new();
        };
        let a = &h.announced;
        let key = (a.service.clone(), state, a.slots);
        if self.published.as_ref() == Some(&key) {
            return Vec::new();
        }
        self.published = Some(key);
        self.leaving = match state {
            TargetState::Draining => self.leaving.or(Some(now)),
            _ => None,
        };
        vec![Action::Publish(Target {
            service: a.service.clone(),
            state,
            slots: a.slots,
            age_ms: now.saturating_sub(h.since).as_millis() as u64,
        })]
    }
}

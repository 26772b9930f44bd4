//! Tracks the state of the local backend server from its announcements, probes and responses.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::members::record::{Target, TargetState};

/// Time after the last announcement at which a backend server is considered gone.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);
/// Number of consecutive unhealthy hints after which the target is no longer reported as ready.
pub const UNHEALTHY_THRESHOLD: u32 = 3;
/// Time after a response of the backend server during which its unhealthy hints are ignored.
pub const HINT_OVERRIDE_TIME: Duration = Duration::from_secs(2);

/// What a backend server announces; it counts as gone if it does not repeat this within [`ANNOUNCEMENT_TTL`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAnnouncement {
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
    /// Service that the backend server provides.
    pub service: ServiceId,
    /// State that it reports; unhealthy hints or a planned stop may override it.
    pub state: TargetState,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Distinguishes successive processes of the backend server.
    pub incarnation: u64,
    /// Health hint; may be outdated or wrong.
    pub healthy: Option<bool>,
    /// Load hint in percent; may be outdated or wrong.
    pub load: Option<u8>,
}

/// Action for the driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Publish this target in the membership record of this node.
    Publish(Target),
    /// Try to open a connection and report the result to [`Monitor::on_probe_result`].
    Probe(SocketAddr),
    /// The backend server process with this incarnation crashed.
    Crashed(u64),
}

#[derive(Debug)]
struct BackendState {
    announcement: BackendAnnouncement,
    last_heard: Now,
    ready_since: Now,
    unhealthy_hints: u32,
    gone: bool,
}

impl BackendState {
    /// Whether the process is expected to stop, because it announced that it is draining or a stop is planned.
    fn is_planned_stop(&self, draining: bool) -> bool {
        draining || self.announcement.state == TargetState::Draining
    }
}

/// State machine that tracks the local backend server.
#[derive(Debug, Default)]
pub struct Monitor {
    current: Option<BackendState>,
    draining: bool,
    last_response: Option<Now>,
    probing: bool,
    published: Option<(ServiceId, TargetState, u32)>,
    draining_since: Option<Now>,
}

impl Monitor {
    /// Handles an announcement. A new incarnation means that the old one crashed, unless its stop was expected.
    pub fn on_announcement(&mut self, a: BackendAnnouncement, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        let previous = self.current.take();
        let replaced = previous
            .as_ref()
            .filter(|b| b.announcement.incarnation != a.incarnation);
        // A process that announced its stop did not crash, and the crash of one that is marked as gone was counted when
        // the probe failed.
        let is_expected_stop = |b: &BackendState| b.gone || b.is_planned_stop(self.draining);
        if let Some(b) = replaced.filter(|b| !is_expected_stop(b)) {
            actions.push(Action::Crashed(b.announcement.incarnation));
        }
        let same_process = previous.filter(|b| b.announcement.incarnation == a.incarnation);
        let was_ready = same_process
            .as_ref()
            .is_some_and(|b| b.announcement.state == TargetState::Ready);
        let unhealthy_hints = match a.healthy {
            Some(false) => same_process.as_ref().map_or(0, |b| b.unhealthy_hints) + 1,
            _ => 0,
        };
        let ready_since = same_process
            .filter(|_| was_ready)
            .map_or(now, |b| b.ready_since);
        self.current = Some(BackendState {
            announcement: a,
            last_heard: now,
            ready_since,
            unhealthy_hints,
            gone: false,
        });
        actions.extend(self.publish(now));
        actions
    }

    /// Marks the target as draining because of a planned stop, or clears the mark.
    pub fn set_draining(&mut self, draining: bool, now: Now) -> Vec<Action> {
        self.draining = draining;
        self.publish(now)
    }

    /// Handles a lost or refused connection to the backend server. At most one probe runs at a time.
    pub fn on_connection_error(&mut self, _now: Now) -> Vec<Action> {
        let Some(b) = self.current.as_ref().filter(|b| !b.gone && !self.probing) else {
            return Vec::new();
        };
        let address = b.announcement.address;
        self.probing = true;
        vec![Action::Probe(address)]
    }

    /// Whether a probe is in progress.
    pub fn is_probing(&self) -> bool {
        self.probing
    }

    /// Handles the result of a probe. An unreachable backend server crashed, unless its stop was expected.
    pub fn on_probe_result(
        &mut self,
        address: SocketAddr,
        reachable: bool,
        now: Now,
    ) -> Vec<Action> {
        self.probing = false;
        let Some(b) = self
            .current
            .as_mut()
            .filter(|b| !b.gone && b.announcement.address == address)
        else {
            return Vec::new();
        };
        if reachable {
            return Vec::new();
        }
        b.gone = true;
        let mut actions = Vec::new();
        if !b.is_planned_stop(self.draining) {
            actions.push(Action::Crashed(b.announcement.incarnation));
        }
        actions.extend(self.publish(now));
        actions
    }

    /// Handles a response of the backend server; unhealthy hints are ignored for [`HINT_OVERRIDE_TIME`].
    pub fn on_response(&mut self, now: Now) {
        self.last_response = Some(now);
    }

    /// Publishes state changes that are due. A backend server without announcements becomes gone, which is not
    /// counted as a crash.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.publish(now)
    }

    /// State of the backend server, derived from announcements, hints and responses.
    pub fn state(&self, now: Now) -> TargetState {
        let Some(b) = &self.current else {
            return TargetState::Starting;
        };
        let responded = self
            .last_response
            .is_some_and(|t| now < t + HINT_OVERRIDE_TIME);
        match b.announcement.state {
            _ if b.gone || now >= b.last_heard + ANNOUNCEMENT_TTL => TargetState::Gone,
            s if s == TargetState::Ready && self.draining => TargetState::Draining,
            s if s == TargetState::Ready
                && b.unhealthy_hints >= UNHEALTHY_THRESHOLD
                && !responded =>
            {
                TargetState::Starting
            }
            s => s,
        }
    }

    /// Address of the backend server, if it can run requests.
    pub fn address(&self, now: Now) -> Option<SocketAddr> {
        let usable = matches!(self.state(now), TargetState::Ready | TargetState::Draining);
        self.current
            .as_ref()
            .filter(|_| usable)
            .map(|b| b.announcement.address)
    }

    /// Time since the target was published as draining; `None` unless it is draining.
    pub fn draining_for(&self, now: Now) -> Option<Duration> {
        self.draining_since.map(|t| now.saturating_sub(t))
    }

    /// Last announced incarnation of the backend server.
    pub fn incarnation(&self) -> Option<u64> {
        self.current.as_ref().map(|b| b.announcement.incarnation)
    }

    fn publish(&mut self, now: Now) -> Vec<Action> {
        let state = self.state(now);
        let Some(b) = &self.current else {
            return Vec::new();
        };
        let a = &b.announcement;
        let key = (a.service.clone(), state, a.slots);
        if self.published.as_ref() == Some(&key) {
            return Vec::new();
        }
        self.published = Some(key);
        self.draining_since = match state {
            TargetState::Draining => self.draining_since.or(Some(now)),
            _ => None,
        };
        vec![Action::Publish(Target {
            service: a.service.clone(),
            state,
            slots: a.slots,
            age_ms: now.saturating_sub(b.ready_since).as_millis() as u64,
        })]
    }
}

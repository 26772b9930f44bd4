//! Gauges that are set from the state of the process when the metrics are rendered.

use prometheus::{IntGauge, IntGaugeVec, Registry};

use crate::connection::frame::Liveness;
use crate::process::lifecycle::drain::Phase;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::observe::metrics::{gauge, gauges};
use crate::process::target::quarantine::is_quarantined;

/// Gauges that [`StateGauges::update`] sets.
pub struct StateGauges {
    /// Number of versions by which this node is behind the newest one that it knows of.
    lag: IntGauge,
    /// Lowest version number that may be adopted.
    floor: IntGauge,
    /// Versions rejected because another version with the same number is held.
    forks: IntGauge,
    /// Whether this node watches the store's head.
    watcher: IntGauge,
    /// Links to other nodes, by the side that opened them.
    links: IntGaugeVec,
    /// Known nodes, by state.
    members: IntGaugeVec,
    /// Known targets, by state.
    targets: IntGaugeVec,
    /// Phase of the planned stop: 1 for the current one, 0 for the others.
    stop: IntGaugeVec,
    /// Accepted requests that have not finished.
    busy: IntGauge,
    /// Requests that are suspected of crashing a backend server or quarantined, by state.
    suspects: IntGaugeVec,
    /// Idempotency keys that this node remembers.
    keys: IntGauge,
    /// Running and queued requests at the backend server, in percent of its slots.
    load: IntGauge,
    /// Time since the start of the process, in seconds.
    uptime: IntGauge,
}

impl StateGauges {
    /// Registers the gauges.
    pub fn new(r: &Registry) -> Self {
        let single_gauge = |name: &str, help: &str| gauge(r, name, help);
        let gauge_by = |name: &str, help: &str, label: &str| gauges(r, name, help, &[label]);
        Self {
            lag: single_gauge("dq_version_lag", "Versions behind the newest known one"),
            floor: single_gauge("dq_version_floor", "Lowest version that may be adopted"),
            forks: single_gauge("dq_version_forks", "Versions rejected as forks"),
            watcher: single_gauge("dq_watcher", "1 while this node watches the store's head"),
            links: gauge_by(
                "dq_links",
                "Links by the side that opened them",
                "opened_by",
            ),
            members: gauge_by("dq_members", "Known nodes by state", "state"),
            targets: gauge_by("dq_known_targets", "Known targets by state", "state"),
            stop: gauge_by(
                "dq_stop_phase",
                "1 for the current phase of the planned stop",
                "phase",
            ),
            busy: single_gauge(
                "dq_busy_requests",
                "Accepted requests that have not finished",
            ),
            suspects: gauge_by("dq_suspects", "Suspected and quarantined requests", "state"),
            keys: single_gauge(
                "dq_remembered_keys",
                "Idempotency keys remembered by this node",
            ),
            load: single_gauge(
                "dq_backend_load_percent",
                "Running and queued requests in percent of the slots",
            ),
            uptime: single_gauge("dq_uptime_seconds", "Time since the start of the process"),
        }
    }

    /// Sets the gauges to the current state.
    pub fn update(&self, p: &Process) {
        let version = p.version().number;
        p.metrics.version.set(as_gauge(version));
        let status = p.view.status.load();
        self.lag
            .set(as_gauge(status.newest.number.saturating_sub(version)));
        self.floor.set(as_gauge(status.floor));
        self.forks.set(as_gauge(status.forks));
        self.watcher.set(status.watcher.into());
        for (side, n) in [("own", status.opened), ("peer", status.accepted)] {
            set(&self.links, side, n);
        }
        let members = p.view.liveness.load();
        let dead = members.count(Liveness::Dead) + members.count(Liveness::Expired);
        for (state, n) in [
            ("alive", members.count(Liveness::Alive)),
            ("suspect", members.count(Liveness::Suspect)),
            ("unreachable", members.count(Liveness::Unreachable)),
            ("dead", dead),
        ] {
            set(&self.members, state, n);
        }
        let records = p.records.load();
        for state in TargetState::ALL {
            let targets = records.values().filter_map(|r| r.target.as_ref());
            set(
                &self.targets,
                state.as_str(),
                targets.filter(|t| t.state == state).count(),
            );
        }
        for phase in Phase::ALL {
            set(
                &self.stop,
                phase.as_str(),
                usize::from(p.local_backend.phase() == phase),
            );
        }
        self.busy.set(as_gauge(p.local_backend.busy() as u64));
        let suspects = p.notices.suspects(|s, now| s.list(now));
        let crashed = suspects.iter().filter(|s| !s.crashes.is_empty());
        let (quarantined, suspected): (Vec<_>, Vec<_>) = crashed.partition(|s| is_quarantined(s));
        set(&self.suspects, "quarantined", quarantined.len());
        set(&self.suspects, "suspect", suspected.len());
        self.keys.set(as_gauge(p.ownership.key_count() as u64));
        self.load.set(p.slots.load_percent().into());
        self.uptime.set(as_gauge(p.clock.now().as_secs()));
    }
}

fn set(gauges: &IntGaugeVec, label: &str, n: usize) {
    gauges.with_label_values(&[label]).set(as_gauge(n as u64));
}

fn as_gauge(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

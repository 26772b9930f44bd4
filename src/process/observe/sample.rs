//! Gauges that are read from the state of the process when the metrics are read.

use prometheus::{IntGauge, IntGaugeVec, Registry};

use crate::connection::entry::Mark;
use crate::process::lifecycle::drain::Phase;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::observe::metrics::{gauge, gauges};
use crate::process::target::quarantine::is_quarantined;

/// Gauges of the process's state.
pub struct Sampled {
    /// Versions that this node has heard of and does not run yet.
    lag: IntGauge,
    /// Lowest version number that may be adopted.
    floor: IntGauge,
    /// Versions rejected because another one with the same number is held.
    forks: IntGauge,
    /// Whether this node watches the store's head.
    watcher: IntGauge,
    /// Links to other nodes, by the side that opened them.
    links: IntGaugeVec,
    /// Known nodes, by state.
    members: IntGaugeVec,
    /// Targets that this node knows, by state.
    targets: IntGaugeVec,
    /// Step of the planned stop: 1 for the present one.
    stop: IntGaugeVec,
    /// Accepted requests that have not finished.
    busy: IntGauge,
    /// Suspected and quarantined requests.
    suspects: IntGaugeVec,
    /// Idempotency keys that this node remembers.
    keys: IntGauge,
    /// Running and waiting requests of the backend server in percent of its slots.
    load: IntGauge,
    /// Time since the start of the process.
    uptime: IntGauge,
}

impl Sampled {
    /// Registers the gauges.
    pub fn new(r: &Registry) -> Self {
        let one = |name: &str, help: &str| gauge(r, name, help);
        let by = |name: &str, help: &str, label: &str| gauges(r, name, help, &[label]);
        Self {
            lag: one("dq_version_lag", "Versions heard of and not in force yet"),
            floor: one("dq_version_floor", "Lowest version that may be adopted"),
            forks: one("dq_version_forks", "Rejected versions with a held number"),
            watcher: one("dq_watcher", "1 while this node watches the store's head"),
            links: by(
                "dq_links",
                "Links by the side that opened them",
                "opened_by",
            ),
            members: by("dq_members", "Known nodes by state", "state"),
            targets: by("dq_known_targets", "Known targets by state", "state"),
            stop: by(
                "dq_stop_phase",
                "1 for the step of the planned stop",
                "phase",
            ),
            busy: one("dq_busy_requests", "Accepted requests that have not ended"),
            suspects: by("dq_suspects", "Suspected and rejected requests", "state"),
            keys: one("dq_remembered_keys", "Idempotency keys remembered here"),
            load: one("dq_backend_load_percent", "Work in percent of the slots"),
            uptime: one("dq_uptime_seconds", "Time since the start of the process"),
        }
    }

    /// Reads the state.
    pub fn read(&self, p: &Process) {
        let version = p.version().number;
        p.metrics.version.set(as_gauge(version));
        let status = p.view.status.load();
        self.lag
            .set(as_gauge(status.heard.number.saturating_sub(version)));
        self.floor.set(as_gauge(status.floor));
        self.forks.set(as_gauge(status.forks));
        self.watcher.set(status.watcher.into());
        for (side, n) in [("own", status.opened), ("peer", status.accepted)] {
            set(&self.links, side, n);
        }
        let members = p.view.members.load();
        let ended = members.count(Mark::Dead) + members.count(Mark::Expired);
        for (state, n) in [
            ("alive", members.count(Mark::Alive)),
            ("suspect", members.count(Mark::Suspect)),
            ("unreachable", members.count(Mark::Unreachable)),
            ("dead", ended),
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
        let counted = suspects.iter().filter(|s| !s.crashes.is_empty());
        let (bad, doubtful): (Vec<_>, Vec<_>) = counted.partition(|s| is_quarantined(s));
        set(&self.suspects, "quarantined", bad.len());
        set(&self.suspects, "suspect", doubtful.len());
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

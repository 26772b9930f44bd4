//! Gauges that are read from the state of the process when the metrics are read.

use prometheus::{IntGauge, IntGaugeVec, Registry};

use super::metrics::{gauge, gauges};
use super::node::Process;
use super::record::TargetState;

/// Gauges of the process's state.
pub struct Sampled {
    /// Targets that this node knows, by state.
    targets: IntGaugeVec,
    /// Running and waiting requests of the backend server in percent of its slots.
    load: IntGauge,
    /// Time since the start of the process.
    uptime: IntGauge,
}

impl Sampled {
    /// Registers the gauges.
    pub fn new(r: &Registry) -> Self {
        Self {
            targets: gauges(r, "dq_known_targets", "Known targets by state", &["state"]),
            load: gauge(
                r,
                "dq_backend_load_percent",
                "Running and waiting requests of the backend server in percent of its slots",
            ),
            uptime: gauge(
                r,
                "dq_uptime_seconds",
                "Time since the start of the process",
            ),
        }
    }

    /// Reads the state.
    pub fn read(&self, p: &Process) {
        p.metrics.version.set(as_gauge(p.version().number));
        for state in TargetState::ALL {
            let records = p.records.load();
            let targets = records.values().filter_map(|r| r.target.as_ref());
            let n = targets.filter(|t| t.state == state).count();
            self.targets
                .with_label_values(&[state.as_str()])
                .set(as_gauge(n as u64));
        }
        self.load.set(p.slots.load_percent().into());
        self.uptime.set(as_gauge(p.clock.now().as_secs()));
    }
}

fn as_gauge(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

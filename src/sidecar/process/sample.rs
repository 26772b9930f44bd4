//! Gauges that are updated when metrics are requested, and the periodic summary in the log.

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::{GaugeVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

use crate::prelude::*;
use crate::process::observe::metrics::{gauge, gauges, register};
use crate::sidecar::process::node::Node;

const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Gauges that are set to the state of the node when metrics are rendered.
pub struct SampledGauges {
    queued: IntGaugeVec,
    pace: IntGauge,
    in_flight: IntGauge,
    link_backlog: IntGauge,
    inbound_backlog: IntGauge,
    upload_bytes: IntGauge,
    known_nodes: IntGaugeVec,
    ages: IntGaugeVec,
    quota_rates: GaugeVec,
    log_dropped: IntGauge,
}

impl SampledGauges {
    /// Registers the gauges; [`SampledGauges::update`] sets them.
    pub fn new(r: &Registry) -> Self {
        Self {
            queued: gauges(
                r,
                "dq_sidecar_queued_requests",
                "Requests at the target of this node",
                &["state"],
            ),
            pace: gauge(
                r,
                "dq_sidecar_target_pace_requests",
                "Requests that the target of this node gets at once",
            ),
            in_flight: gauge(r, "dq_sidecar_in_flight_requests", "Requests in progress"),
            link_backlog: gauge(
                r,
                "dq_sidecar_link_backlog_milliseconds",
                "Time that the link of the VM needs for what is to be sent",
            ),
            inbound_backlog: gauge(
                r,
                "dq_sidecar_inbound_backlog_milliseconds",
                "Time that the link of the VM needs for the admitted request bodies",
            ),
            upload_bytes: gauge(
                r,
                "dq_sidecar_upload_bytes",
                "Length of the admitted request bodies",
            ),
            known_nodes: gauges(r, "dq_sidecar_known_nodes", "Other nodes", &["state"]),
            ages: gauges(
                r,
                "dq_sidecar_age_milliseconds",
                "Time since a part of the state was last confirmed",
                &["of"],
            ),
            quota_rates: register(
                r,
                GaugeVec::new(
                    Opts::new(
                        "dq_sidecar_quota_rate",
                        "Rates of quotas that are lent, per second",
                    ),
                    &["tenant", "of"],
                ),
            ),
            log_dropped: gauge(
                r,
                "dq_sidecar_log_lines_dropped",
                "Log lines dropped by the rate limit since the start",
            ),
        }
    }

    /// Sets the gauges to the state of the node.
    pub fn update(&self, n: &Node) {
        let load = n.slots.load();
        let waiting = n.slots.len() as i64 - i64::from(load.running);
        let queued = |state: &str| self.queued.with_label_values(&[state]);
        queued("running").set(i64::from(load.running));
        queued("waiting").set(waiting);
        self.pace.set(n.slots.pace().0 as i64);
        self.in_flight.set(n.in_flight() as i64);
        self.link_backlog
            .set(n.shared_link.backlog().as_millis() as i64);
        self.inbound_backlog
            .set(n.inbound.backlog().as_millis() as i64);
        let held = n.inbound.policy().held_bytes();
        self.upload_bytes.set(held as i64);
        let nodes = n.members().count() as i64 - 1;
        let links = n.links.len() as i64;
        self.known_nodes.with_label_values(&["known"]).set(nodes);
        self.known_nodes.with_label_values(&["linked"]).set(links);
        for confirmation in Confirmation::ALL {
            let age = n
                .last_confirmed
                .age(confirmation, n.clock.now())
                .as_millis();
            self.ages
                .with_label_values(&[confirmation.as_str()])
                .set(age as i64);
        }
        self.quota_rates.reset();
        for (tenant, borrowed, lent) in n.quota_rates() {
            let rate = |of: &str| self.quota_rates.with_label_values(&[tenant.as_str(), of]);
            rate("borrowed").add(borrowed);
            rate("lent").add(lent);
        }
        self.log_dropped.set(n.log.dropped() as i64);
    }
}

/// Kind of event that confirms that a part of the state of a node is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// The version in force was current: the store answered this node, or a node that the store had answered.
    Version,
    /// The nodes were listed from the store.
    Members,
    /// The record of this node was written, or its lease renewed.
    Lease,
    /// The target of this node sent a heartbeat.
    Heartbeat,
}

impl Confirmation {
    const ALL: [Self; 4] = [Self::Version, Self::Members, Self::Lease, Self::Heartbeat];

    fn as_str(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Members => "members",
            Self::Lease => "lease",
            Self::Heartbeat => "heartbeat",
        }
    }
}

/// Time of the last confirmation of each kind, in ms since the start of the process.
#[derive(Debug, Default)]
pub struct LastConfirmed([AtomicU64; Confirmation::ALL.len()]);

impl LastConfirmed {
    /// Records a confirmation of this kind; an earlier one than the last changes nothing.
    pub fn record(&self, confirmation: Confirmation, at: Now) {
        self.0[confirmation as usize].fetch_max(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time of the last confirmation, if there was one.
    pub fn last(&self, confirmation: Confirmation) -> Option<Now> {
        let ms = self.0[confirmation as usize].load(Ordering::Relaxed);
        (ms > 0).then_some(Duration::from_millis(ms))
    }

    /// Time since the last confirmation, or since the start of the process if there was none.
    pub fn age(&self, confirmation: Confirmation, now: Now) -> Duration {
        now.saturating_sub(self.last(confirmation).unwrap_or_default())
    }
}

/// Sum of the counters of a metric whose label `label` has the value `value`.
fn sum_counters(metric: &IntCounterVec, label: &str, value: &str) -> u64 {
    use prometheus::core::Collector;
    let gathered = metric.collect();
    let all = gathered.iter().flat_map(|f| f.get_metric());
    let matches = |m: &&prometheus::proto::Metric| {
        let mut labels = m.get_label().iter();
        labels.any(|l| l.name() == label && l.value() == value)
    };
    all.filter(matches)
        .map(|m| m.get_counter().get_value() as u64)
        .sum()
}

/// Logs totals since the start at each interval in which requests were served. Never returns.
pub async fn log_summaries(n: Arc<Node>) {
    let mut last = String::new();
    loop {
        tokio::time::sleep(SUMMARY_INTERVAL).await;
        let m = &n.metrics;
        let total =
            |f: &IntCounterVec, label: &str, value: &str| sum_counters(f, label, value).to_string();
        let done = total(&m.requests, "outcome", "done");
        if done == last {
            continue;
        }
        let load = n.slots.load();
        n.log.event(
            "summary",
            &[
                ("done", &done),
                ("not_run", &total(&m.requests, "outcome", "not-run")),
                ("unknown", &total(&m.requests, "outcome", "unknown")),
                ("own", &total(&m.attempts, "hop", "own")),
                ("zone", &total(&m.attempts, "hop", "zone")),
                ("cross", &total(&m.attempts, "hop", "cross")),
                ("cross_bytes", &total(&m.link_bytes, "hop", "cross")),
                ("running", &load.running.to_string()),
                (
                    "waiting",
                    &load.waiting[crate::sidecar::version::routes::RANKS - 1].to_string(),
                ),
                ("service_ms", &(load.service_us / 1000).to_string()),
                ("version", &n.version().to_string()),
                ("links", &n.links.len().to_string()),
            ],
        );
        last = done;
    }
}

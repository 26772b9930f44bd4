//! State of a sidecar node that is read when its metrics are asked for, and the line that sums up its work in the log.

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::node::Node;
use crate::prelude::*;
use crate::process::observe::metrics::{gauge, gauges};

/// Interval of the summary in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Gauges that are set when metrics are rendered.
pub struct Sampled {
    queued: IntGaugeVec,
    in_flight: IntGauge,
    members: IntGaugeVec,
    age: IntGaugeVec,
    log_dropped: IntGauge,
}

impl Sampled {
    /// Registers the gauges.
    pub fn new(r: &Registry) -> Self {
        Self {
            queued: gauges(
                r,
                "dq_sidecar_queued_requests",
                "Requests at the own target",
                &["state"],
            ),
            in_flight: gauge(r, "dq_sidecar_in_flight_requests", "Requests in progress"),
            members: gauges(r, "dq_sidecar_known_nodes", "Other nodes", &["state"]),
            age: gauges(
                r,
                "dq_sidecar_age_milliseconds",
                "Time since something was last confirmed",
                &["of"],
            ),
            log_dropped: gauge(
                r,
                "dq_sidecar_log_lines_dropped",
                "Log lines above the rate since the start",
            ),
        }
    }

    /// Sets the gauges to the state of the node.
    pub fn read(&self, n: &Node) {
        let load = n.slots.load();
        let waiting = n.slots.len() as i64 - i64::from(load.running);
        let queued = |state: &str| self.queued.with_label_values(&[state]);
        queued("running").set(i64::from(load.running));
        queued("waiting").set(waiting);
        self.in_flight.set(n.in_flight() as i64);
        let nodes = n.members().count() as i64 - 1;
        let links = n.links.len() as i64;
        self.members.with_label_values(&["known"]).set(nodes);
        self.members.with_label_values(&["linked"]).set(links);
        for fact in Fact::ALL {
            let age = n.confirmed.age(fact, n.clock.now()).as_millis();
            self.age.with_label_values(&[fact.as_str()]).set(age as i64);
        }
        self.log_dropped.set(n.log.dropped() as i64);
    }
}

/// What a node believes and confirms now and then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fact {
    /// The version in force: read from the store, or heard from another node.
    Version,
    /// The list of nodes: read from the store.
    Members,
    /// The own lease: granted or renewed.
    Lease,
    /// The own target: it sent a heartbeat.
    Heartbeat,
}

impl Fact {
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

/// When each fact was last confirmed, in milliseconds since the start of the process.
#[derive(Debug, Default)]
pub struct Confirmed([AtomicU64; Fact::ALL.len()]);

impl Confirmed {
    /// Notes that a fact was confirmed.
    pub fn note(&self, fact: Fact, now: Now) {
        self.0[fact as usize].store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since a fact was confirmed, or since the start of the process.
    pub fn age(&self, fact: Fact, now: Now) -> Duration {
        let at = Duration::from_millis(self.0[fact as usize].load(Ordering::Relaxed));
        now.saturating_sub(at)
    }
}

/// Sum of the counters of a family whose label has a value.
fn sum(family: &IntCounterVec, label: &str, value: &str) -> u64 {
    use prometheus::core::Collector;
    let gathered = family.collect();
    let all = gathered.iter().flat_map(|f| f.get_metric());
    let has = |m: &&prometheus::proto::Metric| {
        let mut labels = m.get_label().iter();
        labels.any(|l| l.name() == label && l.value() == value)
    };
    all.filter(has)
        .map(|m| m.get_counter().get_value() as u64)
        .sum()
}

/// Writes a line with the sums since the start for as long as the process runs, if there was work since the last one.
pub async fn summarize(n: Arc<Node>) {
    let mut last = String::new();
    loop {
        tokio::time::sleep(SUMMARY_INTERVAL).await;
        let m = &n.metrics;
        let total = |f: &IntCounterVec, label: &str, value: &str| sum(f, label, value).to_string();
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
                    &load.waiting[super::routes::RANKS - 1].to_string(),
                ),
                ("service_ms", &(load.service_us / 1000).to_string()),
                ("version", &n.version().to_string()),
                ("links", &n.links.len().to_string()),
            ],
        );
        last = done;
    }
}

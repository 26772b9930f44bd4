//! Prometheus metrics of a node.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::process::node::Process;
use crate::process::observe::sample::Sampled;
use crate::request::reason::Reason;

/// Counters and gauges of a node.
pub struct Metrics {
    registry: Registry,
    /// Requests by rank and outcome.
    pub requests: IntCounterVec,
    /// Refused or failed requests by reason.
    pub refusals: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Waiting requests by rank.
    pub queued: IntGaugeVec,
    /// Bytes on links between nodes, by direction and kind of message.
    pub control_bytes: IntCounterVec,
    /// Inputs from peers that were rejected, by kind.
    pub rejected: IntCounterVec,
    /// Calls to the store, by kind and result.
    pub store_calls: IntCounterVec,
    /// Watches that wait at the store now.
    pub store_waiting: IntGauge,
    /// Crashes of the backend server beside this node.
    pub crashes: IntCounter,
    /// Attempts at a target; divided by the requests they give the retry amplification.
    pub attempts: IntCounter,
    /// Time from the arrival of a request to the head of its answer, by rank.
    pub request_seconds: HistogramVec,
    /// Time from first hearing of a version to its adoption.
    pub adopt_seconds: Histogram,
    /// Number of the version in force.
    pub version: IntGauge,
    sampled: Sampled,
}

pub(crate) fn counters(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(r, IntCounterVec::new(Opts::new(name, help), labels))
}

/// Upper bounds of the histogram buckets, in seconds: from below the added latency aimed at to the longest deadlines.
const BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0,
];

fn histograms(r: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    register(r, HistogramVec::new(opts, labels))
}

fn histogram(r: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    register(r, Histogram::with_opts(opts))
}

pub(crate) fn gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(r, IntGaugeVec::new(Opts::new(name, help), labels))
}

pub(crate) fn gauge(r: &Registry, name: &str, help: &str) -> IntGauge {
    register(r, IntGauge::new(name, help))
}

/// Registers a metric. Names are constants of this file, so a failure is a programming error found by any test.
pub(crate) fn register<M>(r: &Registry, made: prometheus::Result<M>) -> M
where
    M: prometheus::core::Collector + Clone + 'static,
{
    let metric = made.expect("valid metric name");
    r.register(Box::new(metric.clone()))
        .expect("unique metric name");
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let r = &Registry::new();
        let many = |name: &str, help: &str, labels: &[&str]| counters(r, name, help, labels);
        let one = |name: &str, help: &str| register(r, IntCounter::new(name, help));
        let state = |name: &str, help: &str| gauge(r, name, help);
        let reason = &["reason"];
        Self {
            requests: many("dq_requests_total", "Requests", &["rank", "outcome"]),
            refusals: many("dq_refusals_total", "Refused or failed requests", reason),
            retries: many("dq_retries_total", "Repeated attempts", reason),
            queued: gauges(r, "dq_queued_requests", "Waiting requests", &["rank"]),
            control_bytes: many(
                "dq_control_bytes_total",
                "Bytes on links between nodes",
                &["direction", "kind"],
            ),
            rejected: many("dq_rejected_inputs_total", "Rejected inputs", &["kind"]),
            store_calls: many("dq_store_calls_total", "Store calls", &["kind", "result"]),
            store_waiting: state("dq_store_waiting_watches", "Watches waiting at the store"),
            crashes: one("dq_backend_crashes_total", "Crashes of the backend server"),
            attempts: one(
                "dq_attempts_total",
                "Attempts at a target by the entry node",
            ),
            request_seconds: histograms(
                r,
                "dq_request_seconds",
                "Time from the arrival of a request to the head of its answer",
                &["rank"],
            ),
            adopt_seconds: histogram(
                r,
                "dq_adopt_seconds",
                "Time from first hearing of a version to its adoption",
            ),
            version: state("dq_version_number", "Number of the version in force"),
            sampled: Sampled::new(r),
            registry: r.clone(),
        }
    }
}

impl Metrics {
    /// Counts a refused or failed request.
    pub fn refused(&self, reason: Reason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Metrics in the Prometheus text format, with the state of the process as it is now.
    pub fn render(&self, p: &Process) -> String {
        self.sampled.read(p);
        let mut out = Vec::new();
        // Writing into a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

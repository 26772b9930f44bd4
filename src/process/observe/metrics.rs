//! Prometheus metrics of a node.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::process::node::Process;
use crate::process::observe::sample::StateGauges;
use crate::request::reason::Reason;

/// Metrics that the tasks of a node update, in one registry.
pub struct Metrics {
    registry: Registry,
    /// Requests by rank and outcome.
    pub requests: IntCounterVec,
    /// Rejected or failed requests by reason.
    pub rejections: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Queued requests by rank.
    pub queued: IntGaugeVec,
    /// Bytes sent and received on links between nodes, by direction and kind of frame.
    pub control_bytes: IntCounterVec,
    /// Rejected inputs from peers, by kind.
    pub rejected_inputs: IntCounterVec,
    /// Store calls by kind and result.
    pub store_calls: IntCounterVec,
    /// Watch calls that are waiting at the store.
    pub store_waiting: IntGauge,
    /// Crashes of the backend server beside this node.
    pub crashes: IntCounter,
    /// Attempts at a target. Their ratio to the requests is the retry amplification.
    pub attempts: IntCounter,
    /// Time from the arrival of a request to the head of its response, by rank, in seconds.
    pub request_seconds: HistogramVec,
    /// Time from first learning of a version to its adoption, in seconds.
    pub adopt_seconds: Histogram,
    /// Number of the version in force.
    pub version: IntGauge,
    state: StateGauges,
}

pub(crate) fn counters(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(r, IntCounterVec::new(Opts::new(name, help), labels))
}

/// Upper bounds of the histogram buckets, in seconds: from below the objective for the added latency to the longest
/// deadlines.
const BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0,
];

fn histograms(r: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
    register(r, HistogramVec::new(opts, labels))
}

fn histogram(r: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
    register(r, Histogram::with_opts(opts))
}

pub(crate) fn gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(r, IntGaugeVec::new(Opts::new(name, help), labels))
}

pub(crate) fn gauge(r: &Registry, name: &str, help: &str) -> IntGauge {
    register(r, IntGauge::new(name, help))
}

/// Registers a metric. The names are constants, so a failure is a programming error that any test finds.
pub(crate) fn register<M>(r: &Registry, metric: prometheus::Result<M>) -> M
where
    M: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("valid metric name");
    r.register(Box::new(metric.clone()))
        .expect("unique metric name");
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let r = &Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| counters(r, name, help, labels);
        let counter = |name: &str, help: &str| register(r, IntCounter::new(name, help));
        let single_gauge = |name: &str, help: &str| gauge(r, name, help);
        let reason = &["reason"];
        Self {
            requests: counter_vec("dq_requests_total", "Requests", &["rank", "outcome"]),
            rejections: counter_vec("dq_refusals_total", "Rejected or failed requests", reason),
            retries: counter_vec("dq_retries_total", "Retries", reason),
            queued: gauges(r, "dq_queued_requests", "Queued requests", &["rank"]),
            control_bytes: counter_vec(
                "dq_control_bytes_total",
                "Bytes sent and received on links between nodes",
                &["direction", "kind"],
            ),
            rejected_inputs: counter_vec("dq_rejected_inputs_total", "Rejected inputs", &["kind"]),
            store_calls: counter_vec("dq_store_calls_total", "Store calls", &["kind", "result"]),
            store_waiting: single_gauge(
                "dq_store_waiting_watches",
                "Watch calls waiting at the store",
            ),
            crashes: counter("dq_backend_crashes_total", "Crashes of the backend server"),
            attempts: counter(
                "dq_attempts_total",
                "Attempts at a target by the entry node",
            ),
            request_seconds: histograms(
                r,
                "dq_request_seconds",
                "Time from the arrival of a request to the head of its response",
                &["rank"],
            ),
            adopt_seconds: histogram(
                r,
                "dq_adopt_seconds",
                "Time from first learning of a version to its adoption",
            ),
            version: single_gauge("dq_version_number", "Number of the version in force"),
            state: StateGauges::new(r),
            registry: r.clone(),
        }
    }
}

impl Metrics {
    /// Counts a rejected or failed request under the reason that its response gives.
    pub fn count_rejection(&self, reason: Reason) {
        self.rejections.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a retry under the reason for which the attempt before it failed.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Renders the metrics in the Prometheus text format. The gauges of the process's state are updated first.
    pub fn render(&self, p: &Process) -> String {
        self.state.update(p);
        let mut out = Vec::new();
        // Writing into a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

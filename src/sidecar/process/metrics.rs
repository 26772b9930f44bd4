//! Prometheus metrics of a sidecar node.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Registry,
    TextEncoder,
};

use crate::prelude::*;
use crate::process::observe::metrics::{counters, gauge, gauges, register};
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::process::node::Node;
use crate::sidecar::process::rollout::decider::Decider;
use crate::sidecar::process::sample::SampledGauges;

/// Upper bounds of the histogram buckets, in seconds; dense around the usual latency objectives.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 5.0];
/// Label values of the ranks; less urgent ranks count as the last one.
const RANK_LABELS: [&str; 4] = ["0", "1", "2", "3"];

/// Location of a target relative to the node that sends a request to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// On the same VM.
    Own,
    /// In the same availability zone.
    SameAz,
    /// In another availability zone.
    CrossAz,
}

impl Hop {
    /// Value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::SameAz => "zone",
            Self::CrossAz => "cross",
        }
    }
}

/// Metrics of a node; some gauges are updated only when they are rendered.
pub struct Metrics {
    registry: Registry,
    /// Requests by route, rank and outcome.
    pub requests: IntCounterVec,
    /// Requests without a response of a target, by route, rank and reason.
    pub failures: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Attempts at targets, by rank and hop.
    pub attempts: IntCounterVec,
    /// Rejected inputs by kind.
    pub rejected_inputs: IntCounterVec,
    /// Bytes sent on links, by kind of message and hop.
    pub link_bytes: IntCounterVec,
    /// Bytes received on links, by kind of message.
    pub link_received_bytes: IntCounterVec,
    /// Connections that a limit closed, by port and limit.
    pub limited_clients: IntCounterVec,
    /// Calls to the store, by kind and result.
    pub store_calls: IntCounterVec,
    /// Watches that are waiting at the store.
    pub store_waiting: IntGauge,
    /// Time until a request gets a response, by route and rank.
    pub request_seconds: HistogramVec,
    /// Duration of attempts that got a response from a target, by rank and hop.
    pub attempt_seconds: HistogramVec,
    /// Delay of requests on links that other nodes opened, beyond the shortest transit.
    pub link_delay_seconds: HistogramVec,
    /// Units of quotas, by tenant and event.
    pub quota_units: IntCounterVec,
    /// Rollouts that ended with this node as the decider.
    pub rollouts: IntCounterVec,
    rollout_share: IntGaugeVec,
    rollout_samples: IntGaugeVec,
    /// Number of the version in force; 0 if there is none.
    pub version: IntGauge,
    /// Latest era that the store has named; 0 if it names none.
    pub store_era: IntGauge,
    gauges: SampledGauges,
}

fn histogram(r: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    register(r, HistogramVec::new(opts, labels))
}

fn rank_label(rank: usize) -> &'static str {
    RANK_LABELS[rank.min(RANK_LABELS.len() - 1)]
}

impl Default for Metrics {
    fn default() -> Self {
        let r = &Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| counters(r, name, help, labels);
        Self {
            requests: counter(
                "dq_sidecar_requests_total",
                "Requests of callers",
                &["route", "rank", "outcome"],
            ),
            failures: counter(
                "dq_sidecar_refusals_total",
                "Requests without a response of a target",
                &["route", "rank", "reason"],
            ),
            retries: counter("dq_sidecar_retries_total", "Retries", &["reason"]),
            attempts: counter(
                "dq_sidecar_attempts_total",
                "Attempts at targets",
                &["rank", "hop"],
            ),
            rejected_inputs: counter(
                "dq_sidecar_rejected_inputs_total",
                "Rejected inputs",
                &["kind"],
            ),
            link_bytes: counter(
                "dq_sidecar_link_bytes_total",
                "Bytes sent on links",
                &["kind", "hop"],
            ),
            link_received_bytes: counter(
                "dq_sidecar_link_received_bytes_total",
                "Bytes received on links",
                &["kind"],
            ),
            limited_clients: counter(
                "dq_sidecar_limited_clients_total",
                "Connections that a limit closed",
                &["port", "limit"],
            ),
            store_calls: counter("dq_store_calls_total", "Store calls", &["kind", "result"]),
            store_waiting: gauge(
                r,
                "dq_store_waiting_watches",
                "Watches waiting at the store",
            ),
            request_seconds: histogram(
                r,
                "dq_sidecar_request_seconds",
                "Time until a request gets a response",
                &["route", "rank"],
            ),
            attempt_seconds: histogram(
                r,
                "dq_sidecar_attempt_seconds",
                "Duration of attempts that got a response from a target",
                &["rank", "hop"],
            ),
            link_delay_seconds: histogram(
                r,
                "dq_sidecar_link_delay_seconds",
                "Delay of requests on links of other nodes",
                &["hop"],
            ),
            quota_units: counter(
                "dq_sidecar_quota_units_total",
                "Units of the quotas of tenants",
                &["tenant", "event"],
            ),
            rollouts: counter(
                "dq_sidecar_rollouts_total",
                "Rollouts that ended with this node as the decider",
                &["verdict", "reason"],
            ),
            rollout_share: gauges(
                r,
                "dq_sidecar_rollout_share_percent",
                "Requests that the decider sends to the new version",
                &["service"],
            ),
            rollout_samples: gauges(
                r,
                "dq_sidecar_rollout_samples",
                "Requests and responses that the decider knows of",
                &["service", "kind"],
            ),
            store_era: gauge(
                r,
                "dq_sidecar_store_era",
                "Era of the store, which it raises when it comes back from an older copy",
            ),
            version: gauge(
                r,
                "dq_sidecar_version_number",
                "Number of the version in force",
            ),
            gauges: SampledGauges::new(r),
            registry: r.clone(),
        }
    }
}

impl Metrics {
    /// Records a finished request; `failure` is `None` if it got a response.
    pub fn record_request(
        &self,
        route: &str,
        rank: usize,
        failure: Option<&Failure>,
        elapsed: Duration,
    ) {
        let outcome = failure.map_or(Outcome::Done, |f| f.outcome).as_str();
        let rank = rank_label(rank);
        self.requests
            .with_label_values(&[route, rank, outcome])
            .inc();
        match failure {
            Some(f) => self
                .failures
                .with_label_values(&[route, rank, f.reason.as_str()])
                .inc(),
            None => self
                .request_seconds
                .with_label_values(&[route, rank])
                .observe(elapsed.as_secs_f64()),
        }
    }

    /// Records what the decider of a rollout knows.
    pub fn record_rollout(&self, service: &str, decider: &Decider) {
        let share = 100.0 * decider.step().share();
        let shares = &self.rollout_share;
        shares.with_label_values(&[service]).set(share as i64);
        let (samples, bad) = decider.samples();
        let (old, new) = decider.delivered();
        for (kind, n) in [
            ("old", old),
            ("new", new),
            ("judged", samples),
            ("bad", bad),
        ] {
            let gauge = self.rollout_samples.with_label_values(&[service, kind]);
            gauge.set(n as i64);
        }
    }

    /// Counts an attempt at a target, by rank and hop.
    pub fn record_attempt(&self, rank: usize, hop: Hop) {
        let labels = [rank_label(rank), hop.as_str()];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Records the duration of an attempt that got a response.
    pub fn record_response(&self, rank: usize, hop: Hop, elapsed: Duration) {
        let labels = [rank_label(rank), hop.as_str()];
        let seconds = self.attempt_seconds.with_label_values(&labels);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a retry, by the reason of the failure before it.
    pub fn record_retry(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub fn render(&self, n: &Node) -> String {
        self.gauges.update(n);
        let mut out = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

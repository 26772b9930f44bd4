//! Prometheus metrics of a sidecar node.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Registry, TextEncoder,
};

use super::node::Node;
use super::sample::Sampled;
use crate::prelude::*;
use crate::process::observe::metrics::{counters, gauge, register};
use crate::request::reason::{Failure, Outcome, Reason};

/// Upper bounds of the histogram buckets, in seconds, around the aims of routes.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 5.0];
/// Label values of ranks; less urgent ones count as the last.
const RANK_LABELS: [&str; 4] = ["0", "1", "2", "3"];

/// Where a target is, seen from the node that sends a request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// Beside the node.
    Own,
    /// In the same availability zone.
    Zone,
    /// In another availability zone.
    Cross,
}

impl Hop {
    /// Label for metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Zone => "zone",
            Self::Cross => "cross",
        }
    }
}

/// Counters and histograms.
pub struct Metrics {
    registry: Registry,
    /// Requests by route, rank and outcome.
    pub requests: IntCounterVec,
    /// Requests without an answer of a target, by route, rank and reason.
    pub refusals: IntCounterVec,
    /// Repeated attempts by reason.
    pub retries: IntCounterVec,
    /// Attempts at targets, by rank and hop.
    pub attempts: IntCounterVec,
    /// Rejected inputs by kind.
    pub rejected: IntCounterVec,
    /// Bytes sent on links, by kind of message and hop.
    pub link_bytes: IntCounterVec,
    /// Calls to the store, by kind and result.
    pub store_calls: IntCounterVec,
    /// Watches that wait at the store now.
    pub store_waiting: IntGauge,
    /// Time to the answer, by route and rank.
    pub request_seconds: HistogramVec,
    /// Time of an attempt that a target answered, by rank and hop.
    pub attempt_seconds: HistogramVec,
    /// Number of the version in force.
    pub version: IntGauge,
    sampled: Sampled,
}

fn seconds(r: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    register(r, HistogramVec::new(opts, labels))
}

fn rank_label(rank: usize) -> &'static str {
    RANK_LABELS[rank.min(RANK_LABELS.len() - 1)]
}

impl Default for Metrics {
    fn default() -> Self {
        let r = &Registry::new();
        let many = |name: &str, help: &str, labels: &[&str]| counters(r, name, help, labels);
        Self {
            requests: many(
                "dq_sidecar_requests_total",
                "Requests of callers",
                &["route", "rank", "outcome"],
            ),
            refusals: many(
                "dq_sidecar_refusals_total",
                "Requests without an answer of a target",
                &["route", "rank", "reason"],
            ),
            retries: many("dq_sidecar_retries_total", "Repeated attempts", &["reason"]),
            attempts: many(
                "dq_sidecar_attempts_total",
                "Attempts at targets",
                &["rank", "hop"],
            ),
            rejected: many(
                "dq_sidecar_rejected_inputs_total",
                "Rejected inputs",
                &["kind"],
            ),
            link_bytes: many(
                "dq_sidecar_link_bytes_total",
                "Bytes sent on links",
                &["kind", "hop"],
            ),
            store_calls: many("dq_store_calls_total", "Store calls", &["kind", "result"]),
            store_waiting: gauge(
                r,
                "dq_store_waiting_watches",
                "Watches waiting at the store",
            ),
            request_seconds: seconds(
                r,
                "dq_sidecar_request_seconds",
                "Time to the answer",
                &["route", "rank"],
            ),
            attempt_seconds: seconds(
                r,
                "dq_sidecar_attempt_seconds",
                "Time of an attempt that a target answered",
                &["rank", "hop"],
            ),
            version: gauge(
                r,
                "dq_sidecar_version_number",
                "Number of the version in force",
            ),
            sampled: Sampled::new(r),
            registry: r.clone(),
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub fn ended(&self, route: &str, rank: usize, failure: Option<&Failure>, took: Duration) {
        let outcome = failure.map_or(Outcome::Done, |f| f.outcome).as_str();
        let rank = rank_label(rank);
        self.requests
            .with_label_values(&[route, rank, outcome])
            .inc();
        match failure {
            Some(f) => self
                .refusals
                .with_label_values(&[route, rank, f.reason.as_str()])
                .inc(),
            None => self
                .request_seconds
                .with_label_values(&[route, rank])
                .observe(took.as_secs_f64()),
        }
    }

    /// Counts an attempt at a target.
    pub fn attempted(&self, rank: usize, hop: Hop) {
        let labels = [rank_label(rank), hop.as_str()];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Counts an answer of a target.
    pub fn answered(&self, rank: usize, hop: Hop, took: Duration) {
        let labels = [rank_label(rank), hop.as_str()];
        let seconds = self.attempt_seconds.with_label_values(&labels);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts a repeated attempt.
    pub fn retried(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Metrics in the Prometheus text format, with the state of the node as it is now.
    pub fn render(&self, n: &Node) -> String {
        self.sampled.read(n);
        let mut out = Vec::new();
        // Writing into a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

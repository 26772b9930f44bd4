//! Prometheus metrics of a sidecar node.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::prelude::*;
use crate::process::metrics::register;
use crate::request::reason::{Failure, Outcome, Reason};

/// Upper bounds of the histogram buckets, in seconds, around the aims of routes.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 5.0];

/// Counters and histograms.
pub struct Metrics {
    registry: Registry,
    /// Requests by route, rank and outcome.
    pub requests: IntCounterVec,
    /// Requests without an answer of a target, by route and reason.
    pub refusals: IntCounterVec,
    /// Repeated attempts by reason.
    pub retries: IntCounterVec,
    /// Attempts at targets.
    pub attempts: IntCounter,
    /// Rejected inputs by kind.
    pub rejected: IntCounterVec,
    /// Time to the answer, by route and rank.
    pub request_seconds: HistogramVec,
    /// Number of the version in force.
    pub version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let r = &Registry::new();
        let many = |name: &str, help: &str, labels: &[&str]| {
            register(r, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let seconds = HistogramOpts::new("dq_sidecar_request_seconds", "Time to the answer");
        let seconds = seconds.buckets(BUCKETS.to_vec());
        Self {
            requests: many(
                "dq_sidecar_requests_total",
                "Requests of callers",
                &["route", "rank", "outcome"],
            ),
            refusals: many(
                "dq_sidecar_refusals_total",
                "Requests without an answer of a target",
                &["route", "reason"],
            ),
            retries: many("dq_sidecar_retries_total", "Repeated attempts", &["reason"]),
            attempts: register(
                r,
                IntCounter::new("dq_sidecar_attempts_total", "Attempts at targets"),
            ),
            rejected: many(
                "dq_sidecar_rejected_inputs_total",
                "Rejected inputs",
                &["kind"],
            ),
            request_seconds: register(r, HistogramVec::new(seconds, &["route", "rank"])),
            version: register(
                r,
                IntGauge::new(
                    "dq_sidecar_version_number",
                    "Number of the version in force",
                ),
            ),
            registry: r.clone(),
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub fn ended(&self, route: &str, rank: usize, failure: Option<&Failure>, took: Duration) {
        let outcome = failure.map_or(Outcome::Done, |f| f.outcome).as_str();
        let rank = ["0", "1", "2", "3"][rank.min(3)];
        self.requests
            .with_label_values(&[route, rank, outcome])
            .inc();
        match failure {
            Some(f) => self
                .refusals
                .with_label_values(&[route, f.reason.as_str()])
                .inc(),
            None => self
                .request_seconds
                .with_label_values(&[route, rank])
                .observe(took.as_secs_f64()),
        }
    }

    /// Counts a repeated attempt.
    pub fn retried(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        // Writing into a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

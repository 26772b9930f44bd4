//! What a load run sends, read from a TOML file or from options.

use serde::{Deserialize, Serialize};

use crate::findings::Findings;

/// Longest run, in milliseconds.
pub const MAX_DURATION_MS: u64 = 3_600_000;
/// Most requests of one run.
pub const MAX_REQUESTS: u64 = 10_000_000;
/// Most requests in flight; each takes a file descriptor here and at the node.
pub const MAX_IN_FLIGHT: usize = 20_000;

/// A load run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Time in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Most requests that arrive.
    pub requests: u64,
    /// Most requests in flight; arrivals above it are counted and not sent.
    pub in_flight: usize,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Kinds of request.
    pub request: Vec<Kind>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            duration_ms: 10_000,
            requests: 100_000,
            in_flight: 1_000,
            seed: 1,
            request: Vec::new(),
        }
    }
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// HTTP method.
    pub method: String,
    /// Path; `{n}` is replaced by the number of the request.
    pub path: String,
    /// Label under which the report counts it. The node takes the rank from its route.
    pub rank: String,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Source of the idempotency key.
    pub key: KeySource,
    /// Deadline in milliseconds, sent to the node and counted from the intended send time; 0 for none.
    pub deadline_ms: u64,
    /// Number of caller identities, sent as `dq-caller`; with 0 the node takes the caller's address.
    pub callers: u64,
    /// Body.
    pub body: String,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            method: "GET".into(),
            path: "/".into(),
            rank: "all".into(),
            rate: 10.0,
            key: KeySource::None,
            deadline_ms: 0,
            callers: 0,
            body: String::new(),
        }
    }
}

/// Source of the `Idempotency-Key` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeySource {
    /// No header.
    None,
    /// A new key made by the caller for each request.
    PerRequest,
    /// A key that the entry node issues for each request.
    Issued,
}

impl std::str::FromStr for KeySource {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "none" => Ok(Self::None),
            "per-request" => Ok(Self::PerRequest),
            "issued" => Ok(Self::Issued),
            _ => Err(format!("{s:?}: expected none, per-request or issued")),
        }
    }
}

/// Parses a plan.
///
/// # Errors
///
/// The findings, each with its place.
pub fn parse(text: &str) -> Result<Plan, Findings> {
    toml::from_str(text).map_err(|e| {
        let mut f = Findings::default();
        let line = e
            .span()
            .map_or(1, |s| 1 + text[..s.start].matches('\n').count());
        f.add(format!("line {line}"), e.message(), "correct the plan");
        f
    })
}

impl Plan {
    /// Checks that the run is bounded and that each kind can be sent.
    ///
    /// # Errors
    ///
    /// All findings.
    pub fn check(&self) -> Result<(), Findings> {
        let mut f = Findings::default();
        let mut bound = |place: &str, value: u64, max: u64| {
            if !(1..=max).contains(&value) {
                f.add(
                    place,
                    format!("{value} is out of range"),
                    format!("use 1 to {max}"),
                );
            }
        };
        bound("duration_ms", self.duration_ms, MAX_DURATION_MS);
        bound("requests", self.requests, MAX_REQUESTS);
        bound("in_flight", self.in_flight as u64, MAX_IN_FLIGHT as u64);
        if self.request.is_empty() {
            f.add("request", "no kind of request", "add [[request]] or --path");
        }
        for (i, k) in self.request.iter().enumerate() {
            if !k.rate.is_finite() || k.rate <= 0.0 {
                f.add(
                    format!("request[{i}].rate"),
                    "not above 0",
                    "name requests per second",
                );
            }
            if !k.path.starts_with('/') {
                f.add(
                    format!("request[{i}].path"),
                    "does not begin with /",
                    "name a path",
                );
            }
            if http::Method::from_bytes(k.method.as_bytes()).is_err() {
                f.add(
                    format!("request[{i}].method"),
                    "not an HTTP method",
                    "name a method",
                );
            }
        }
        f.into_result(())
    }
}

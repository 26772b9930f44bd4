//! Plan of a load run: its duration, limits and kinds of request.

use serde::{Deserialize, Serialize};

use crate::findings::Findings;

/// Maximum duration of a run, in milliseconds.
pub const MAX_DURATION_MS: u64 = 3_600_000;
/// Maximum number of requests of a run.
pub const MAX_REQUESTS: u64 = 10_000_000;
/// Maximum number of requests in flight; each needs a file descriptor in the generator and in the node.
pub const MAX_IN_FLIGHT: usize = 20_000;

/// Plan of a load run, read from a TOML file or made from command-line options.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Time in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of requests that arrive.
    pub requests: u64,
    /// Maximum number of requests in flight; arrivals above it are counted and not sent.
    pub in_flight: usize,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Kinds of request, mixed at random in proportion to their rates.
    #[serde(rename = "request")]
    pub kinds: Vec<RequestKind>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            duration_ms: 10_000,
            requests: 100_000,
            in_flight: 1_000,
            seed: 1,
            kinds: Vec::new(),
        }
    }
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestKind {
    /// HTTP method; `GET` by default.
    pub method: String,
    /// Path; `{n}` is replaced by the number of the request.
    pub path: String,
    /// Label under which the report counts the requests. The node itself takes the rank from the route.
    pub rank: String,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Source of the idempotency key.
    pub key: KeySource,
    /// Deadline in milliseconds, sent to the node and counted from the intended send time; 0 for none.
    pub deadline_ms: u64,
    /// Number of caller identities, sent in `dq-caller`; with 0 none is sent and the node takes the caller's address.
    pub callers: u64,
    /// Body of each request; empty by default.
    pub body: String,
}

impl Default for RequestKind {
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
    /// A new key that the generator makes for each request.
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

/// Parses a plan in TOML.
///
/// # Errors
///
/// A finding with the line of the first problem.
pub fn parse(text: &str) -> Result<Plan, Findings> {
    toml::from_str(text).map_err(|e| {
        let mut findings = Findings::default();
        let line = e
            .span()
            .map_or(1, |s| 1 + text[..s.start].matches('\n').count());
        findings.add(format!("line {line}"), e.message(), "correct the plan");
        findings
    })
}

impl Plan {
    /// Checks that the limits are within their ranges and that each kind of request can be sent.
    ///
    /// # Errors
    ///
    /// All findings.
    pub fn check(&self) -> Result<(), Findings> {
        let mut findings = Findings::default();
        let mut check_range = |location: &str, value: u64, max: u64| {
            if !(1..=max).contains(&value) {
                findings.add(
                    location,
                    format!("{value} is out of range"),
                    format!("use 1 to {max}"),
                );
            }
        };
        check_range("duration_ms", self.duration_ms, MAX_DURATION_MS);
        check_range("requests", self.requests, MAX_REQUESTS);
        check_range("in_flight", self.in_flight as u64, MAX_IN_FLIGHT as u64);
        if self.kinds.is_empty() {
            findings.add(
                "request",
                "no request kind given",
                "add [[request]] or --path",
            );
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            if !kind.rate.is_finite() || kind.rate <= 0.0 {
                findings.add(
                    format!("request[{i}].rate"),
                    "not above 0",
                    "give the requests per second",
                );
            }
            if !kind.path.starts_with('/') {
                findings.add(
                    format!("request[{i}].path"),
                    "does not begin with /",
                    "give an absolute path",
                );
            }
            if http::Method::from_bytes(kind.method.as_bytes()).is_err() {
                findings.add(
                    format!("request[{i}].method"),
                    "not an HTTP method",
                    "give an HTTP method",
                );
            }
        }
        findings.into_result(())
    }
}

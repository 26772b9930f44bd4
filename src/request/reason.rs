//! Outcomes of a request and the reasons for them.

use std::fmt;

use http::{HeaderName, Response, StatusCode};

use super::body::{full, Body};

/// Header that carries the [`Outcome`] of a request.
pub const OUTCOME: HeaderName = HeaderName::from_static("dq-outcome");
/// Header that carries the [`Reason`] of a refusal.
pub const REASON: HeaderName = HeaderName::from_static("dq-reason");

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It ran and this is its answer.
    Done,
    /// It was proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused, retried or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The node has no configuration version yet.
    NoVersion,
    /// No route matches.
    NoRoute,
    /// No usable target of the service is known.
    NoTarget,
    /// The backend server is not ready.
    NotReady,
    /// The queue of the rank is full.
    QueueFull,
    /// The deadline passed or cannot be met.
    Deadline,
    /// The connection to the target never opened.
    NotSent,
    /// The connection to the target was lost after sending.
    Lost,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// A non-idempotent route needs an idempotency key.
    KeyRequired,
    /// The idempotency key is not a UUIDv7.
    KeyInvalid,
    /// The idempotency key was used with other content.
    KeyReused,
    /// The key is older than its owner remembers.
    KeyExpired,
    /// The answer of the first request with this key was too large to keep.
    AnswerNotKept,
    /// The owner of the key is dead, unreachable or not known.
    OwnerUnreachable,
    /// The request has crashed backend servers.
    Quarantined,
    /// The node takes no new work because of a planned stop.
    Draining,
}

impl Reason {
    /// Value of the header and of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoVersion => "no-version",
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::NotSent => "not-sent",
            Self::Lost => "lost",
            Self::BadRequest => "bad-request",
            Self::KeyRequired => "key-required",
            Self::KeyInvalid => "key-invalid",
            Self::KeyReused => "key-reused",
            Self::KeyExpired => "key-expired",
            Self::AnswerNotKept => "answer-not-kept",
            Self::OwnerUnreachable => "owner-unreachable",
            Self::Quarantined => "quarantined",
            Self::Draining => "draining",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A request that has no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What is known about its execution.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

impl Failure {
    /// The request was proven not to have run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// The request may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }

    /// HTTP status for callers.
    pub fn status(&self) -> StatusCode {
        match (self.reason, self.outcome) {
            (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
            (Reason::BadRequest | Reason::KeyRequired | Reason::KeyInvalid, _) => {
                StatusCode::BAD_REQUEST
            }
            (Reason::KeyReused, _) => StatusCode::UNPROCESSABLE_ENTITY,
            (_, Outcome::Unknown) | (Reason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Answer for the caller.
    pub fn response(&self) -> Response<Body> {
        let mut res = Response::new(full(format!(
            "{}: {}\n",
            self.outcome.as_str(),
            self.reason
        )));
        *res.status_mut() = self.status();
        let h = res.headers_mut();
        h.insert(
            OUTCOME,
            http::HeaderValue::from_static(self.outcome.as_str()),
        );
        h.insert(REASON, http::HeaderValue::from_static(self.reason.as_str()));
        res
    }
}

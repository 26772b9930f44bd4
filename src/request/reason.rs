//! Outcomes of requests and reasons of failures.

use std::fmt;

use http::{HeaderName, Response, StatusCode};

use super::body::{full, Body};
use super::context;
use crate::prelude::*;

/// Header that carries the [`Outcome`] of a request.
pub const OUTCOME: HeaderName = HeaderName::from_static("dq-outcome");
/// Header that carries the [`Reason`] of a failure.
pub const REASON: HeaderName = HeaderName::from_static("dq-reason");

/// Header that carries the back-off, in milliseconds, during which a target accepts no more requests of a rank.
pub const BACK_OFF_MS: HeaderName = HeaderName::from_static("dq-back-off-ms");

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It ran, and this is its response.
    Done,
    /// It provably did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Parses the value of [`OUTCOME`]; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Done, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|o| o.as_str() == text)
    }

    /// Value of [`OUTCOME`] and of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was rejected, retried or lost.
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
    /// The rate limit of the target does not allow the request in time.
    RateLimited,
    /// The link of the target's VM is full of large messages.
    LinkFull,
    /// The deadline passed or cannot be met.
    Deadline,
    /// The deadline passed while the request was under way to the admitting node.
    Expired,
    /// The connection to the target could not be opened.
    NotSent,
    /// The connection to the target was lost after the request was sent.
    Lost,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// A non-idempotent route needs an idempotency key.
    KeyRequired,
    /// The idempotency key is not a UUIDv7.
    KeyInvalid,
    /// The idempotency key was used with other content.
    KeyReused,
    /// The key is older than the keys that its owner still stores.
    KeyExpired,
    /// The response to the first request with this key was too large to store.
    ResponseNotStored,
    /// The owner of the key is dead, unreachable or unknown.
    OwnerUnreachable,
    /// The request is quarantined because it crashed backend servers.
    Quarantined,
    /// Another suspect request is running at the target.
    SuspectBusy,
    /// The retry budget is spent; calls made by retried requests count against it too.
    BudgetSpent,
    /// The node accepts no new requests because of a planned stop.
    Draining,
    /// The request body is larger than the limit.
    TooLarge,
    /// The memory for the requests of all callers is spent.
    MemoryFull,
    /// The caller sent the request too slowly.
    SlowCaller,
    /// The caller already has as many requests in flight as a `caller-limit` of the route allows.
    CallerLimit,
    /// The caller already fills its share of the queue.
    CallerShare,
    /// All usable targets are in back-off for this rank.
    HeldOff,
    /// The backend server declared that it did not start the request.
    Declined,
    /// The response is malformed or ended early.
    BadResponse,
    /// A relayed request has no valid HMAC of the shared key.
    Unproven,
    /// The API key is missing or belongs to no tenant.
    UnknownKey,
    /// The API key is unknown, and the configuration version could not be confirmed to be current.
    Unconfirmed,
    /// The tenant has used up its quota.
    Quota,
}

impl Reason {
    /// Every reason, for the parsing of headers.
    pub const ALL: [Self; 34] = [
        Self::NoVersion,
        Self::NoRoute,
        Self::NoTarget,
        Self::NotReady,
        Self::QueueFull,
        Self::RateLimited,
        Self::LinkFull,
        Self::Deadline,
        Self::Expired,
        Self::NotSent,
        Self::Lost,
        Self::BadRequest,
        Self::TooLarge,
        Self::MemoryFull,
        Self::SlowCaller,
        Self::CallerLimit,
        Self::CallerShare,
        Self::HeldOff,
        Self::Declined,
        Self::BadResponse,
        Self::Unproven,
        Self::KeyRequired,
        Self::KeyInvalid,
        Self::KeyReused,
        Self::KeyExpired,
        Self::ResponseNotStored,
        Self::OwnerUnreachable,
        Self::Quarantined,
        Self::SuspectBusy,
        Self::BudgetSpent,
        Self::Draining,
        Self::UnknownKey,
        Self::Unconfirmed,
        Self::Quota,
    ];

    /// Parses the value of [`REASON`]; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|r| r.as_str() == text)
    }

    /// Whether the reason shows that the targets have more requests than they can run in time.
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            Self::QueueFull
                | Self::RateLimited
                | Self::LinkFull
                | Self::CallerShare
                | Self::HeldOff
                | Self::Deadline
                | Self::Declined
        )
    }

    /// Value of [`REASON`] and of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoVersion => "no-version",
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::QueueFull => "queue-full",
            Self::RateLimited => "rate-limited",
            Self::LinkFull => "link-full",
            Self::Deadline => "deadline",
            Self::Expired => "expired",
            Self::NotSent => "not-sent",
            Self::Lost => "lost",
            Self::BadRequest => "bad-request",
            Self::KeyRequired => "key-required",
            Self::KeyInvalid => "key-invalid",
            Self::KeyReused => "key-reused",
            Self::KeyExpired => "key-expired",
            Self::ResponseNotStored => "answer-not-kept",
            Self::OwnerUnreachable => "owner-unreachable",
            Self::Quarantined => "quarantined",
            Self::SuspectBusy => "suspect-busy",
            Self::BudgetSpent => "budget-spent",
            Self::Draining => "draining",
            Self::TooLarge => "too-large",
            Self::MemoryFull => "memory-full",
            Self::SlowCaller => "slow-caller",
            Self::CallerLimit => "caller-limit",
            Self::CallerShare => "caller-share",
            Self::HeldOff => "held-off",
            Self::Declined => "declined",
            Self::BadResponse => "bad-answer",
            Self::Unproven => "unproven",
            Self::UnknownKey => "unknown-key",
            Self::Unconfirmed => "unconfirmed",
            Self::Quota => "quota",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Failure of a request that got no response from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Why the request failed.
    pub reason: Reason,
    /// Time during which the target accepts no more requests of this rank; zero if it did not ask for a back-off.
    pub back_off: Duration,
}

impl Failure {
    /// Failure of a request that provably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            back_off: Duration::ZERO,
        }
    }

    /// Failure of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            back_off: Duration::ZERO,
        }
    }

    /// HTTP status of the response that reports the failure.
    pub fn status(&self) -> StatusCode {
        match (self.reason, self.outcome) {
            (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
            (Reason::BadRequest | Reason::KeyRequired | Reason::KeyInvalid, _) => {
                StatusCode::BAD_REQUEST
            }
            (Reason::KeyReused, _) => StatusCode::UNPROCESSABLE_ENTITY,
            (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Reason::SlowCaller, _) => StatusCode::REQUEST_TIMEOUT,
            (Reason::Unproven, _) => StatusCode::FORBIDDEN,
            (Reason::UnknownKey, _) => StatusCode::UNAUTHORIZED,
            (Reason::Quota, _) => StatusCode::TOO_MANY_REQUESTS,
            (Reason::BadResponse, _) => StatusCode::BAD_GATEWAY,
            (_, Outcome::Unknown) | (Reason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Reads a failure from the response headers of another node; `None` for the response of a backend server.
    ///
    /// A response without a valid outcome does not come from a node, so the request may have run.
    pub fn from_headers(h: &http::HeaderMap) -> Option<Self> {
        let outcome = context::parse_header::<String>(h, &OUTCOME).and_then(|o| Outcome::parse(&o));
        let reason = context::parse_header::<String>(h, &REASON).and_then(|r| Reason::parse(&r));
        let back_off = Duration::from_millis(context::parse_header(h, &BACK_OFF_MS).unwrap_or(0));
        match (outcome, reason) {
            (Some(Outcome::Done), None) => None,
            (Some(outcome), Some(reason)) if outcome != Outcome::Done => Some(Self {
                outcome,
                reason,
                back_off,
            }),
            _ => Some(Self::unknown(Reason::BadResponse)),
        }
    }

    /// Response that reports the failure to the caller, or to the node that relayed the request.
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
        if !self.back_off.is_zero() {
            let ms = self.back_off.as_millis().min(u128::from(u32::MAX)) as u32;
            h.insert(BACK_OFF_MS, ms.into());
        }
        res
    }
}

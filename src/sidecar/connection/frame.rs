//! Messages on a link between two nodes: a CBOR head, and for some messages a payload: header lines and a body, or the
//! configuration.

use std::io::Cursor;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::process::fleet::members::NodeRecord;
use crate::sidecar::process::fleet::target_history::KnownTarget;
use crate::sidecar::process::quota::{UnitAsk, UnitGrant};
use crate::sidecar::process::rollout::order::News;
use crate::sidecar::process::rollout::samples::Report;
use crate::sidecar::process::routing::crash_suspects::{
    CrashedRequest, Fingerprint, SuspectReport,
};
use crate::sidecar::process::target::queue::Load;
use crate::sidecar::process::target::state::TargetState;
use crate::store::Era;

/// Number of a request within its link.
pub type Seq = u64;

/// A request for the target of the receiving node. Serialized names are short, because every request that crosses
/// availability zones carries them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestHead {
    /// Number of the request, unique on the link.
    #[serde(rename = "n")]
    pub seq: Seq,
    /// Request id that the caller assigned to its attempt.
    #[serde(rename = "i")]
    pub id: SmolStr,
    /// Name of the route, for estimates and logs.
    #[serde(rename = "o")]
    pub route: SmolStr,
    /// Service that must run it.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Service on the VM where the request originated.
    #[serde(rename = "c")]
    pub caller: ServiceId,
    /// Tenant of the caller; empty if the request has none.
    #[serde(rename = "t", default, skip_serializing_if = "SmolStr::is_empty")]
    pub tenant: TenantId,
    /// Rank with which the request is queued; the receiver counts one that is too great as the last.
    #[serde(rename = "k")]
    pub rank: usize,
    /// Whether running it twice has the effect of running it once.
    #[serde(rename = "e")]
    pub idempotent: bool,
    /// Whether an earlier attempt reached a target.
    #[serde(rename = "r")]
    pub retry: bool,
    /// Latency objective, in ms.
    #[serde(rename = "a")]
    pub objective_ms: u64,
    /// Time left to meet the latency objective, in ms.
    #[serde(rename = "d")]
    pub until_due_ms: u64,
    /// Time left until the deadline, in ms.
    #[serde(rename = "l")]
    pub remaining_ms: u64,
    /// Time that the route takes at an average target, in ms; 0 if the sender does not know it.
    #[serde(rename = "u")]
    pub baseline_ms: u64,
    /// Sender's [`Clock::boot_time`](crate::process::clock::Clock::boot_time) when the request was queued, in ms.
    #[serde(rename = "z", default)]
    pub sent_ms: u64,
    /// Longest expected wait for a slot with which the request is admitted, in ms; `None` if only the latency objective
    /// limits the wait.
    #[serde(rename = "w")]
    pub max_wait_ms: Option<u64>,
    /// Rate limit of the target that the sender knows of, in requests per second.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f32>,
    /// HTTP method; the receiver rejects the request if it is invalid.
    #[serde(rename = "m")]
    pub method: SmolStr,
    /// Path and query.
    #[serde(rename = "p")]
    pub path: SmolStr,
    /// Length of the header lines in the payload, in bytes.
    #[serde(rename = "h")]
    pub header_len: usize,
}

/// A response of the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// Number of the request that the response is for.
    #[serde(rename = "n")]
    pub seq: Seq,
    /// HTTP status of the response.
    #[serde(rename = "s")]
    pub status: u16,
    /// Time for which the target ran the request, in ms.
    #[serde(rename = "t")]
    pub service_ms: u64,
    /// Length of the header lines in the payload, in bytes.
    #[serde(rename = "h")]
    pub header_len: usize,
    /// Bytes of the body that were sent before in [`Head::ResponsePart`] messages.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub sent_before: usize,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

/// A request without a response of the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureHead {
    /// Number of the request that failed.
    #[serde(rename = "n")]
    pub seq: Seq,
    /// Whether the request may have run.
    #[serde(rename = "u")]
    pub unknown: bool,
    /// Reason, as in [`Reason::as_str`].
    #[serde(rename = "r")]
    pub reason: SmolStr,
    /// Time after which a slot may be free, in ms.
    #[serde(rename = "b")]
    pub back_off_ms: u64,
    /// Whether the request reached the target.
    #[serde(rename = "t")]
    pub delivered: bool,
}

impl FailureHead {
    /// Failure that the head describes; an unknown reason counts as [`Reason::Lost`].
    pub fn failure(&self) -> Failure {
        Failure {
            outcome: match self.unknown {
                true => Outcome::Unknown,
                false => Outcome::NotRun,
            },
            reason: Reason::parse(&self.reason).unwrap_or(Reason::Lost),
            back_off: Duration::from_millis(self.back_off_ms),
        }
    }
}

/// Kind and fields of a message; encoded as CBOR before the payload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Head {
    /// First message in each direction: the record and the version of the sender, and whether it reaches the store.
    #[serde(rename = "h")]
    Hello(Box<NodeRecord>, VersionNumber, bool),
    /// The target of the sender changed: the new sequence of its record and the state of the target.
    #[serde(rename = "t")]
    TargetChanged(u64, Option<TargetState>),
    /// The version of the sender, and whether it reaches the store.
    #[serde(rename = "v")]
    Status(VersionNumber, bool),
    /// A request for the target of the receiver; the payload is its header lines and its body.
    #[serde(rename = "q")]
    Request(Box<RequestHead>),
    /// A request with a large body, and the length of the body; the payload is its header lines. The body follows in
    /// [`Head::BodyPart`] messages, as the receiver grants it. A request without all of its body does not run.
    #[serde(rename = "u")]
    Offer(Box<RequestHead>, usize),
    /// The receiver may send this number of further bytes of the body of a request that it offered.
    #[serde(rename = "m")]
    Grant(Seq, usize),
    /// The next part of the body of an offered request.
    #[serde(rename = "i")]
    BodyPart(Seq),
    /// Cancels a request, because its caller has gone.
    #[serde(rename = "x")]
    Cancel(Seq),
    /// A part of the body of a large response. The rest follows with the response itself.
    #[serde(rename = "b")]
    ResponsePart(Seq),
    /// A response, with the load of the target.
    #[serde(rename = "a")]
    Response(ResponseHead, Load),
    /// No response, with the load of the target.
    #[serde(rename = "f")]
    Failed(FailureHead, Load),
    /// The targets of the receiver that the sender remembers, for a receiver that may have restarted.
    #[serde(rename = "d")]
    KnownTargets(Vec<KnownTarget>),
    /// The target of the sender announced its stop, and the receiver is to remember it.
    #[serde(rename = "e")]
    Departure(KnownTarget),
    /// The sender remembers the stop.
    #[serde(rename = "j")]
    DepartureKept(KnownTarget),
    /// The target of the sender ended while it was running these requests.
    #[serde(rename = "c")]
    Crash(Vec<CrashedRequest>),
    /// A request that other nodes may suspect of crashing targets was served.
    #[serde(rename = "n")]
    NoSuspect(Fingerprint),
    /// What the sender knows of requests that crash targets, when a link opens: its receiver may have started again or have
    /// been cut off. The node that accepted the link sends it also if that is nothing.
    #[serde(rename = "s")]
    Suspects(Vec<SuspectReport>),
    /// The sender has heard of this era of the store, which came back from an older copy.
    #[serde(rename = "er")]
    StoreEra(Era),
    /// Requests a [`Head::Pong`]; carries the version of the sender.
    #[serde(rename = "p")]
    Ping(VersionNumber),
    /// Response to a ping; carries the version of the sender.
    #[serde(rename = "o")]
    Pong(VersionNumber),
    /// Asks how fresh the version of the receiver is.
    #[serde(rename = "k")]
    GetFreshness,
    /// Answer: the version of the sender, and the time since it was last confirmed to be current, in ms, if it was.
    #[serde(rename = "l")]
    Freshness(VersionNumber, Option<u64>),
    /// Requests the version in force; carries the version that the sender holds, 0 for none.
    #[serde(rename = "g")]
    GetConfig(VersionNumber),
    /// News of a rollout, from its decider or passed on.
    #[serde(rename = "ro")]
    Rollout(Box<News>),
    /// Samples of the target of the sender during a rollout, for its decider.
    #[serde(rename = "rr")]
    RolloutReport(Box<Report>),
    /// The version in force is the payload, as a patch of the version given here, or whole for 0.
    #[serde(rename = "w")]
    Config(VersionNumber),
    /// Reports what the sender has borrowed of the quotas of tenants, and asks for more; carries the incarnation of the
    /// sender.
    #[serde(rename = "y")]
    QuotaAsk(u64, Vec<UnitAsk>),
    /// Lends parts of the quotas of tenants; carries the incarnation of the sender.
    #[serde(rename = "z")]
    QuotaGrant(u64, Vec<UnitGrant>),
}

impl Head {
    /// Whether the message is part of a large body, whose use of the link is recorded when it may be sent.
    pub fn is_paced(&self) -> bool {
        match self {
            Self::ResponsePart(_) | Self::BodyPart(_) => true,
            Self::Response(r, _) => r.sent_before > 0,
            _ => false,
        }
    }

    /// Kind of the message, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Request(_) | Self::Offer(..) | Self::Grant(..) | Self::Cancel(_) => "request",
            Self::BodyPart(_) => "body",
            Self::Response(..) | Self::ResponsePart(_) | Self::Failed(..) => "answer",
            Self::GetConfig(_) | Self::Config(_) => "config",
            Self::Hello(..)
            | Self::TargetChanged(..)
            | Self::Status(..)
            | Self::KnownTargets(_)
            | Self::Departure(_)
            | Self::DepartureKept(_)
            | Self::Crash(_)
            | Self::Rollout(_)
            | Self::RolloutReport(_)
            | Self::NoSuspect(_)
            | Self::StoreEra(_)
            | Self::Suspects(_) => "state",
            Self::QuotaAsk(..) | Self::QuotaGrant(..) => "quota",
            Self::Ping(_) | Self::Pong(_) | Self::GetFreshness | Self::Freshness(..) => "ping",
        }
    }
}

/// A message on a link, in either direction.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Head, which determines the kind of the message.
    pub head: Head,
    /// Data after the head; empty for most kinds.
    pub payload: Bytes,
}

impl Message {
    /// Creates a message that consists of its head only.
    pub fn without_payload(head: Head) -> Self {
        Self {
            head,
            payload: Bytes::new(),
        }
    }

    /// Encodes the head and appends the payload.
    pub fn encode(&self) -> Bytes {
        let mut out = Vec::with_capacity(192 + self.payload.len());
        // Writing to a vector cannot fail.
        let _ = ciborium::into_writer(&self.head, &mut out);
        out.extend_from_slice(&self.payload);
        out.into()
    }

    /// Decodes the head of a message; everything after it is the payload.
    ///
    /// # Errors
    ///
    /// Description of what is wrong with the head.
    pub fn decode(data: Bytes) -> Result<Self, String> {
        let mut cursor = Cursor::new(&data[..]);
        let head: Head = ciborium::from_reader(&mut cursor).map_err(|e| e.to_string())?;
        let end = cursor.position() as usize;
        Ok(Self {
            head,
            payload: data.slice(end..),
        })
    }

    /// Splits the payload into header lines and body.
    ///
    /// # Errors
    ///
    /// `header_len` exceeds the payload, or a header line is malformed.
    pub fn split_payload(&self, header_len: usize) -> Result<(HeaderMap, Bytes), String> {
        if header_len > self.payload.len() {
            return Err("header lines are longer than the message".into());
        }
        let headers = parse_headers(&self.payload[..header_len])?;
        Ok((headers, self.payload.slice(header_len..)))
    }
}

/// Joins headers, as lines `name:value`, and a body to a payload. Returns the length of the header lines and the
/// payload.
pub fn join_payload(headers: &HeaderMap, body: &Bytes) -> (usize, Bytes) {
    let mut out = BytesMut::with_capacity(256 + body.len());
    for (name, value) in headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b":");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\n");
    }
    let len = out.len();
    out.extend_from_slice(body);
    (len, out.freeze())
}

fn parse_headers(data: &[u8]) -> Result<HeaderMap, String> {
    let mut headers = HeaderMap::new();
    for line in data.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
        let colon = line.iter().position(|b| *b == b':');
        let colon = colon.ok_or("a header line has no colon")?;
        let name = HeaderName::from_bytes(&line[..colon]).map_err(|e| e.to_string())?;
        let value = HeaderValue::from_bytes(&line[colon + 1..]).map_err(|e| e.to_string())?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Parses the method of a [`RequestHead`].
///
/// # Errors
///
/// The name is not a valid method.
pub fn parse_method(name: &str) -> Result<Method, String> {
    name.parse().map_err(|_| "invalid method".into())
}

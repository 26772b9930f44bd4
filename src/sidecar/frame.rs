//! Messages on a link between two nodes: a CBOR head, followed by header lines and a body where there are any.

use std::io::Cursor;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::{Deserialize, Serialize};

use super::members::NodeRecord;
use super::queue::Load;
use super::target::TargetState;
use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};

/// Names a request within one link.
pub type Seq = u64;

/// A request for the target beside the receiving node. Field names are short: heads cross zones with each request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// Number within the link.
    #[serde(rename = "n")]
    pub seq: Seq,
    /// Id of the caller's attempt.
    #[serde(rename = "i")]
    pub id: SmolStr,
    /// Route, for estimates and logs.
    #[serde(rename = "o")]
    pub route: SmolStr,
    /// Service that must run it.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Service on the VM where it began.
    #[serde(rename = "c")]
    pub caller: ServiceId,
    /// Rank.
    #[serde(rename = "k")]
    pub rank: usize,
    /// Whether it may run again.
    #[serde(rename = "e")]
    pub idempotent: bool,
    /// Whether it reached a target before.
    #[serde(rename = "r")]
    pub repeat: bool,
    /// Time within which its answer has its full worth, in ms.
    #[serde(rename = "a")]
    pub aim_ms: u64,
    /// What is left of that time, in ms.
    #[serde(rename = "d")]
    pub due_ms: u64,
    /// Remaining time, in ms.
    #[serde(rename = "l")]
    pub left_ms: u64,
    /// Time that the route takes at an average target, in ms; 0 if the sender does not know it.
    #[serde(rename = "u")]
    pub usual_ms: u64,
    /// Longest wait for a slot with which the request is taken, in ms; without it the aim decides.
    #[serde(rename = "w")]
    pub patience_ms: Option<u64>,
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: SmolStr,
    /// Path and query.
    #[serde(rename = "p")]
    pub path: SmolStr,
    /// Length of the header lines that follow, in bytes.
    #[serde(rename = "h")]
    pub header_len: usize,
}

/// An answer of the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Number of the request.
    #[serde(rename = "n")]
    pub seq: Seq,
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Time for which the target ran it, in ms.
    #[serde(rename = "t")]
    pub ran_ms: u64,
    /// Length of the header lines that follow, in bytes.
    #[serde(rename = "h")]
    pub header_len: usize,
}

/// A request without an answer of the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedHead {
    /// Number of the request.
    #[serde(rename = "n")]
    pub seq: Seq,
    /// Whether it may have run.
    #[serde(rename = "u")]
    pub unknown: bool,
    /// Why, as in [`Reason::as_str`].
    #[serde(rename = "r")]
    pub reason: SmolStr,
    /// Time after which there may be room, in ms.
    #[serde(rename = "b")]
    pub back_off_ms: u64,
    /// Whether the request reached the target.
    #[serde(rename = "t")]
    pub at_target: bool,
}

impl FailedHead {
    /// The failure that this head describes.
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

/// Head of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Head {
    /// First message in each direction: the sender, its version and whether it watches the store.
    #[serde(rename = "h")]
    Hello(Box<NodeRecord>, VersionNumber, bool),
    /// The sender's target changed; the number is the new sequence of its record.
    #[serde(rename = "t")]
    Target(u64, Option<TargetState>),
    /// The sender's version, and whether it watches the store.
    #[serde(rename = "v")]
    News(VersionNumber, bool),
    /// A request.
    #[serde(rename = "q")]
    Request(Box<RequestHead>),
    /// The caller of a request has gone.
    #[serde(rename = "x")]
    Cancel(Seq),
    /// An answer, with the target's load.
    #[serde(rename = "a")]
    Answer(AnswerHead, Load),
    /// No answer, with the target's load.
    #[serde(rename = "f")]
    Failed(FailedHead, Load),
    /// Asks for a [`Head::Pong`]; names the sender's version.
    #[serde(rename = "p")]
    Ping(VersionNumber),
    /// Answer to a ping; names the sender's version.
    #[serde(rename = "o")]
    Pong(VersionNumber),
    /// Asks for the version in force; names the one that the sender holds, 0 for none.
    #[serde(rename = "g")]
    AskConfig(VersionNumber),
    /// The version in force follows, as a patch of the named version or whole for 0.
    #[serde(rename = "w")]
    Config(VersionNumber),
}

impl Head {
    /// Kind of the message, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Request(_) | Self::Cancel(_) => "request",
            Self::Answer(..) | Self::Failed(..) => "answer",
            Self::AskConfig(_) | Self::Config(_) => "config",
            Self::Hello(..) | Self::Target(..) | Self::News(..) => "state",
            Self::Ping(_) | Self::Pong(_) => "ping",
        }
    }
}

/// A message.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Head.
    pub head: Head,
    /// What follows the head.
    pub rest: Bytes,
}

impl Message {
    /// A message without anything after its head.
    pub fn bare(head: Head) -> Self {
        Self {
            head,
            rest: Bytes::new(),
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let mut out = Vec::with_capacity(192 + self.rest.len());
        // Writing into a vector cannot fail.
        let _ = ciborium::into_writer(&self.head, &mut out);
        out.extend_from_slice(&self.rest);
        out.into()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// A text that says what is wrong with the head.
    pub fn decode(data: Bytes) -> Result<Self, String> {
        let mut cursor = Cursor::new(&data[..]);
        let head: Head = ciborium::from_reader(&mut cursor).map_err(|e| e.to_string())?;
        let at = cursor.position() as usize;
        Ok(Self {
            head,
            rest: data.slice(at..),
        })
    }

    /// Splits what follows the head into header lines and body.
    ///
    /// # Errors
    ///
    /// The lines are longer than the message or no headers.
    pub fn split(&self, header_len: usize) -> Result<(HeaderMap, Bytes), String> {
        if header_len > self.rest.len() {
            return Err("header lines are longer than the message".into());
        }
        let headers = read_headers(&self.rest[..header_len])?;
        Ok((headers, self.rest.slice(header_len..)))
    }
}

/// Writes headers as lines `name:value`, then the body. Returns the length of the lines too.
pub fn join(headers: &HeaderMap, body: &Bytes) -> (usize, Bytes) {
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

fn read_headers(data: &[u8]) -> Result<HeaderMap, String> {
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

/// Reads an HTTP method.
///
/// # Errors
///
/// It is none.
pub fn method(name: &str) -> Result<Method, String> {
    name.parse().map_err(|_| "invalid method".into())
}

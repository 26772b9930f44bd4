//! The border to a platform: its names and formats, translated into the types of this folder.

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};

use super::routes::RouteTable;
use super::target::{Heartbeat, TargetId};
use crate::findings::Findings;
use crate::prelude::*;
use crate::request::body::Body;
use crate::request::reason::Failure;

/// What a caller says about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerFacts {
    /// Id of this attempt of the caller.
    pub id: Option<SmolStr>,
    /// Time that the caller will wait.
    pub left: Option<Duration>,
}

/// What a target says with its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Id of the request that it answers.
    pub id: Option<SmolStr>,
    /// Whether it bears the target's signature.
    pub signed: bool,
    /// Whether it proves that the target did not run the request.
    pub not_run: bool,
    /// Whether another target has the address.
    pub misdirected: bool,
    /// Whether the body is encoded, which targets never do.
    pub encoded: bool,
}

/// What the node adds to a request for its target.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'a> {
    /// Id of the caller's attempt.
    pub id: &'a str,
    /// Remaining time.
    pub left: Duration,
    /// Target that must run it.
    pub target: &'a TargetId,
    /// Service on the VM where the request began.
    pub caller: &'a ServiceId,
}

/// A call of the target beside this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The target ends; the number is the start of its lifetime, 0 when it is not named.
    Ended(TargetId, u64),
}

/// Names and formats of a platform.
pub trait Adapter: Send + Sync {
    /// Reads what a caller says about its request.
    fn caller(&self, h: &HeaderMap) -> CallerFacts;
    /// Removes headers that only nodes and targets may set, and those that are written anew.
    fn strip(&self, h: &mut HeaderMap);
    /// Writes the headers for the target.
    fn dispatch(&self, h: &mut HeaderMap, d: &Dispatch<'_>);
    /// Reads what a target says with its answer.
    fn answer(&self, status: StatusCode, h: &HeaderMap) -> AnswerFacts;
    /// Answer to a caller without one of a target. `id` is the caller's; `again` is when it may come back.
    fn refusal(&self, f: &Failure, id: Option<&str>, again: Option<Duration>) -> Response<Body>;
    /// Store key of the configuration.
    fn config_key(&self) -> &'static str;
    /// Reads a configuration document.
    ///
    /// # Errors
    ///
    /// Findings when the document is not a whole, coherent version.
    fn config(&self, document: Bytes) -> Result<RouteTable, Findings>;
    /// Reads a call of the target.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn target_call(&self, method: &Method, path: &str, body: &[u8]) -> Result<TargetCall, String>;
    /// Whether a request asks for the readiness of the node.
    fn is_ready_check(&self, method: &Method, path: &str) -> bool;
    /// Target that answered a health probe, if it is well.
    fn probed(&self, status: StatusCode, h: &HeaderMap) -> Option<TargetId>;
}

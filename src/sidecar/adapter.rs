//! Interface to the platform: translates its names and formats into the types of this folder.

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};

use crate::findings::Findings;
use crate::prelude::*;
use crate::request::body::Body;
use crate::request::reason::Failure;
use crate::sidecar::process::rollout::order::{Order, RolloutStatus};
use crate::sidecar::process::target::heartbeat::Heartbeat;
use crate::sidecar::process::target::rate_limit::RequestRate;
use crate::sidecar::process::target::state::TargetId;
use crate::sidecar::version::routes::{ApiKey, RouteTable};

/// What the headers of a caller's request say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerInfo {
    /// Request id that the caller assigned to this attempt; without one the request is rejected.
    pub id: Option<SmolStr>,
    /// Time for which the caller waits for a response; `None` if the request does not say.
    pub timeout: Option<Duration>,
    /// API key; `None` if there is none, or more than one.
    pub key: Option<ApiKey>,
}

/// What the status and the headers of a target's response say.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request to which it responds.
    pub id: Option<SmolStr>,
    /// Whether it has the signature of the target.
    pub signed: bool,
    /// Whether it proves that the target did not run the request.
    pub not_run: bool,
    /// Whether it is from another target, which has taken over the address.
    pub misdirected: bool,
    /// Whether the body has a content encoding, which targets never use.
    pub encoded: bool,
    /// Rate limit of the target.
    pub limit: NamedLimit,
    /// Whether the target says that it is about to stop.
    pub leaving: bool,
}

/// What a response says about the rate limit of its target, for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// Nothing.
    Absent,
    /// A value that is not a rate.
    Invalid,
    /// The target takes this many requests a second.
    Rate(RequestRate),
}

/// Values of the headers that the node adds to a request for its target.
#[derive(Debug, Clone, Copy)]
pub struct TargetHeaders<'a> {
    /// Request id that the caller assigned to its attempt.
    pub id: &'a str,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Target that must run the request; any target if it is empty.
    pub target: &'a TargetId,
    /// Service on the VM where the request originated.
    pub caller: &'a ServiceId,
    /// Tenant of the caller; empty if the request has none.
    pub tenant: &'a TenantId,
}

/// A call from the target to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// The target reports that it runs, with its state and its slots.
    Heartbeat(Heartbeat),
    /// The target is about to stop; with its incarnation, 0 if the call does not contain it.
    Stop(TargetId, u64),
}

/// Translates the names and formats of a platform.
pub trait Adapter: Send + Sync {
    /// Reads the headers of a caller's request.
    fn caller_info(&self, h: &HeaderMap) -> CallerInfo;
    /// Removes the headers that the node itself sets for the target, so that the target gets none from the caller.
    fn strip_reserved(&self, h: &mut HeaderMap);
    /// Removes the API key, which targets must not get.
    fn strip_key(&self, h: &mut HeaderMap);
    /// Sets the headers that [`Adapter::strip_reserved`] removes to the node's own values.
    fn set_target_headers(&self, h: &mut HeaderMap, values: &TargetHeaders<'_>);
    /// Reads the status and the headers of a target's response.
    fn response_info(&self, status: StatusCode, h: &HeaderMap) -> ResponseInfo;
    /// Response to a caller whose request failed. `id` is the request id of the caller; `retry_after` is the time after
    /// which it may retry.
    fn failure_response(
        &self,
        f: &Failure,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> Response<Body>;
    /// Store key of the configuration.
    fn config_key(&self) -> &'static str;
    /// Prefix of all store keys that the operator writes; that of the configuration begins with it.
    fn operator_prefix(&self) -> &'static str;
    /// Prefix of the store keys of orders of rollouts; it begins with [`Adapter::operator_prefix`].
    fn order_prefix(&self) -> &'static str;
    /// Parses the order of a rollout.
    ///
    /// # Errors
    ///
    /// Description of what is wrong with it.
    fn parse_order(&self, key: &str, value: &[u8]) -> Result<Order, String>;
    /// Store key of the status of the rollouts of a service.
    fn rollout_status_key(&self, service: &str) -> String;
    /// Status document of a rollout.
    fn rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;
    /// Parses the status document of a rollout; `None` if it is malformed.
    fn parse_rollout_status(&self, value: &[u8]) -> Option<RolloutStatus>;
    /// Parses a configuration document, from the store or from another node, and checks it.
    ///
    /// # Errors
    ///
    /// The document is malformed or inconsistent; all problems found.
    fn parse_config(&self, document: Bytes) -> Result<RouteTable, Findings>;
    /// Parses a call of the target: a heartbeat or an announced stop.
    ///
    /// # Errors
    ///
    /// Description of what is wrong with it.
    fn parse_target_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<TargetCall, String>;
    /// Whether a request is a readiness check of the node.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;
    /// Target that responded to a health probe; `None` if the response does not report that it is healthy.
    fn probed_target(&self, status: StatusCode, h: &HeaderMap) -> Option<TargetId>;
}

//! Query about the routing of a request, and the answer of a node. Durations are in milliseconds.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::routing::observe::Exclusion;

/// A request to be explained. It has no debug output, because it may contain an API key.
#[derive(Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// Host of the request.
    pub host: String,
    /// Path of the request; it may have a query.
    pub path: String,
    /// HTTP method; `GET` if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// API key of the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Name of the tenant, in place of its key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Time for which the caller waits; the timeout of the route if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Whether the request has a large body with an announced length.
    #[serde(default)]
    pub upload: bool,
}

/// Where a request would go now, and why.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the node that answers.
    pub node: String,
    /// Its availability zone.
    pub az: String,
    /// `serving`, `leaving` or `draining`; the last two on the way to a stop.
    pub phase: String,
    /// Number of the version in force; 0 if there is none.
    pub version: u64,
    /// Time since the version was confirmed to be current; `null` if it never was.
    pub confirmed_ms: Option<u64>,
    /// Route of the request; `null` if none was found.
    pub route: Option<RouteAnswer>,
    /// Whether the request has a large body.
    pub upload: bool,
    /// Time limit of the request.
    pub time_limit_ms: Option<u64>,
    /// Service to which the request would go; for a route with weighted services the next one of their sequence.
    pub service: Option<String>,
    /// Tenant; `null` if the route needs none, or it was not found.
    pub tenant: Option<TenantAnswer>,
    /// Rank that follows from the tenant or the route; 0 is the most urgent.
    pub rank: Option<usize>,
    /// Rank with which the request competes: a more urgent one while its own falls behind.
    pub effective_rank: Option<usize>,
    /// Quota of the tenant; `null` if it has none.
    pub quota: Option<QuotaAnswer>,
    /// Retries that the budget of the service has left at this node.
    pub retries_left: Option<f64>,
    /// Rollout of the service; `null` if there is none.
    pub rollout: Option<RolloutAnswer>,
    /// Known targets of the service.
    pub targets: Vec<TargetAnswer>,
    /// Where the request would go, or why it would be rejected.
    pub result: ResultAnswer,
}

/// Route of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Name.
    pub name: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether its requests need no API key.
    pub public: bool,
    /// Whether a request may be run twice.
    pub idempotent: bool,
    /// Maximum time until the response.
    pub timeout_ms: u64,
    /// Latency objective.
    pub objective_ms: u64,
    /// Services with their weights.
    pub services: Vec<WeightAnswer>,
}

/// Share of a service in a route.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WeightAnswer {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the other services of the route.
    pub weight: u32,
}

/// Tenant of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TenantAnswer {
    /// Name.
    pub name: String,
    /// Priority: the rank of its requests.
    pub rank: usize,
}

/// Quota of a tenant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Requests per second, over all nodes.
    pub rate: f64,
    /// Requests beyond the rate that may come at once, over all nodes.
    pub burst: f64,
    /// Units that requests at this node can take now.
    pub units: f64,
    /// Units per second that this node gets.
    pub unit_rate: f64,
    /// Whether a request would get a unit now.
    pub verdict: QuotaVerdict,
}

/// Whether a request would get a unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaVerdict {
    /// It would get one at once.
    Granted,
    /// It would wait for a moment for a unit, for example of another node. The result is that of a request that gets it;
    /// otherwise it would be rejected with `quota`.
    Waits,
    /// It would be rejected.
    Refused,
}

/// Rollout of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RolloutAnswer {
    /// Version to which it moves.
    pub to: String,
    /// Version of the old targets; `null` if unknown.
    pub from: Option<String>,
    /// Current step.
    pub step: String,
    /// Fraction of the requests of this node that go to the new version.
    pub share: f64,
}

/// What was found about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It does not accept requests.
    NotReady,
    /// Its node does not respond on a link.
    Unreachable,
    /// It is about to stop.
    Leaving,
    /// The rollout does not allow its version for this request.
    Rollout,
    /// It rejected such a request a moment before.
    BackOff,
    /// It is eligible, but was not sampled for the comparison.
    NotSampled,
    /// It was compared with others and not chosen.
    Compared,
    /// It is the target of this node, which would reject the request on arrival.
    NotAdmitted,
    /// It was chosen.
    Chosen,
}

impl From<Exclusion> for TargetState {
    fn from(why: Exclusion) -> Self {
        match why {
            Exclusion::NotReady => Self::NotReady,
            Exclusion::Unreachable => Self::Unreachable,
            Exclusion::Leaving => Self::Leaving,
            Exclusion::Rollout => Self::Rollout,
            Exclusion::BackOff => Self::BackOff,
        }
    }
}

/// A target of the service, as the node knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetAnswer {
    /// Id of its node.
    pub node: String,
    /// Its availability zone.
    pub az: String,
    /// Id of the target.
    pub target: String,
    /// Version of its program; `null` if unknown.
    pub version: Option<String>,
    /// What was found about it.
    pub state: TargetState,
    /// Requests that occupied slots at the last load report.
    pub running: u32,
    /// Waiting requests at the last load report behind which a request of this rank would have queued.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it gets at once, if fewer than its slots.
    pub pace: Option<u16>,
    /// Age of the load report; `null` before the first.
    pub report_age_ms: Option<u64>,
    /// Remaining back-off for such a request.
    pub back_off_ms: u64,
    /// Expected wait.
    pub wait_ms: u64,
    /// Expected cost of late and failed responses, from 0 to 1.
    pub cost: f64,
}

/// Where a request would go, or why it would be rejected.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResultAnswer {
    /// Node of the chosen target; `null` for a rejection.
    pub node: Option<String>,
    /// Reason of the rejection.
    pub reason: Option<String>,
    /// Status of the response to a rejected request.
    pub status: Option<u16>,
    /// Time after which its caller is told to retry, without the random part.
    pub retry_after_ms: Option<u64>,
}

/// Converts a duration to whole milliseconds, rounded down.
pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

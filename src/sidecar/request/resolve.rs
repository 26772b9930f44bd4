//! Properties of a request that follow from its route, its tenant and the time limit of its caller.

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::TargetRequest;
use crate::sidecar::request::attempt::NOT_READY_BACK_OFF;
use crate::sidecar::version::routes::{Route, Tenant};

/// Minimum time after which a caller is told to retry, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// What was found for a request before its target is chosen.
pub(crate) struct Resolved<'a> {
    pub(crate) route: &'a Route,
    pub(crate) service: &'a ServiceId,
    pub(crate) tenant: Option<&'a Tenant>,
    /// Rank of the request before [`Fairness`](crate::sidecar::process::routing::fairness::Fairness) changes it.
    pub(crate) rank: usize,
    /// Arrival of the request.
    pub(crate) start: Now,
    /// Time from the arrival to the deadline.
    pub(crate) remaining: Duration,
}

/// Parts of a request that its caller determines.
pub(crate) struct CallerRequest {
    pub(crate) id: SmolStr,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: SmolStr,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Time limit of a request whose caller waits for `timeout`.
pub(crate) fn time_limit(route: &Route, timeout: Option<Duration>) -> Duration {
    timeout.map_or(route.timeout, |t| t.min(route.timeout))
}

impl Resolved<'_> {
    /// The request as it is sent to a target.
    pub(crate) fn request(&self, n: &Node, caller: CallerRequest) -> TargetRequest {
        let (route, tenant) = (self.route, self.tenant);
        TargetRequest {
            id: caller.id,
            route: route.name.clone(),
            service: self.service.clone(),
            caller: n.service.clone(),
            tenant: tenant.map_or_else(TenantId::default, |t| t.name.clone()),
            rank: n.fairness().effective_rank(self.service, self.rank),
            idempotent: route.idempotent,
            objective: route.objective,
            due: self.start + until_due(route, self.remaining),
            deadline: self.start + self.remaining,
            baseline: n.placement().baseline(&route.name),
            max_wait: None,
            limit: None,
            retry: false,
            method: caller.method,
            path: caller.path,
            headers: caller.headers,
            body: caller.body,
        }
    }
}

/// Time left to meet the latency objective. A caller whose timeout is shorter than that of the route has spent the
/// difference on earlier attempts.
fn until_due(route: &Route, remaining: Duration) -> Duration {
    let spent = route.timeout.saturating_sub(remaining);
    route.objective.saturating_sub(spent)
}

/// Time after which the caller of a request that was rejected before a target was chosen may retry.
pub(crate) fn early_back_off(f: &Failure) -> Duration {
    match f.reason {
        Reason::Quota => f.back_off,
        _ => NOT_READY_BACK_OFF,
    }
}

/// Time after which a caller is told to retry, before jitter; `None` if the request may have run. `back_off` is the
/// shortest back-off known for the request.
pub(crate) fn retry_after(f: &Failure, back_off: Duration) -> Option<Duration> {
    let time = back_off.max(f.back_off).max(MIN_RETRY_AFTER);
    (f.outcome == Outcome::NotRun).then_some(time)
}

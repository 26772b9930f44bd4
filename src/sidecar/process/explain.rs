//! Explains where a request would go now. All data is in memory, and nothing changes: the functions that decide for requests
//! are called on read-only state, or on copies of the state that they change.

pub mod answer;
mod place;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::process::explain::answer::{
    millis, Answer, Query, QuotaAnswer, QuotaVerdict, ResultAnswer, RolloutAnswer, RouteAnswer,
    TenantAnswer, WeightAnswer,
};
use crate::sidecar::process::explain::place::place;
use crate::sidecar::process::node::{Node, Phase};
use crate::sidecar::process::quota::limits::Quota;
use crate::sidecar::process::quota::Verdict;
use crate::sidecar::process::rollout::view::View;
use crate::sidecar::request::authenticate::{find, is_confirmed, RouteAndTenant};
use crate::sidecar::request::resolve::{
    early_back_off, retry_after, time_limit, CallerRequest, Resolved,
};
use crate::sidecar::version::routes::{ApiKey, Route, RouteTable, Tenant};

/// Id of a request that is only explained. It is not sent to a target.
const EXPLAINED_REQUEST_ID: &str = "explain";

/// Why a query has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryError {
    /// It is malformed, for this reason.
    Invalid(&'static str),
    /// It names a tenant that the version in force does not have.
    UnknownTenant,
}

/// A rejection of a request.
struct Rejection {
    failure: Failure,
    /// Shortest back-off known for the request; zero if there is none.
    back_off: Duration,
}

/// Explains a request.
///
/// # Errors
///
/// The query is malformed, or its tenant is unknown.
pub fn explain(n: &Node, query: &Query) -> Result<Answer, QueryError> {
    if query.key.is_some() && query.tenant.is_some() {
        return Err(QueryError::Invalid("key and tenant exclude each other"));
    }
    let method = query.method.as_deref().unwrap_or("GET");
    let method = Method::from_bytes(method.as_bytes())
        .map_err(|_| QueryError::Invalid("method is not an HTTP method"))?;
    let uri = query.path.parse::<Uri>().ok();
    let uri = uri
        .filter(|_| query.path.starts_with('/'))
        .ok_or(QueryError::Invalid("path is not an absolute path"))?;
    let table = n.routes.load_full();
    if let (Some(table), Some(name)) = (&table, &query.tenant) {
        if !table.tenants.contains_key(name.as_str()) {
            return Err(QueryError::UnknownTenant);
        }
    }
    let mut answer = empty_answer(n, query);
    let result = match table {
        Some(table) => decide(n, &table, query, (method, uri), &mut answer),
        None => Err(early_rejection(Failure::not_run(Reason::NoVersion))),
    };
    answer.result = result_answer(n, result);
    Ok(answer)
}

fn empty_answer(n: &Node, query: &Query) -> Answer {
    let phase = match n.phase() {
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Draining => "draining",
    };
    Answer {
        node: n.id.to_string(),
        az: n.settings().node.az.to_string(),
        phase: phase.to_owned(),
        version: n.version(),
        confirmed_ms: n.confirmation_age().map(millis),
        route: None,
        upload: query.upload,
        time_limit_ms: None,
        service: None,
        tenant: None,
        rank: None,
        effective_rank: None,
        quota: None,
        retries_left: None,
        rollout: None,
        targets: Vec::new(),
        result: ResultAnswer {
            node: None,
            reason: None,
            status: None,
            retry_after_ms: None,
        },
    }
}

/// A rejection before a target is chosen.
fn early_rejection(failure: Failure) -> Rejection {
    Rejection {
        failure,
        back_off: early_back_off(&failure),
    }
}

fn result_answer(n: &Node, result: Result<NodeId, Rejection>) -> ResultAnswer {
    match result {
        Ok(node) => ResultAnswer {
            node: Some(node.to_string()),
            reason: None,
            status: None,
            retry_after_ms: None,
        },
        Err(Rejection { failure, back_off }) => {
            let retry_after = retry_after(&failure, back_off);
            let response = n.adapter.failure_response(&failure, None, retry_after);
            ResultAnswer {
                node: None,
                reason: Some(failure.reason.as_str().to_owned()),
                status: Some(response.status().as_u16()),
                retry_after_ms: retry_after.map(millis),
            }
        }
    }
}

/// Decides on a request in the order of `entry::serve`, and records in `answer` what is known at each step.
fn decide(
    n: &Node,
    table: &RouteTable,
    query: &Query,
    (method, uri): (Method, Uri),
    answer: &mut Answer,
) -> Result<NodeId, Rejection> {
    let start = n.clock.now();
    let (route, tenant) = authenticate(n, table, query, uri.path()).map_err(early_rejection)?;
    let timeout = query.timeout_ms.map(Duration::from_millis);
    let remaining = time_limit(&route, timeout);
    let rank = table.rank(&route, tenant.as_deref());
    answer.route = Some(route_answer(&route));
    answer.time_limit_ms = Some(millis(remaining));
    answer.tenant = tenant.as_deref().map(|t| TenantAnswer {
        name: t.name.to_string(),
        rank: t.rank,
    });
    answer.rank = Some(rank);
    let quota = tenant.as_deref().and_then(|t| check_quota(n, t));
    let (quota, refusal) = quota.unzip();
    answer.quota = quota;
    let services = &route.services;
    let service = n
        .traffic_split()
        .peek(&route.name, services)
        .service
        .clone();
    let resolved = Resolved {
        route: &route,
        service: &service,
        tenant: tenant.as_deref(),
        rank,
        start,
        remaining,
    };
    let request = resolved.request(n, caller_request(method, &uri));
    answer.effective_rank = Some(request.rank);
    answer.retries_left = Some(n.retries_left(&service, rank, start));
    answer.rollout = rollout(n, &service, start);
    answer.service = Some(service.to_string());
    // The targets are of interest also if the request would not get that far.
    let refusal = refusal.flatten().map(early_rejection);
    let (placed, targets) = place(n, request, rank, query.upload, refusal);
    answer.targets = targets;
    placed
}

/// The explained request. A query names no headers and no body.
fn caller_request(method: Method, uri: &Uri) -> CallerRequest {
    let path = uri.path_and_query();
    CallerRequest {
        id: EXPLAINED_REQUEST_ID.into(),
        method,
        path: path.map_or("/", |p| p.as_str()).into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

/// Finds the route and the tenant as requests do. A node that does not reach the store would ask another one whether its
/// version is current before it rejects a key as unknown; a query takes the last confirmation.
fn authenticate(
    n: &Node,
    table: &RouteTable,
    query: &Query,
    path: &str,
) -> Result<RouteAndTenant, Failure> {
    let key = query.key.as_deref().map(ApiKey::new);
    let tenant_of = |table: &RouteTable| match (&key, &query.tenant) {
        (Some(key), _) => table.keys.get(key).cloned(),
        (None, Some(name)) => table.tenants.get(name.as_str()).cloned(),
        (None, None) => None,
    };
    let found = find(table, &query.host, path, tenant_of);
    found.map_err(|f| match f.reason {
        Reason::UnknownKey if key.is_some() && !is_confirmed(n) => {
            Failure::not_run(Reason::Unconfirmed)
        }
        _ => f,
    })
}

fn route_answer(route: &Route) -> RouteAnswer {
    let services = route.services.iter().map(|s| WeightAnswer {
        service: s.service.to_string(),
        weight: s.weight,
    });
    RouteAnswer {
        name: route.name.to_string(),
        prefix: route.prefix.to_string(),
        public: route.public,
        idempotent: route.idempotent,
        timeout_ms: millis(route.timeout),
        objective_ms: millis(route.objective),
        services: services.collect(),
    }
}

/// Quota of a tenant, and the failure of the request if the quota rejects it; `None` if the tenant has no quota.
fn check_quota(n: &Node, tenant: &Tenant) -> Option<(QuotaAnswer, Option<Failure>)> {
    let quota = Quota::new(tenant.rate, tenant.burst)?;
    let trial = n.try_quota(&tenant.name, quota);
    let (verdict, refusal) = match trial.verdict {
        Verdict::Granted => (QuotaVerdict::Granted, None),
        Verdict::Wait => (QuotaVerdict::Waits, None),
        Verdict::Refused(back_off) => {
            let failure = Failure {
                back_off,
                ..Failure::not_run(Reason::Quota)
            };
            (QuotaVerdict::Refused, Some(failure))
        }
    };
    let answer = QuotaAnswer {
        rate: quota.rate,
        burst: quota.burst,
        units: trial.available.units,
        unit_rate: trial.available.rate,
        verdict,
    };
    Some((answer, refusal))
}

fn rollout(n: &Node, service: &str, now: Now) -> Option<RolloutAnswer> {
    let summary = |v: &View| {
        let news = v.news();
        let answer = RolloutAnswer {
            to: news.order.to.to_string(),
            from: news.from.as_ref().map(SmolStr::to_string),
            step: news.step.as_str().to_owned(),
            share: v.share(now),
        };
        (news.order.service == service).then_some(answer)
    };
    n.rollout_views(summary).into_iter().flatten().next()
}

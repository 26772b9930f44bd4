//! Admitting node: acquires a slot for a request, sends it to the target of this node and returns the whole response.

use bytes::Bytes;
use http::{header, HeaderMap, Method, Request, Uri};
use http_body_util::Full;

use crate::connection::upstream::SendError;
use crate::prelude::*;
use crate::request::context;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::adapter::TargetHeaders;
use crate::sidecar::connection::pool::TargetResponse;
use crate::sidecar::process::node::{Node, Phase};
use crate::sidecar::process::routing::crash_suspects::CrashVerdict;
use crate::sidecar::process::target::queue::Arrival;
use crate::sidecar::process::target::slots::{Slot, TargetError};
use crate::sidecar::process::target::state::TargetId;

/// Time after the deadline for which the node waits, so that the target can still report that the deadline passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// A request for the target of the admitting node.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// Request id that the caller assigned to its attempt.
    pub id: SmolStr,
    /// Name of the route, which determines the expected service time.
    pub route: SmolStr,
    /// Service that must run it.
    pub service: ServiceId,
    /// Service on the VM where the request originated.
    pub caller: ServiceId,
    /// Tenant of the caller; empty if the request has none.
    pub tenant: TenantId,
    /// Rank with which the request is queued; 0 is the most urgent.
    pub rank: usize,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Latency objective of the route; a request that will miss it may wait for a fraction of it.
    pub objective: Duration,
    /// Time until which a response meets the latency objective.
    pub due: Now,
    /// Time at which the caller gives up.
    pub deadline: Now,
    /// Time that the route takes at an average target; zero if unknown.
    pub baseline: Duration,
    /// Longest expected wait for a slot with which this attempt is admitted; `None` if only the latency objective
    /// limits the wait.
    pub max_wait: Option<Duration>,
    /// Rate limit of the target that the sender knows of.
    pub limit: Option<f32>,
    /// Whether an earlier attempt reached a target.
    pub retry: bool,
    /// HTTP method, sent to the target unchanged.
    pub method: Method,
    /// Path and query; `/` if the URI has neither.
    pub path: SmolStr,
    /// Headers to forward, without hop-by-hop headers and those that the node sets itself.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl TargetRequest {
    /// Limits the deadline to the time at which this process ends.
    pub(crate) fn end_before(&mut self, stop_end: Now) {
        self.deadline = self.deadline.min(stop_end);
        self.due = self.due.min(stop_end);
    }
}

/// Result of an attempt at one target.
#[derive(Debug, Clone)]
pub enum AttemptResult {
    /// A valid response of the target, whatever its status.
    Response(TargetResponse),
    /// There is no valid response of the target.
    Failed {
        /// Outcome, reason and back-off.
        failure: Failure,
        /// Whether the request reached the target.
        delivered: bool,
    },
}

impl AttemptResult {
    /// A failure before the request reached the target.
    pub fn undelivered(failure: Failure) -> Self {
        Self::Failed {
            failure,
            delivered: false,
        }
    }

    /// A failure after the request reached the target.
    pub(crate) fn failed_at_target(failure: Failure) -> Self {
        Self::Failed {
            failure,
            delivered: true,
        }
    }
}

/// Runs a request at the target of this node.
///
/// Dropping the future cancels the request: a waiting one leaves the queue, and a running idempotent one is aborted. A
/// running request that is not idempotent is completed, because its effect is wanted and nobody could tell whether it
/// took place.
pub async fn run(n: &Arc<Node>, mut request: TargetRequest) -> AttemptResult {
    // The queue rejects a request that cannot end before this process does.
    request.end_before(n.stop_end());
    if let Err(f) = check_target(n, &request) {
        return AttemptResult::undelivered(f);
    }
    let arrival = arrival(n, &request);
    let _reservation = n.shared_link.reserve(&request.route);
    if let Some(rate) = request.limit {
        n.slots.update(|q, now| {
            q.suggest_limit(now, rate.into());
            Vec::new()
        });
    }
    let slot = match n.slots.acquire(arrival).await {
        Ok(slot) => slot,
        Err(f) => return AttemptResult::undelivered(f),
    };
    // The target may have left while the request was waiting.
    let target = match usable_target(n, &request) {
        Ok(target) => target,
        Err(f) => return AttemptResult::undelivered(f),
    };
    if request.idempotent {
        return exchange(n, request, target, slot).await;
    }
    let n = n.clone();
    let task = tokio::spawn(async move { exchange(&n, request, target, slot).await });
    let lost = Failure::unknown(Reason::Lost);
    task.await
        .unwrap_or_else(|_| AttemptResult::failed_at_target(lost))
}

/// Checks whether the target of this node may run a request.
pub(crate) fn check_target(n: &Node, request: &TargetRequest) -> Result<(), Failure> {
    usable_target(n, request)?;
    match n.crash_verdict(request) {
        CrashVerdict::Rejected(_) => return Err(Failure::not_run(Reason::Quarantined)),
        CrashVerdict::NoRetry if request.retry => {
            return Err(Failure::not_run(Reason::Quarantined))
        }
        _ => {}
    }
    match request.retry && !n.others_allow_retry(n.clock.now()) {
        true => Err(Failure::not_run(Reason::BudgetSpent)),
        false => Ok(()),
    }
}

/// Whether [`run`] would admit a request now. Nothing changes.
pub(crate) fn try_admission(n: &Node, request: &TargetRequest) -> Result<(), Failure> {
    check_target(n, request)?;
    rejection_result(n.slots.try_arrival(arrival(n, request), request.limit))
}

/// Converts a rejection by the queue for slots, with its back-off, to the failure of the request.
pub(crate) fn rejection_result(rejection: Option<(Reason, Duration)>) -> Result<(), Failure> {
    rejection.map_or(Ok(()), |(reason, back_off)| {
        Err(Failure {
            back_off,
            ..Failure::not_run(reason)
        })
    })
}

/// What the queue for slots needs to know about a request.
pub(crate) fn arrival(n: &Node, request: &TargetRequest) -> Arrival {
    let arrival = Arrival {
        ticket: 0,
        route: request.route.clone(),
        tenant: request.tenant.clone(),
        rank: request.rank,
        objective: request.objective,
        due: request.due,
        deadline: request.deadline,
        baseline: request.baseline,
        max_wait: request.max_wait,
        retry: request.retry,
        link_backlog: Duration::ZERO,
        transfer: Duration::ZERO,
    };
    with_link_use(n, arrival)
}

/// Adds what is known about the link to a request whose response is expected to be large.
fn with_link_use(n: &Node, a: Arrival) -> Arrival {
    let bandwidth = n.shared_link.bandwidth();
    let transfer = bandwidth.transfer_time(&a.route);
    match transfer.is_zero() {
        true => a,
        false => Arrival {
            link_backlog: bandwidth.backlog(n.clock.now()),
            transfer,
            ..a
        },
    }
}

/// Returns the id of the target if it can run the request now.
fn usable_target(n: &Node, request: &TargetRequest) -> Result<TargetId, Failure> {
    let now = n.clock.now();
    if n.phase() == Phase::Draining {
        return Err(Failure::not_run(Reason::Draining));
    }
    if request.service != n.service || !n.rollout_admits() {
        return Err(Failure::not_run(Reason::NotReady));
    }
    let target = n.target();
    match target.usable(now) {
        Some(id) => Ok(id.clone()),
        None if target.is_leaving() => Err(Failure::not_run(Reason::Draining)),
        None => Err(Failure::not_run(Reason::NotReady)),
    }
}

/// Runs a request at the target, and counts it for a rollout of the service.
async fn exchange(
    n: &Arc<Node>,
    request: TargetRequest,
    target: TargetId,
    slot: Slot,
) -> AttemptResult {
    let (route, start) = (request.route.clone(), n.clock.now());
    let result = send(n, request, target, slot).await;
    n.count_rollout_sample(&route, &result, n.clock.now().saturating_sub(start));
    result
}

/// Sends a request to the target and checks its response.
async fn send(
    n: &Arc<Node>,
    request: TargetRequest,
    target: TargetId,
    mut slot: Slot,
) -> AttemptResult {
    let now = n.clock.now();
    let remaining = request.deadline.saturating_sub(now);
    if remaining.is_zero() {
        return AttemptResult::undelivered(Failure::not_run(Reason::Deadline));
    }
    let Some(req) = http_request(n, &request, &target, remaining) else {
        return AttemptResult::undelivered(Failure::not_run(Reason::BadRequest));
    };
    let (occupancy, bound) = slot.hold();
    let send = n
        .pool
        .send_occupying(req, !request.idempotent, now, Some(occupancy));
    let send = tokio::time::timeout(remaining + DEADLINE_GRACE, send);
    // Giving a request up early helps only if it may be sent elsewhere.
    let bound = bound.filter(|_| request.idempotent);
    let result = tokio::select! {
        biased;
        result = send => result,
        fewer = slot.wait_unanswered(bound) => {
            log_full(n, fewer, "silent");
            slot.failed = Some(true);
            slot.error = Some(TargetError::Failed);
            return AttemptResult::failed_at_target(Failure::unknown(Reason::Lost));
        }
    };
    let start = now;
    let now = n.clock.now();
    let (mut response, conn) = match result {
        Ok(Ok(received)) => received,
        Ok(Err(e)) => return send_failure(n, &request, &e, &mut slot),
        Err(_) => {
            n.target().on_timeout(now);
            slot.failed = Some(true);
            slot.error = Some(TargetError::TimedOut);
            return AttemptResult::failed_at_target(Failure::unknown(Reason::Deadline));
        }
    };
    n.target().on_response(now);
    let info = n.adapter.response_info(response.status, &response.headers);
    // On a connection that was used before, a response without an id may be an earlier one that was sent again.
    let own = match &info.id {
        Some(id) => *id == request.id,
        None => !conn.was_reused(),
    };
    if !own {
        return AttemptResult::failed_at_target(Failure::unknown(Reason::BadResponse));
    }
    if info.misdirected {
        n.on_target_replaced(&target);
        return AttemptResult::failed_at_target(Failure::not_run(Reason::NotReady));
    }
    if info.id.is_some() {
        n.on_target_notices(&target, &info);
    }
    if info.not_run {
        n.pool.put_back(conn, now);
        return AttemptResult::failed_at_target(Failure::not_run(Reason::Declined));
    }
    slot.failed = Some(!response.status.is_success());
    let invalid = !info.signed || info.encoded || info.id.is_none();
    // An invalid response says nothing about the load of the target.
    if !invalid && response.status.is_server_error() {
        slot.error = Some(TargetError::Failed);
    }
    if invalid {
        return AttemptResult::failed_at_target(Failure::unknown(Reason::BadResponse));
    }
    n.pool.put_back(conn, now);
    let bytes = response.body.len();
    n.shared_link.bandwidth().record_size(&request.route, bytes);
    response.service_time = now.saturating_sub(start);
    n.on_request_served(&request);
    AttemptResult::Response(response)
}

/// Returns the result of a request that failed with a send error, and updates the state of the target.
fn send_failure(
    n: &Arc<Node>,
    request: &TargetRequest,
    e: &SendError,
    slot: &mut Slot,
) -> AttemptResult {
    let now = n.clock.now();
    let failure = Failure::from(e.clone());
    spdlog::debug!("event=target_connection_failed", kv: { error = e.to_string() });
    match failure.outcome {
        Outcome::NotRun => {
            n.slots.update(|q, _| {
                q.restart_pace(true);
                Vec::new()
            });
            if n.target().on_connect_refused(now) {
                n.log
                    .event("target_unreachable", &[("error", &e.to_string())]);
            }
            AttemptResult::undelivered(failure)
        }
        _ => {
            if matches!(e, SendError::Lost(_)) {
                slot.error = Some(TargetError::Failed);
                log_full(n, slot.on_lost(), "reset");
                n.on_request_lost(request);
            }
            slot.failed = Some(true);
            AttemptResult::failed_at_target(failure)
        }
    }
}

/// Logs that the target is full, if it is to get fewer requests from now on.
fn log_full(n: &Node, fewer: bool, sign: &str) {
    if fewer {
        n.log.event("target_full", &[("sign", sign)]);
    }
}

fn http_request(
    n: &Node,
    request: &TargetRequest,
    target: &TargetId,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.path.parse::<Uri>().ok()?;
    let h = req.headers_mut();
    *h = request.headers.clone();
    if request.body.is_empty() && (request.method == Method::GET || request.method == Method::HEAD)
    {
        h.remove(header::CONTENT_LENGTH);
    }
    n.adapter.set_target_headers(
        h,
        &TargetHeaders {
            id: &request.id,
            remaining,
            target,
            caller: &request.caller,
            tenant: &request.tenant,
        },
    );
    Some(req)
}

/// Removes the hop-by-hop headers of a response, and its content length, which is written again.
pub fn strip_response(h: &mut HeaderMap) {
    context::strip_hop_by_hop(h);
    h.remove(header::CONTENT_LENGTH);
}

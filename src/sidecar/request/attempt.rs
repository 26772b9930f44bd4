//! One attempt of a request: chooses a target, sends the request there and records what the result says.

use futures_util::FutureExt;

use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::connection::links::CallResult;
use crate::sidecar::connection::pool::append;
use crate::sidecar::process::bandwidth::PIECE_BYTES;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::quota::driver::QuotaToken;
use crate::sidecar::process::routing::placement::{Choice, Criteria};
use crate::sidecar::request::admit::{self, AttemptResult, TargetRequest};
use crate::sidecar::request::admit_upload::{self, Source};
use crate::sidecar::request::upload::Upload;
use crate::sidecar::version::routes::Route;

/// Maximum number of attempts that are admitted only if a slot is free at once. Load reports are old where there are
/// many targets, so the first choice is often full while another target is idle.
const MAX_IMMEDIATE_ATTEMPTS: usize = 4;
/// Fraction of the time left to meet the latency objective up to which an expected wait counts as a slot that is free
/// at once.
const IMMEDIATE_WAIT_FRACTION: f64 = 0.05;
/// Result of an attempt in the log if the deadline passed before its response arrived.
const NO_RESPONSE: &str = "no-reply";
/// Result of an attempt in the log if its node did not respond and the request may have been sent elsewhere too.
const SUSPECTED: &str = "suspected";
/// Back-off from a target that is not ready, and time after which a caller is told to retry while no version or no
/// target is known.
pub(crate) const NOT_READY_BACK_OFF: Duration = Duration::from_millis(150);

/// A request of a caller, from its arrival to its response.
pub(crate) struct RequestState {
    pub(crate) request: TargetRequest,
    /// Large body of the request, which is read as it is sent on; the body of `request` is empty then.
    pub(crate) upload: Option<Arc<Upload>>,
    pub(crate) route: Arc<Route>,
    /// Rank of the request before [`Fairness`](crate::sidecar::process::routing::fairness::Fairness) changes it.
    pub(crate) rank: usize,
    /// Unit of the tenant's quota; `None` if it has none.
    pub(crate) quota: Option<QuotaToken>,
    /// Version that the route is from.
    pub(crate) version: VersionNumber,
    /// Nodes that the request was sent to, except those in `full`.
    pub(crate) tried: Vec<NodeId>,
    /// Nodes whose targets had no free slot. They are excluded until the last attempt, which waits at the best one.
    pub(crate) full: Vec<NodeId>,
    /// Number of targets that received the request.
    pub(crate) sent: u32,
    /// Number of targets that may have run the request.
    pub(crate) possible_runs: u32,
    /// Shortest back-off so far; zero if there was none.
    pub(crate) retry_after: Duration,
    /// Nodes and results of the attempts, for the log.
    pub(crate) trace: String,
}

/// Target and admission of the next attempt of a request.
pub(crate) struct AttemptPlan {
    pub(crate) choice: Choice,
    /// Longest expected wait with which the attempt is admitted; `None` if it may wait.
    pub(crate) max_wait: Option<Duration>,
}

/// Nodes that the next attempt of a request avoids; see the fields of [`RequestState`].
#[derive(Clone, Copy)]
pub(crate) struct Avoided<'a> {
    pub(crate) tried: &'a [NodeId],
    pub(crate) full: &'a [NodeId],
}

/// Criteria by which a target is chosen for a request.
pub(crate) fn criteria<'a>(
    request: &'a TargetRequest,
    upload: bool,
    excluded: &'a [NodeId],
    now: Now,
) -> Criteria<'a> {
    Criteria {
        service: &request.service,
        route: &request.route,
        rank: request.rank,
        until_due: request.due.saturating_sub(now),
        remaining: request.deadline.saturating_sub(now),
        upload,
        excluded,
    }
}

/// Plans the next attempt of a request, and changes nothing. `choose` chooses a target by the criteria.
pub(crate) fn plan_attempt<F>(
    n: &Node,
    request: &TargetRequest,
    upload: bool,
    avoided: Avoided<'_>,
    choose: F,
    now: Now,
) -> AttemptPlan
where
    F: Fn(&Criteria<'_>) -> Choice,
{
    let Avoided { tried, full } = avoided;
    let immediate =
        full.len() < MAX_IMMEDIATE_ATTEMPTS && n.placement().has_free_slots(&request.service, now);
    let mut excluded = tried.to_vec();
    if immediate {
        excluded.extend_from_slice(full);
    }
    let choice = choose(&criteria(request, upload, &excluded, now));
    // If all targets are full, the last attempt waits at the best of them.
    let all_full = immediate && !full.is_empty() && !matches!(choice, Choice::Target(_));
    let choice = match all_full {
        true => choose(&criteria(request, upload, tried, now)),
        false => choice,
    };
    let until_due = request.due.saturating_sub(now);
    let max_wait = until_due.mul_f64(IMMEDIATE_WAIT_FRACTION);
    AttemptPlan {
        choice,
        max_wait: (immediate && !all_full).then_some(max_wait),
    }
}

/// Node of a choice. `retry_after` is the shortest back-off of the request so far; a back-off of the choice updates it.
///
/// # Errors
///
/// No target was chosen.
pub(crate) fn chosen_node(choice: Choice, retry_after: &mut Duration) -> Result<NodeId, Failure> {
    match choice {
        Choice::Target(node) => Ok(node),
        Choice::Full(back_off) => {
            *retry_after = shorter_back_off(*retry_after, back_off);
            Err(Failure {
                back_off: *retry_after,
                ..Failure::not_run(Reason::HeldOff)
            })
        }
        Choice::None => {
            *retry_after = shorter_back_off(*retry_after, NOT_READY_BACK_OFF);
            Err(Failure::not_run(Reason::NoTarget))
        }
    }
}

/// Chooses a target and sends the request there.
///
/// # Errors
///
/// No target can be chosen.
pub(crate) async fn attempt(
    n: &Arc<Node>,
    state: &mut RequestState,
) -> Result<CallResult, Failure> {
    let now = n.clock.now();
    state.request.end_before(n.stop_end());
    let avoided = Avoided {
        tried: &state.tried,
        full: &state.full,
    };
    let upload = state.upload.is_some();
    let plan = plan_attempt(n, &state.request, upload, avoided, |c| n.choose(c), now);
    let node = chosen_node(plan.choice, &mut state.retry_after)?;
    state.tried.push(node.clone());
    state.request.max_wait = plan.max_wait;
    state.request.limit = n.placement().limit(&node);
    state.request.retry = state.sent > 0;
    n.placement().record_sent(&node, now);
    n.on_rollout_sent(&state.request.service, &node);
    let hop = n.hop(&node);
    n.metrics.record_attempt(state.rank, hop);
    // The attempt may be cancelled at any time, so the request counts as run until the result says otherwise.
    state.sent += 1;
    state.possible_runs += 1;
    state.update_quota();
    let result = match send(n, &node, &state.request, state.upload.as_deref()).await {
        CallResult::Done(result) => result,
        CallResult::Suspected(call) => {
            state.trace_attempt(&node, SUSPECTED);
            return Ok(CallResult::Suspected(call));
        }
    };
    let delivered = match &result {
        AttemptResult::Response(_) => true,
        AttemptResult::Failed { delivered, .. } => *delivered,
    };
    n.on_rollout_result(&state.request.service, &node, delivered);
    if let AttemptResult::Response(response) = &result {
        let info = n.adapter.response_info(response.status, &response.headers);
        if info.leaving {
            n.placement().set_leaving(&node);
        }
        if response.status.is_success() {
            n.placement()
                .record_service_time(&node, &state.request.route, response.service_time);
        }
        let elapsed = n.clock.now().saturating_sub(now);
        n.metrics.record_response(state.rank, hop, elapsed);
    }
    record_result(n, state, &node, &result);
    Ok(CallResult::Done(result))
}

/// Sends a request to a node, which may be this one.
async fn send(
    n: &Arc<Node>,
    node: &NodeId,
    request: &TargetRequest,
    upload: Option<&Upload>,
) -> CallResult {
    if let Some(upload) = upload {
        upload.begin_attempt();
    }
    // The futures of uploads are on the heap, so that other requests need no memory for them.
    let result = match (*node == n.id, upload) {
        (true, None) => admit::run(n, request.clone()).await,
        (true, Some(upload)) => run_upload(n, request, upload).boxed().await,
        (false, None) => return n.links.call(n, node, request).await,
        (false, Some(upload)) => n.links.call_upload(n, node, request, upload).boxed().await,
    };
    if *node == n.id {
        n.placement().record_load(n.clock.now(), node, n.load());
    }
    CallResult::Done(result)
}

/// Runs a request with a large body at the target of this node, once the body is whole.
async fn run_upload(n: &Arc<Node>, request: &TargetRequest, upload: &Upload) -> AttemptResult {
    let transfer = match admit_upload::admit(n, request, upload.len(), Source::Caller) {
        Ok(transfer) => transfer,
        Err(f) => return AttemptResult::undelivered(f),
    };
    let mut body = Vec::new();
    while body.len() < upload.len() {
        let bytes = PIECE_BYTES.min(upload.len() - body.len());
        match upload.read(n, body.len(), bytes).await {
            Ok(part) => append(&mut body, &part),
            Err(f) => return AttemptResult::undelivered(f),
        }
        transfer.arrived(bytes);
    }
    upload.pass_on();
    admit_upload::run(n, request.clone(), body.into(), transfer).await
}

/// Records what the result of an attempt says about the request and about its target.
fn record_result(n: &Node, state: &mut RequestState, node: &NodeId, result: &AttemptResult) {
    let now = n.clock.now();
    let failure = match result {
        AttemptResult::Response(response) => {
            state.trace_attempt(node, response.status.as_str());
            return;
        }
        AttemptResult::Failed { failure, delivered } => {
            state.sent -= u32::from(!delivered);
            failure
        }
    };
    state.trace_attempt(node, failure.reason.as_str());
    if failure.outcome != Outcome::NotRun {
        return;
    }
    state.possible_runs -= 1;
    state.update_quota();
    if state.request.max_wait.is_some() && lacks_slot(failure.reason) {
        // The rejection reported the load of the target, so it is chosen again only if there is no better one.
        state.full.extend(state.tried.pop());
        return;
    }
    let rank = state.request.rank;
    let until_due = state.request.due.saturating_sub(now);
    match failure.reason {
        Reason::LinkFull if state.upload.is_some() => {
            n.placement()
                .record_upload_rejection(now, node, rank, until_due, failure.back_off);
            state.retry_after = shorter_back_off(state.retry_after, failure.back_off);
        }
        Reason::QueueFull | Reason::RateLimited | Reason::LinkFull | Reason::Declined => {
            n.placement()
                .record_rejection(now, node, rank, until_due, failure.back_off);
            state.retry_after = shorter_back_off(state.retry_after, failure.back_off);
        }
        Reason::NotReady | Reason::Draining | Reason::NotSent => {
            // The target gets no requests at all until the back-off ends.
            let any_time = Duration::MAX;
            n.placement()
                .record_rejection(now, node, 0, any_time, NOT_READY_BACK_OFF);
        }
        _ => {}
    }
}

/// Whether a target rejected a request because it has no slot or no room for it now.
pub(crate) fn lacks_slot(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull | Reason::RateLimited | Reason::LinkFull
    )
}

/// The shorter of two back-offs; zero means no back-off.
pub(crate) fn shorter_back_off(a: Duration, b: Duration) -> Duration {
    match (a.is_zero(), b.is_zero()) {
        (true, _) => b,
        (_, true) => a,
        _ => a.min(b),
    }
}

impl RequestState {
    /// Whether the body can still be sent from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        self.upload.as_ref().is_none_or(|u| u.is_replayable())
    }

    /// Tells the unit of the quota whether a target may have run the request.
    fn update_quota(&mut self) {
        if let Some(q) = &mut self.quota {
            q.set_may_have_run(self.possible_runs > 0);
        }
    }

    /// Failure of a request whose deadline passed before the response to its last attempt arrived.
    pub(crate) fn deadline_failure(&mut self, now: Now) -> Failure {
        if self.sent == 0 {
            return Failure::not_run(Reason::Deadline);
        }
        if let Some(upload) = self.upload.as_ref().filter(|u| !u.was_passed_on()) {
            // No node has the whole body of the last attempt, so it did not run.
            self.sent -= 1;
            self.possible_runs -= 1;
            let failure = upload.explain(now, Failure::not_run(Reason::Deadline));
            self.update_quota();
            return failure;
        }
        if let Some(node) = self.tried.last().cloned() {
            self.trace_attempt(&node, NO_RESPONSE);
        }
        Failure::unknown(Reason::Deadline)
    }

    fn trace_attempt(&mut self, node: &str, result: &str) {
        if !self.trace.is_empty() {
            self.trace.push(',');
        }
        self.trace.push_str(node);
        self.trace.push('=');
        self.trace.push_str(result);
    }
}

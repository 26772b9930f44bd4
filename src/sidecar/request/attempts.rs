//! The attempts of one request: at one target, or at several in turn if retries are allowed.

use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::connection::links::{CallResult, PendingCall};
use crate::sidecar::connection::pool::TargetResponse;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::routing::crash_suspects::CrashVerdict;
use crate::sidecar::request::admit::AttemptResult;
use crate::sidecar::request::attempt::{attempt, RequestState};

/// Number of tried nodes after which a request is not retried; those without a slot that was free at once do not count.
/// A rejection costs no run, but it costs a round trip.
pub(crate) const MAX_TRIED_NODES: usize = 4;

/// Requests at nodes that do not respond. Their responses count if they still arrive.
#[derive(Default)]
struct SuspectedCalls(Vec<PendingCall>);

impl SuspectedCalls {
    /// Waits for a response that is no server error; `None` if all requests have failed.
    async fn next(&mut self) -> Option<TargetResponse> {
        while !self.0.is_empty() {
            let calls = self.0.iter_mut().map(|call| Box::pin(call.wait()));
            let (result, i, _) = futures_util::future::select_all(calls).await;
            self.0.swap_remove(i);
            match result {
                AttemptResult::Response(r) if !r.status.is_server_error() => return Some(r),
                _ => {}
            }
        }
        None
    }
}

/// How the attempts of a request go on.
enum Step {
    /// An attempt ended, or none could be made.
    Attempted(Result<CallResult, Failure>),
    /// An earlier attempt got a response.
    Responded(TargetResponse),
    /// The deadline passed.
    DeadlinePassed,
}

/// Runs the request at one target, or at several in turn if retries are allowed.
pub(crate) async fn run_attempts(
    n: &Arc<Node>,
    state: &mut RequestState,
) -> Result<TargetResponse, Failure> {
    let mut suspected = SuspectedCalls::default();
    // Last response with a server error; the caller gets it unless a later attempt succeeds.
    let mut error_response: Option<TargetResponse> = None;
    let mut last_failure: Option<Failure> = None;
    if let CrashVerdict::Rejected(back_off) = n.crash_verdict(&state.request) {
        return Err(Failure {
            back_off,
            ..Failure::not_run(Reason::Quarantined)
        });
    }
    loop {
        let deadline = state.request.deadline;
        let step = tokio::select! {
            biased;
            Some(response) = suspected.next() => Step::Responded(response),
            result = attempt(n, state) => Step::Attempted(result),
            () = n.wait_until(deadline) => Step::DeadlinePassed,
        };
        let result = match step {
            Step::Responded(response) => return Ok(response),
            Step::Attempted(result) => result,
            Step::DeadlinePassed => {
                suspected.0.clear();
                Err(state.deadline_failure(n.clock.now()))
            }
        };
        let f = match result {
            Ok(CallResult::Done(AttemptResult::Response(r))) if !r.status.is_server_error() => {
                return Ok(r)
            }
            Ok(CallResult::Done(AttemptResult::Response(response))) => {
                error_response = Some(response);
                Failure::unknown(Reason::BadResponse)
            }
            Ok(CallResult::Done(AttemptResult::Failed { failure, .. })) => failure,
            Ok(CallResult::Suspected(call)) => {
                suspected.0.push(call);
                Failure::unknown(Reason::Lost)
            }
            // No target can be chosen, or the deadline passed. The failure of the previous attempt explains more.
            Err(f) => {
                let f = last_failure.unwrap_or(f);
                return last_resort(n, state, suspected, error_response, f).await;
            }
        };
        if !may_retry(n, state, &f) {
            return last_resort(n, state, suspected, error_response, f).await;
        }
        n.metrics.record_retry(f.reason);
        last_failure = Some(f);
    }
}

/// Result of a request for which no further attempt is made: a response from a node that did not respond for a while, a
/// response with a server error, or a failure.
async fn last_resort(
    n: &Node,
    state: &RequestState,
    mut suspected: SuspectedCalls,
    error_response: Option<TargetResponse>,
    f: Failure,
) -> Result<TargetResponse, Failure> {
    let response = tokio::select! {
        biased;
        response = suspected.next() => response,
        () = n.wait_until(state.request.deadline) => None,
    };
    match response.or(error_response) {
        Some(response) => Ok(response),
        None => Err(final_failure(state, f)),
    }
}

/// An attempt with unknown outcome makes the outcome of the whole request unknown.
fn final_failure(state: &RequestState, f: Failure) -> Failure {
    match state.possible_runs {
        0 => f,
        _ => Failure {
            outcome: Outcome::Unknown,
            ..f
        },
    }
}

fn may_retry(n: &Node, state: &RequestState, f: &Failure) -> bool {
    let now = n.clock.now();
    let may_have_run = f.outcome != Outcome::NotRun;
    match f.reason {
        _ if now >= state.request.deadline => false,
        _ if may_have_run && !state.request.idempotent => false,
        Reason::Deadline if may_have_run => false,
        Reason::BadRequest | Reason::TooLarge | Reason::SlowCaller | Reason::Quarantined => false,
        _ if !state.is_replayable() => false,
        _ if n.crash_verdict(&state.request) != CrashVerdict::Allowed => false,
        // It may have crashed its target, and this process does not know yet whether it has crashed others.
        Reason::Lost if may_have_run && !n.knows_suspects() => false,
        _ if state.tried.len() >= MAX_TRIED_NODES => false,
        _ if state.possible_runs >= state.route.max_attempts.max(1) => false,
        _ => state.sent == 0 || n.take_retry(&state.request.service, state.rank, now),
    }
}

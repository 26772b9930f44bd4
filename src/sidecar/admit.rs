//! Admitting node: gives a request a slot of the target beside it, and returns the target's whole answer.

use bytes::Bytes;
use http::{header, HeaderMap, Method, Request, Uri};
use http_body_util::Full;

use super::edge::Dispatch;
use super::node::{Node, Phase};
use super::pool::Whole;
use super::queue::Arrival;
use super::slots::Slot;
use super::target::TargetId;
use crate::connection::upstream::SendError;
use crate::prelude::*;
use crate::request::context;
use crate::request::reason::{Failure, Outcome, Reason};

/// Time beyond the deadline in which the target can still report that it ran out.
const REPORT_GRACE: Duration = Duration::from_millis(20);

/// A request for the target beside this node.
#[derive(Debug, Clone)]
pub struct Work {
    /// Id of the caller's attempt.
    pub id: SmolStr,
    /// Route.
    pub route: SmolStr,
    /// Service that must run it.
    pub service: ServiceId,
    /// Service on the VM where it began.
    pub caller: ServiceId,
    /// Rank.
    pub rank: usize,
    /// Whether it may run again.
    pub idempotent: bool,
    /// Time within which its answer has its full worth.
    pub aim: Duration,
    /// Time at which its answer loses part of its worth.
    pub due: Now,
    /// Time at which its caller gives up.
    pub deadline: Now,
    /// Time that the route takes at an average target; zero if unknown.
    pub usual: Duration,
    /// Longest wait for a slot with which this attempt is taken; `None` if the aim decides.
    pub patience: Option<Duration>,
    /// Whether it reached a target before.
    pub repeat: bool,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: SmolStr,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// End of an attempt.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The target's answer.
    Answer(Whole),
    /// No answer; `at_target` says whether the request reached the target.
    Failed {
        /// What is known.
        failure: Failure,
        /// Whether the target got the request.
        at_target: bool,
    },
}

impl Reply {
    /// A failure before the request reached the target.
    pub fn refused(failure: Failure) -> Self {
        Self::Failed {
            failure,
            at_target: false,
        }
    }

    fn failed(failure: Failure) -> Self {
        Self::Failed {
            failure,
            at_target: true,
        }
    }
}

/// Runs a request at the target beside this node.
///
/// Dropping the future gives the request up: one that waits leaves the queue, and an idempotent one that runs is broken
/// off. Other work runs to its end, because its effect is wanted and nobody could tell whether it happened.
pub async fn run(n: &Arc<Node>, work: Work) -> Reply {
    if let Err(f) = check(n, &work) {
        return Reply::refused(f);
    }
    if work.repeat && !n.others_allow_retry(n.clock.now()) {
        return Reply::refused(Failure::not_run(Reason::BudgetSpent));
    }
    let arrival = Arrival {
        ticket: 0,
        route: work.route.clone(),
        rank: work.rank,
        objective: work.aim,
        due: work.due,
        deadline: work.deadline,
        baseline: work.usual,
        max_wait: work.patience,
        retry: work.repeat,
    };
    let slot = match n.slots.acquire(arrival).await {
        Ok(slot) => slot,
        Err(f) => return Reply::refused(f),
    };
    // The target may have left while the request waited.
    let target = match check(n, &work) {
        Ok(target) => target,
        Err(f) => return Reply::refused(f),
    };
    if work.idempotent {
        return exchange(n, work, target, slot).await;
    }
    let n = n.clone();
    let running = tokio::spawn(async move { exchange(&n, work, target, slot).await });
    let lost = Failure::unknown(Reason::Lost);
    running.await.unwrap_or_else(|_| Reply::failed(lost))
}

/// The target, if it may run the request now.
fn check(n: &Node, work: &Work) -> Result<TargetId, Failure> {
    let now = n.clock.now();
    if n.phase() == Phase::Closing {
        return Err(Failure::not_run(Reason::Draining));
    }
    if work.service != n.service {
        return Err(Failure::not_run(Reason::NotReady));
    }
    let target = n.target();
    match target.usable(now) {
        Some(id) => Ok(id.clone()),
        None if target.is_leaving() => Err(Failure::not_run(Reason::Draining)),
        None => Err(Failure::not_run(Reason::NotReady)),
    }
}

async fn exchange(n: &Arc<Node>, work: Work, target: TargetId, mut slot: Slot) -> Reply {
    let now = n.clock.now();
    let left = work.deadline.saturating_sub(now);
    if left.is_zero() {
        return Reply::refused(Failure::not_run(Reason::Deadline));
    }
    let Some(req) = request(n, &work, &target, left) else {
        return Reply::refused(Failure::not_run(Reason::BadRequest));
    };
    let send = n.pool.send(req, !work.idempotent, now);
    let out = tokio::time::timeout(left + REPORT_GRACE, send).await;
    let start = now;
    let now = n.clock.now();
    let (mut whole, used) = match out {
        Ok(Ok(found)) => found,
        Ok(Err(e)) => return broken(n, &e, &mut slot),
        Err(_) => {
            n.target().on_timeout(now);
            slot.failed = Some(true);
            return Reply::failed(Failure::unknown(Reason::Deadline));
        }
    };
    n.target().on_response(now);
    let facts = n.edge.answer(whole.status, &whole.headers);
    if facts.misdirected {
        n.target_replaced(&target);
        return Reply::failed(Failure::not_run(Reason::NotReady));
    }
    if facts.id.as_ref().is_some_and(|id| *id != work.id) {
        return Reply::failed(Failure::unknown(Reason::BadAnswer));
    }
    if facts.not_run {
        n.pool.keep(used, now);
        return Reply::failed(Failure::not_run(Reason::Declined));
    }
    slot.failed = Some(!whole.status.is_success());
    if !facts.signed || facts.encoded || facts.id.is_none() {
        return Reply::failed(Failure::unknown(Reason::BadAnswer));
    }
    n.pool.keep(used, now);
    whole.ran = now.saturating_sub(start);
    Reply::Answer(whole)
}

fn broken(n: &Node, e: &SendError, slot: &mut Slot) -> Reply {
    let now = n.clock.now();
    let failure = Failure::from(e.clone());
    spdlog::debug!("event=target_connection_failed", kv: { error = e.to_string() });
    match failure.outcome {
        Outcome::NotRun => {
            if n.target().on_connect_refused(now) {
                n.log
                    .event("target_unreachable", &[("error", &e.to_string())]);
            }
            Reply::refused(failure)
        }
        _ => {
            slot.failed = Some(true);
            Reply::failed(failure)
        }
    }
}

fn request(
    n: &Node,
    work: &Work,
    target: &TargetId,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::new(Full::new(work.body.clone()));
    *req.method_mut() = work.method.clone();
    *req.uri_mut() = work.path.parse::<Uri>().ok()?;
    let h = req.headers_mut();
    *h = work.headers.clone();
    if work.body.is_empty() && (work.method == Method::GET || work.method == Method::HEAD) {
        h.remove(header::CONTENT_LENGTH);
    }
    n.edge.dispatch(
        h,
        &Dispatch {
            id: &work.id,
            left,
            target,
            caller: &work.caller,
        },
    );
    Some(req)
}

/// Headers of an answer that concern one connection only are not forwarded; the length is written anew.
pub fn strip_answer(h: &mut HeaderMap) {
    context::strip_hop_by_hop(h);
    h.remove(header::CONTENT_LENGTH);
}

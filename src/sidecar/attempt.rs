//! One attempt of a request: the choice of a target, the way there, and what its reply says.

use super::admit::{self, Reply, Work};
use super::node::Node;
use super::placement::{Choice, Criteria};
use super::routes::Route;
use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};

/// Attempts of a request that are taken only where there is room now. Reports of load are old where there are many targets,
/// so the first choice is often full while another target is idle.
const EAGER_ASKS: usize = 4;
/// Part of the time to the aim that counts as no wait.
const PATIENCE_PART: f64 = 0.05;
/// Result of an attempt in the log when the deadline came before its reply.
const NO_REPLY: &str = "no-reply";
/// Wait that a caller is told while the node knows no version or no target.
pub(super) const NOT_READY_AGAIN: Duration = Duration::from_millis(150);

/// A request of a caller, from its arrival to its answer.
pub(super) struct Job {
    pub(super) work: Work,
    pub(super) route: Arc<Route>,
    /// Version that routed it.
    pub(super) version: VersionNumber,
    pub(super) tried: Vec<NodeId>,
    /// Nodes whose targets had no room at once. They are left out until the last attempt, which waits at the best one.
    pub(super) full: Vec<NodeId>,
    /// Targets that got the request.
    pub(super) sent: u32,
    /// Targets that may have run it.
    pub(super) ran: u32,
    /// Time after which there may be room.
    pub(super) again: Duration,
    pub(super) trace: String,
}

/// Chooses a target and sends the request there.
///
/// # Errors
///
/// No target can be asked.
pub(super) async fn attempt(n: &Arc<Node>, job: &mut Job) -> Result<Reply, Failure> {
    let now = n.clock.now();
    let eager = job.full.len() < EAGER_ASKS && n.place().has_free_slots(&job.work.service);
    let mut left_out = job.tried.clone();
    if eager {
        left_out.extend_from_slice(&job.full);
    }
    let ask = Criteria {
        service: &job.work.service,
        route: &job.work.route,
        rank: job.work.rank,
        until_due: job.work.due.saturating_sub(now),
        until_deadline: job.work.deadline.saturating_sub(now),
        excluded: &left_out,
    };
    let choice = n.choose(&ask);
    // Of the targets that had no room at once, the last attempt waits at the best one.
    let all_full = eager && !job.full.is_empty() && !matches!(choice, Choice::Target(_));
    let eager = eager && !all_full;
    let choice = match all_full {
        true => n.choose(&Criteria {
            excluded: &job.tried,
            ..ask
        }),
        false => choice,
    };
    let node = match choice {
        Choice::Target(node) => node,
        Choice::Full(back_off) => {
            job.again = shortest_hint(job.again, back_off);
            return Err(Failure {
                back_off: job.again,
                ..Failure::not_run(Reason::HeldOff)
            });
        }
        Choice::None => {
            job.again = shortest_hint(job.again, NOT_READY_AGAIN);
            return Err(Failure::not_run(Reason::NoTarget));
        }
    };
    job.tried.push(node.clone());
    let patience = job.work.due.saturating_sub(now).mul_f64(PATIENCE_PART);
    job.work.patience = eager.then_some(patience);
    job.work.repeat = job.sent > 0;
    n.place().record_sent(&node, now);
    let hop = n.hop(&node);
    n.metrics.attempted(job.route.rank, hop);
    // Until the reply says otherwise the request counts as run: the attempt may be cut short.
    job.sent += 1;
    job.ran += 1;
    let reply = match node == n.id {
        true => {
            let reply = admit::run(n, job.work.clone()).await;
            n.place().record_load(n.clock.now(), &node, n.slots.load());
            reply
        }
        false => n.links.call(n, &node, &job.work).await,
    };
    if let Reply::Answer(whole) = &reply {
        if whole.status.is_success() {
            n.place()
                .record_service_time(&node, &job.work.route, whole.ran);
        }
        let took = n.clock.now().saturating_sub(now);
        n.metrics.answered(job.route.rank, hop, took);
    }
    note(n, job, &node, &reply);
    Ok(reply)
}

/// Notes what the reply of a node says about the request and about its target.
fn note(n: &Node, job: &mut Job, node: &NodeId, reply: &Reply) {
    let now = n.clock.now();
    let failure = match reply {
        Reply::Answer(whole) => {
            job.trace_attempt(node, whole.status.as_str());
            return;
        }
        Reply::Failed { failure, at_target } => {
            job.sent -= u32::from(!at_target);
            failure
        }
    };
    job.trace_attempt(node, failure.reason.as_str());
    if failure.outcome != Outcome::NotRun {
        return;
    }
    job.ran -= 1;
    if job.work.patience.is_some() && failure.reason == Reason::QueueFull {
        // Its load is known now, so it is chosen again only if there is no better one.
        job.full.extend(job.tried.pop());
        return;
    }
    let rank = job.work.rank;
    let due = job.work.due.saturating_sub(now);
    match failure.reason {
        Reason::QueueFull | Reason::Declined => {
            n.place()
                .record_rejection(now, node, rank, due, failure.back_off);
            job.again = shortest_hint(job.again, failure.back_off);
        }
        Reason::NotReady | Reason::Draining | Reason::NotSent => {
            let any = Duration::MAX;
            n.place()
                .record_rejection(now, node, 0, any, NOT_READY_AGAIN);
        }
        _ => {}
    }
}

/// The shorter of two waits; zero stands for none.
fn shortest_hint(a: Duration, b: Duration) -> Duration {
    match (a.is_zero(), b.is_zero()) {
        (true, _) => b,
        (_, true) => a,
        _ => a.min(b),
    }
}

impl Job {
    /// The deadline ended an attempt before its reply came.
    pub(super) fn gave_up(&mut self) -> Failure {
        if self.sent == 0 {
            return Failure::not_run(Reason::Deadline);
        }
        if let Some(node) = self.tried.last().cloned() {
            self.trace_attempt(&node, NO_REPLY);
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

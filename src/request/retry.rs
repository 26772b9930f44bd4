//! Decision whether and when a failed attempt is repeated. Without I/O.

use rand::{Rng, RngExt};

use super::reason::{Failure, Outcome, Reason};
use crate::prelude::*;
use crate::process::routing::budget::Bucket;
use crate::settings::RetryPolicy;

/// Upper bound of the delay before the first delayed retry; it doubles with each further one.
pub const DELAY_FIRST: Duration = Duration::from_millis(10);
/// Longest upper bound of a delay.
pub const DELAY_LONGEST: Duration = Duration::from_millis(200);
/// Delay of the baseline policy.
pub const DELAY_UNLIMITED: Duration = Duration::from_millis(10);

/// What is known after a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Failed {
    /// The failure.
    pub failure: Failure,
    /// Whether running the request twice has the effect of running it once.
    pub idempotent: bool,
    /// Whether the body can be sent again from its start.
    pub replayable: bool,
    /// Depth in the call tree.
    pub depth: u8,
    /// Remaining retries of the call tree.
    pub retries: u8,
    /// Attempts made.
    pub attempts: u32,
    /// Attempts that were refused because of overload, including this one.
    pub overloads: u32,
    /// Whether a target that has not been tried is usable.
    pub other: bool,
    /// Time to the deadline.
    pub left: Duration,
}

/// Why a failed attempt is not repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// A repetition would fail in the same way.
    Final,
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// Part of the body is gone.
    BodySent,
    /// The budget of the call tree is spent.
    TreeBudget,
    /// Too much work: only the first call's entry node repeats, once, at another target.
    Overload,
    /// The node's token bucket is empty.
    NodeBudget,
    /// The deadline would pass.
    Deadline,
}

/// Decision about a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Report the failure.
    Stop(Stop),
    /// Try again after this delay.
    After(Duration),
}

fn worth_it(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NotReady
            | Reason::NotSent
            | Reason::Lost
            | Reason::BadAnswer
            | Reason::QueueFull
            | Reason::CallerShare
            | Reason::Deadline
            | Reason::Declined
            | Reason::Draining
            | Reason::SuspectBusy
    )
}

/// Decides about a failed attempt. A retry spends one token of the bucket; the caller lowers the tree's budget.
pub fn decide<R>(policy: RetryPolicy, f: &Failed, bucket: &mut Bucket, rng: &mut R) -> Decision
where
    R: Rng,
{
    let budget = policy == RetryPolicy::Budget;
    let overload = f.failure.outcome == Outcome::NotRun && f.failure.reason.is_overload();
    let delay = delay(policy, f, rng);
    let stop = match f {
        _ if !worth_it(f.failure.reason) => Stop::Final,
        _ if f.failure.outcome != Outcome::NotRun && !f.idempotent => Stop::MayHaveRun,
        _ if !f.replayable => Stop::BodySent,
        _ if delay >= f.left => Stop::Deadline,
        _ if !budget => return Decision::After(delay),
        _ if f.retries == 0 => Stop::TreeBudget,
        _ if overload && (f.depth > 0 || f.overloads > 1 || !f.other) => Stop::Overload,
        _ if !bucket.take() => Stop::NodeBudget,
        _ => return Decision::After(delay),
    };
    Decision::Stop(stop)
}

/// No delay towards another target after a failure that proves nothing about it; full jitter otherwise, so that
/// requests that failed together do not come back together.
fn delay<R>(policy: RetryPolicy, f: &Failed, rng: &mut R) -> Duration
where
    R: Rng,
{
    let proven = matches!(
        f.failure.reason,
        Reason::NotSent | Reason::NotReady | Reason::Draining
    );
    match policy {
        RetryPolicy::Unlimited => DELAY_UNLIMITED,
        RetryPolicy::Budget if proven && f.other && f.attempts <= 1 => Duration::ZERO,
        RetryPolicy::Budget => {
            let doublings = f.attempts.saturating_sub(1).min(8);
            let bound = (DELAY_FIRST * 2_u32.pow(doublings)).min(DELAY_LONGEST);
            bound.mul_f64(rng.random::<f64>())
        }
    }
}

//! Decides whether and when a failed attempt is retried. Performs no I/O.

use rand::{Rng, RngExt};

use super::reason::{Failure, Outcome, Reason};
use crate::prelude::*;
use crate::process::routing::budget::TokenBucket;
use crate::settings::RetryPolicy;

/// Upper bound of the delay after the first attempt; it doubles with each further attempt.
pub const BASE_DELAY: Duration = Duration::from_millis(10);
/// Largest upper bound of a delay.
pub const MAX_DELAY: Duration = Duration::from_millis(200);
/// Delay of the baseline policy, [`RetryPolicy::Unlimited`].
pub const UNLIMITED_POLICY_DELAY: Duration = Duration::from_millis(10);

/// A failed attempt and the state of its request.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Outcome, reason and back-off of the attempt.
    pub failure: Failure,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether the body can be sent again from its start.
    pub replayable: bool,
    /// Depth in the call tree; 0 for a call from outside the mesh.
    pub depth: u8,
    /// Retries that remain for the call tree.
    pub retries: u8,
    /// Attempts made, including this one.
    pub attempts: u32,
    /// Attempts that failed because of overload, as [`Reason::is_overload`] says, including this one.
    pub overloads: u32,
    /// Whether a target that has not been tried is usable.
    pub other_target: bool,
    /// Time until the deadline; the delay before a retry has to be shorter.
    pub remaining: Duration,
}

/// Why a failed attempt is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRetryReason {
    /// A retry would fail in the same way.
    NotRetryable,
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The body cannot be sent again from its start.
    BodyConsumed,
    /// The retries of the call tree are spent.
    TreeBudget,
    /// Overload: only the entry node of the first call in the tree retries, once and at another target.
    Overload,
    /// The node's token bucket is empty.
    NodeBudget,
    /// The deadline would pass before the retry.
    Deadline,
}

/// Result of [`decide`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Report the failure; says why it is not retried.
    NoRetry(NoRetryReason),
    /// Retry after this delay.
    RetryAfter(Duration),
}

fn is_retryable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NotReady
            | Reason::NotSent
            | Reason::Lost
            | Reason::BadResponse
            | Reason::QueueFull
            | Reason::CallerShare
            | Reason::Deadline
            | Reason::Declined
            | Reason::Draining
            | Reason::SuspectBusy
    )
}

/// Decides on a failed attempt. A retry takes one token from the bucket; the calling function decrements the retries of
/// the call tree.
pub fn decide<R>(
    policy: RetryPolicy,
    f: &FailedAttempt,
    bucket: &mut TokenBucket,
    rng: &mut R,
) -> Decision
where
    R: Rng,
{
    let budgeted = policy == RetryPolicy::Budget;
    let overload = f.failure.outcome == Outcome::NotRun && f.failure.reason.is_overload();
    let delay = delay(policy, f, rng);
    let reason = match f {
        _ if !is_retryable(f.failure.reason) => NoRetryReason::NotRetryable,
        _ if f.failure.outcome != Outcome::NotRun && !f.idempotent => NoRetryReason::MayHaveRun,
        _ if !f.replayable => NoRetryReason::BodyConsumed,
        _ if delay >= f.remaining => NoRetryReason::Deadline,
        _ if !budgeted => return Decision::RetryAfter(delay),
        _ if f.retries == 0 => NoRetryReason::TreeBudget,
        _ if overload && (f.depth > 0 || f.overloads > 1 || !f.other_target) => {
            NoRetryReason::Overload
        }
        _ if !bucket.try_take() => NoRetryReason::NodeBudget,
        _ => return Decision::RetryAfter(delay),
    };
    Decision::NoRetry(reason)
}

/// Delay before a retry. It is zero for the first retry at another target if the failure concerns only the target that
/// was tried; otherwise it has full jitter, so that requests that failed together are not retried together.
fn delay<R>(policy: RetryPolicy, f: &FailedAttempt, rng: &mut R) -> Duration
where
    R: Rng,
{
    let target_only = matches!(
        f.failure.reason,
        Reason::NotSent | Reason::NotReady | Reason::Draining
    );
    match policy {
        RetryPolicy::Unlimited => UNLIMITED_POLICY_DELAY,
        RetryPolicy::Budget if target_only && f.other_target && f.attempts <= 1 => Duration::ZERO,
        RetryPolicy::Budget => {
            let doublings = f.attempts.saturating_sub(1).min(8);
            let bound = (BASE_DELAY * 2_u32.pow(doublings)).min(MAX_DELAY);
            bound.mul_f64(rng.random::<f64>())
        }
    }
}

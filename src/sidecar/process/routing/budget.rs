//! Retry budget of one service at one node. No I/O.
//!
//! A retry is an attempt of a request after an earlier attempt reached a target.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::sidecar::version::routes::RANKS;

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 10;
/// Fraction of the budget that is used, so that the sum over all nodes stays within it without coordination: nodes that
/// restarted have an empty window, and the calls that retries make to other services are only estimated.
const USABLE_FRACTION: f64 = 0.8;
/// Maximum fraction of the budget that is kept for requests of more urgent ranks. No more is kept than their fraction of
/// the requests, so that a few urgent ones do not take the retries of all others.
const URGENT_FRACTION: f64 = 0.3;

/// Limits on the retries of a service over all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryLimits {
    /// Time over which requests and retries are summed.
    pub window: Duration,
    /// Allowed retries per request in a window.
    pub ratio: f64,
    /// Retries that are always allowed in a window, over all nodes.
    pub min_retries: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u128,
    /// Requests by rank.
    requests: [f64; RANKS],
    retries: f64,
}

/// Retries of a service at this node within the window.
struct Usage {
    /// Retries of all ranks so far.
    retries: f64,
    /// Number that they may reach by a retry of the given rank.
    allowed: f64,
}

/// Index of the bucket of a time.
fn bucket_index(limits: &RetryLimits, now: Now) -> u128 {
    let width = (limits.window / BUCKETS).max(Duration::from_millis(1));
    now.as_nanos() / width.as_nanos()
}

/// Requests and retries of one service within the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Returns the current bucket. Removes buckets that are older than the window.
    fn bucket(&mut self, limits: &RetryLimits, now: Now) -> &mut Bucket {
        let index = bucket_index(limits, now);
        while self
            .buckets
            .front()
            .is_some_and(|b| b.index + u128::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.index != index) {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request of a rank for the service. `retry_probability` is the probability that a target made the
    /// request while it ran a retry: such a request counts as a retry although it is sent only once.
    pub fn record_request(
        &mut self,
        limits: &RetryLimits,
        rank: usize,
        retry_probability: f64,
        now: Now,
    ) {
        let bucket = self.bucket(limits, now);
        bucket.requests[rank.min(RANKS - 1)] += 1.0;
        bucket.retries += retry_probability;
    }

    /// Whether this node's share of the budget, one of `nodes`, allows another retry of this rank.
    pub fn allows_retry(
        &mut self,
        limits: &RetryLimits,
        rank: usize,
        nodes: usize,
        now: Now,
    ) -> bool {
        self.bucket(limits, now);
        let usage = self.usage(limits, rank, nodes, now);
        usage.retries + 1.0 <= usage.allowed
    }

    /// Retries of this rank that this node's share of the budget, one of `nodes`, has left.
    pub fn left(&self, limits: &RetryLimits, rank: usize, nodes: usize, now: Now) -> f64 {
        let usage = self.usage(limits, rank, nodes, now);
        (usage.allowed - usage.retries).max(0.0)
    }

    fn usage(&self, limits: &RetryLimits, rank: usize, nodes: usize, now: Now) -> Usage {
        let index = bucket_index(limits, now);
        let valid = |b: &&Bucket| b.index + u128::from(BUCKETS) >= index;
        let buckets = || self.buckets.iter().filter(valid);
        let requests: f64 = buckets().flat_map(|b| b.requests).sum();
        let retries: f64 = buckets().map(|b| b.retries).sum();
        let urgent = |b: &Bucket| b.requests.iter().take(rank).sum::<f64>();
        let urgent: f64 = buckets().map(urgent).sum();
        let kept = (urgent / requests.max(1.0)).min(URGENT_FRACTION);
        let min_retries = limits.min_retries / nodes.max(1) as f64;
        let allowed = (USABLE_FRACTION - kept) * (limits.ratio * requests + min_retries);
        Usage { retries, allowed }
    }

    /// Counts a retry of this rank if this node's share of the budget, one of `nodes`, allows it. Returns whether it
    /// does.
    pub fn try_take(&mut self, limits: &RetryLimits, rank: usize, nodes: usize, now: Now) -> bool {
        let allowed = self.allows_retry(limits, rank, nodes, now);
        if allowed {
            self.bucket(limits, now).retries += 1.0;
        }
        allowed
    }
}

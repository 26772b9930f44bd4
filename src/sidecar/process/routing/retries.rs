//! Retry budgets of a node, by service.

use crate::prelude::*;
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::routing::budget::{RetryBudget, RetryLimits};
use crate::sidecar::version::routes::RANKS;

/// The least urgent rank.
const LAST_RANK: usize = RANKS - 1;

impl Node {
    fn retry_limits(&self) -> RetryLimits {
        let s = &self.settings().sidecar;
        RetryLimits {
            window: Duration::from_secs(s.budget_window_s),
            ratio: s.budget_ratio,
            min_retries: s.budget_least,
        }
    }

    /// Counts a request for a service. Requests of callers and calls of this node's target cannot be told apart. A
    /// request for another service therefore counts as a call that the target makes, and is attributed to a retry with
    /// a probability equal to the fraction of retries at the target.
    pub fn count_request(&self, service: &ServiceId, rank: usize, now: Now) {
        let limits = self.retry_limits();
        let retry_probability = match *service == self.service {
            true => 0.0,
            false => self.slots.retry_fraction(),
        };
        let mut budgets = lock(&self.retry_budgets);
        budgets.entry(service.clone()).or_default().record_request(
            &limits,
            rank,
            retry_probability,
            now,
        );
    }

    /// Whether the budgets of all other services allow another retry: a retry at this node's target would make
    /// more calls to them.
    pub fn others_allow_retry(&self, now: Now) -> bool {
        let limits = self.retry_limits();
        let nodes = self.members().count();
        let mut budgets = lock(&self.retry_budgets);
        let mut others = budgets.iter_mut().filter(|(s, _)| **s != self.service);
        others.all(|(_, b)| b.allows_retry(&limits, LAST_RANK, nodes, now))
    }

    /// Retries of a rank that the budget of a service has left at this node.
    pub(crate) fn retries_left(&self, service: &str, rank: usize, now: Now) -> f64 {
        let limits = self.retry_limits();
        let nodes = self.members().count();
        let budgets = lock(&self.retry_budgets);
        match budgets.get(service) {
            Some(budget) => budget.left(&limits, rank, nodes, now),
            None => RetryBudget::default().left(&limits, rank, nodes, now),
        }
    }

    /// Takes one retry from the budget of a service. Returns whether the budget allows it.
    pub fn take_retry(&self, service: &ServiceId, rank: usize, now: Now) -> bool {
        let limits = self.retry_limits();
        let nodes = self.members().count();
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_take(&limits, rank, nodes, now)
    }
}

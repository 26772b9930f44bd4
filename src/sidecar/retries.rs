//! The budgets of a node for requests that reach a second target, by service.

use super::budget::BudgetBounds;
use super::node::{lock, Node};
use super::routes::RANKS;
use crate::prelude::*;

/// The least urgent rank.
const LAST_RANK: usize = RANKS - 1;

impl Node {
    fn bounds(&self) -> BudgetBounds {
        let s = &self.settings().sidecar;
        BudgetBounds {
            window: Duration::from_secs(s.budget_window_s),
            ratio: s.budget_ratio,
            least: s.budget_least,
        }
    }

    /// Counts a request for a service. Requests of callers and calls of the own target look the same; for another service
    /// than its own, each counts as a call of a run that is a repeat as often as the target's runs are.
    pub fn count_request(&self, service: &ServiceId, rank: usize, now: Now) {
        let bounds = self.bounds();
        let repeated = match *service == self.service {
            true => 0.0,
            false => self.slots.repeat_part(),
        };
        let mut all = lock(&self.budgets);
        all.entry(service.clone())
            .or_default()
            .request(&bounds, rank, repeated, now);
    }

    /// Whether calls to other services that the own target makes leave room in the budgets: a repeated run would make
    /// more of them.
    pub fn affords_repeat(&self, now: Now) -> bool {
        let bounds = self.bounds();
        let nodes = self.members().count();
        let mut all = lock(&self.budgets);
        let mut others = all.iter_mut().filter(|(s, _)| **s != self.service);
        others.all(|(_, b)| b.has_room(&bounds, LAST_RANK, nodes, now))
    }

    /// Takes one repeat from the budget of a service.
    pub fn take_repeat(&self, service: &ServiceId, rank: usize, now: Now) -> bool {
        let bounds = self.bounds();
        let nodes = self.members().count();
        let mut all = lock(&self.budgets);
        let budget = all.entry(service.clone()).or_default();
        budget.take(&bounds, rank, nodes, now)
    }
}

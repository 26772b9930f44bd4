//! Budget for requests that reach a second target, of one service at one node. Without I/O.

use std::collections::VecDeque;

use crate::prelude::*;

/// Parts into which the window is divided.
const BUCKETS: u32 = 10;
/// Part of the budget that is used, so that the sum over all nodes stays within it whatever they cannot tell each other:
/// nodes that restarted have an empty window, and calls of a repeated run count as repeats too.
const SAFE_PART: f64 = 0.5;

/// Bounds of the budget of a service over all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetBounds {
    /// Length of the window.
    pub window: Duration,
    /// Repeats for each request in a window.
    pub ratio: f64,
    /// Repeats in a window in any case, over all nodes.
    pub least: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u128,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service within the window.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    fn at(&mut self, b: &BudgetBounds, now: Now) -> &mut Bucket {
        let width = (b.window / BUCKETS).max(Duration::from_millis(1));
        let index = now.as_nanos() / width.as_nanos();
        while self
            .buckets
            .front()
            .is_some_and(|x| x.index + u128::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|x| x.index != index) {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request of a caller for the service.
    pub fn request(&mut self, b: &BudgetBounds, now: Now) {
        self.at(b, now).requests += 1;
    }

    /// Takes one repeat if the part of `nodes` nodes allows it.
    pub fn take(&mut self, b: &BudgetBounds, nodes: usize, now: Now) -> bool {
        self.at(b, now);
        let sum = |f: fn(&Bucket) -> u32| self.buckets.iter().map(f).sum::<u32>();
        let (requests, repeats) = (sum(|x| x.requests), sum(|x| x.repeats));
        let least = b.least / nodes.max(1) as f64;
        let allowed = SAFE_PART * (b.ratio * f64::from(requests) + least);
        let free = f64::from(repeats + 1) <= allowed;
        if free {
            self.at(b, now).repeats += 1;
        }
        free
    }
}

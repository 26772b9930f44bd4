//! Budget for requests that reach a second target, of one service at one node. Without I/O.

use std::collections::VecDeque;

use crate::prelude::*;

/// Parts into which the window is divided.
const BUCKETS: u32 = 10;
/// Part of the budget that is used, so that the sum over all nodes stays within it whatever they cannot tell each other:
/// nodes that restarted have an empty window, and which calls a repeated run makes is only estimated.
const SAFE_PART: f64 = 0.8;
/// Part of the budget that less urgent ranks use at most, so that some is left when the most urgent one needs it.
const OTHERS_PART: f64 = 0.5;

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
    requests: f64,
    repeats: f64,
    /// The most urgent rank that was asked for.
    top: usize,
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
                top: usize::MAX,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request of a rank for the service. `repeated` is the probability that a repeated run made it: such a call counts as
    /// a repeat although it is sent only once.
    pub fn request(&mut self, b: &BudgetBounds, rank: usize, repeated: f64, now: Now) {
        let bucket = self.at(b, now);
        bucket.requests += 1.0;
        bucket.top = bucket.top.min(rank);
        bucket.repeats += repeated;
    }

    /// Whether the part of `nodes` nodes allows another repeat of this rank.
    pub fn has_room(&mut self, b: &BudgetBounds, rank: usize, nodes: usize, now: Now) -> bool {
        self.at(b, now);
        let sum = |f: fn(&Bucket) -> f64| self.buckets.iter().map(f).sum::<f64>();
        let (requests, repeats) = (sum(|x| x.requests), sum(|x| x.repeats));
        let least = b.least / nodes.max(1) as f64;
        let top = self.buckets.iter().map(|x| x.top).min();
        let part = match top.is_none_or(|t| rank <= t) {
            true => SAFE_PART,
            false => OTHERS_PART,
        };
        let allowed = part * (b.ratio * requests + least);
        repeats + 1.0 <= allowed
    }

    /// Takes one repeat of this rank if the part of `nodes` nodes allows it.
    pub fn take(&mut self, b: &BudgetBounds, rank: usize, nodes: usize, now: Now) -> bool {
        let free = self.has_room(b, rank, nodes, now);
        if free {
            self.at(b, now).repeats += 1.0;
        }
        free
    }
}

//! Choice among the targets that are eligible for a request. No I/O.

use rand::{Rng, RngExt};

use crate::prelude::*;

/// Minimum reduction of the expected cost for which a request goes to another availability zone, for the most urgent
/// rank and for all others: traffic between zones is paid by the byte, and urgent responses are worth more of it.
const CROSS_AZ_GAIN: (f64, f64) = (0.03, 0.1);
/// Difference of the expected cost within which targets count as equally good.
const COST_TOLERANCE: f64 = 0.01;
/// Relative random noise added to each load, so that nodes with the same reports do not all choose the same target.
const LOAD_NOISE: f64 = 0.15;
/// Number of targets sampled for a choice, from the availability zone of this node and from all others each.
const SAMPLE_SIZE: usize = 3;

/// A target that is eligible for a request.
pub(crate) struct Candidate<'a> {
    pub(crate) node: &'a NodeId,
    /// Whether the target is in the availability zone of this node.
    pub(crate) own_az: bool,
    /// Expected wait, in seconds.
    pub(crate) wait: f64,
    /// Expected cost of late and failed responses, from 0 to 1.
    pub(crate) cost: f64,
    /// Requests at the target for each slot.
    pub(crate) load: f64,
    /// Requests that the target can run per second.
    pub(crate) capacity: f64,
}

/// Samples targets with a probability proportional to their capacity. Returns all if there are only a few: each then
/// gets enough requests to keep its load reports recent.
fn sample<'u, 'a, R>(list: &'u [Candidate<'a>], own_az: bool, rng: &mut R) -> Vec<&'u Candidate<'a>>
where
    R: Rng,
{
    let candidates: Vec<_> = list.iter().filter(|c| c.own_az == own_az).collect();
    if candidates.len() <= 2 * SAMPLE_SIZE {
        return candidates;
    }
    let total: f64 = candidates.iter().map(|c| c.capacity).sum();
    let mut sampled = Vec::with_capacity(SAMPLE_SIZE);
    for _ in 0..SAMPLE_SIZE {
        let mut point = rng.random::<f64>() * total;
        let found = candidates.iter().find(|c| {
            point -= c.capacity;
            point <= 0.0
        });
        sampled.extend(found.or(candidates.last()));
    }
    sampled
}

/// Returns the target with the lowest cost; among equally good ones that with the lowest load.
fn cheapest<'u, 'a, R>(sampled: &[&'u Candidate<'a>], rng: &mut R) -> Option<&'u Candidate<'a>>
where
    R: Rng,
{
    let min_cost = sampled.iter().map(|c| c.cost).fold(f64::MAX, f64::min);
    let equivalent = sampled
        .iter()
        .filter(|c| c.cost <= min_cost + COST_TOLERANCE);
    let noisy = equivalent.map(|c| (c.load * (1.0 + LOAD_NOISE * rng.random::<f64>()), *c));
    let found = noisy.min_by(|a, b| a.0.total_cmp(&b.0));
    found.map(|(_, c)| c)
}

/// Selects a target in the availability zone of this node unless one in another zone is clearly better.
pub(crate) fn select<'a, R>(
    candidates: &[Candidate<'a>],
    rank: usize,
    rng: &mut R,
) -> Option<&'a NodeId>
where
    R: Rng,
{
    let own = cheapest(&sample(candidates, true, rng), rng);
    let min_gain = match rank {
        0 => CROSS_AZ_GAIN.0,
        _ => CROSS_AZ_GAIN.1,
    };
    if let Some(c) = own.filter(|c| c.cost <= min_gain) {
        return Some(c.node);
    }
    let other = cheapest(&sample(candidates, false, rng), rng);
    let found = match (own, other) {
        (Some(own), Some(other)) if other.cost + min_gain < own.cost => Some(other),
        (own, other) => own.or(other),
    };
    found.map(|c| c.node)
}

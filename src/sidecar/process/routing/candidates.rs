//! Choice among the targets that are eligible for a request. No I/O.

use rand::{Rng, RngExt};

use crate::prelude::*;

/// Minimum reduction of the expected cost for which a request goes to another availability zone, for the most urgent
/// rank and for all others: traffic between zones is paid by the byte, and urgent responses are worth more of it.
const CROSS_AZ_GAIN: (f64, f64) = (0.03, 0.1);
/// Number of targets in the own availability zone that failed or rejected a request, from which on no gain is required
/// to send it to another zone. Failures are more recent than load reports, which are old where there are many targets.
const MIN_FAILURES_TO_LEAVE_AZ: usize = 2;
/// Difference of the expected cost within which targets count as equally good.
const COST_TOLERANCE: f64 = 0.01;
/// Relative random noise added to each load, so that nodes with the same reports do not all choose the same target.
const LOAD_NOISE: f64 = 0.15;
/// Number of targets sampled for a choice, from the availability zone of this node and from all others each.
const SAMPLE_SIZE: usize = 3;

/// A target that is eligible for a request.
pub(crate) struct Eligible<'a, T> {
    pub(crate) node: &'a NodeId,
    pub(crate) target: &'a T,
    /// Whether the target is in the availability zone of this node.
    pub(crate) own_az: bool,
    /// Requests that the target can run per second.
    pub(crate) capacity: f64,
}

/// What a request is expected to get at a target. It takes more time than the other steps of a choice, so it is made for
/// the sampled targets only.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evaluation {
    /// Expected wait, in seconds.
    pub(crate) wait: f64,
    /// Expected cost of late and failed responses, from 0 to 1.
    pub(crate) cost: f64,
    /// Requests at the target for each slot.
    pub(crate) load: f64,
}

/// An eligible target with its evaluation.
type Evaluated<'u, 'a, T> = (&'u Eligible<'a, T>, Evaluation);

/// Samples targets with a probability proportional to their capacity. Returns all if there are only a few: each then
/// gets enough requests to keep its load reports recent.
fn sample<'u, 'a, T, R>(
    list: &'u [Eligible<'a, T>],
    own_az: bool,
    rng: &mut R,
) -> Vec<&'u Eligible<'a, T>>
where
    R: Rng,
{
    let eligible: Vec<_> = list.iter().filter(|e| e.own_az == own_az).collect();
    if eligible.len() <= 2 * SAMPLE_SIZE {
        return eligible;
    }
    let total: f64 = eligible.iter().map(|e| e.capacity).sum();
    let mut sampled = Vec::with_capacity(SAMPLE_SIZE);
    for _ in 0..SAMPLE_SIZE {
        let mut point = rng.random::<f64>() * total;
        let found = eligible.iter().find(|e| {
            point -= e.capacity;
            point <= 0.0
        });
        sampled.extend(found.or(eligible.last()));
    }
    sampled
}

/// Returns the target with the lowest cost; among equally good ones that with the lowest load.
fn cheapest<'u, 'a, T, R, F>(
    sampled: Vec<&'u Eligible<'a, T>>,
    rng: &mut R,
    evaluate: F,
) -> Option<Evaluated<'u, 'a, T>>
where
    R: Rng,
    F: Fn(&Eligible<'a, T>) -> Evaluation,
{
    let evaluated: Vec<_> = sampled.into_iter().map(|e| (e, evaluate(e))).collect();
    let costs = evaluated.iter().map(|(_, v)| v.cost);
    let min_cost = costs.fold(f64::MAX, f64::min);
    let equivalent = evaluated
        .into_iter()
        .filter(|(_, v)| v.cost <= min_cost + COST_TOLERANCE);
    let noisy = equivalent.map(|c| (c.1.load * (1.0 + LOAD_NOISE * rng.random::<f64>()), c));
    let found = noisy.min_by(|a, b| a.0.total_cmp(&b.0));
    found.map(|(_, c)| c)
}

/// Selects a target in the availability zone of this node unless one in another zone is clearly better. `own_az_failures` is
/// the number of targets in this zone where the request failed or was rejected.
pub(crate) fn select<'u, 'a, T, R, F>(
    eligible: &'u [Eligible<'a, T>],
    rank: usize,
    own_az_failures: usize,
    rng: &mut R,
    evaluate: F,
) -> Option<Evaluated<'u, 'a, T>>
where
    R: Rng,
    F: Fn(&Eligible<'a, T>) -> Evaluation,
{
    let own = cheapest(sample(eligible, true, rng), rng, &evaluate);
    let min_gain = match rank {
        _ if own_az_failures >= MIN_FAILURES_TO_LEAVE_AZ => 0.0,
        0 => CROSS_AZ_GAIN.0,
        _ => CROSS_AZ_GAIN.1,
    };
    if own.is_some_and(|(_, v)| v.cost <= min_gain) {
        return own;
    }
    let other = cheapest(sample(eligible, false, rng), rng, &evaluate);
    match (own, other) {
        (Some(own), Some(other)) if other.1.cost + min_gain < own.1.cost => Some(other),
        (own, other) => own.or(other),
    }
}

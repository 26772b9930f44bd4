//! Choice among the targets that may take a request. Without I/O.

use rand::{Rng, RngExt};

use crate::prelude::*;

/// Part of late or failed answers that going to another zone has to save, for the most urgent rank and for others:
/// crossing zones is paid by the byte, and urgent answers are worth more of it.
const CROSSING: (f64, f64) = (0.03, 0.1);
/// Difference of that part within which targets count as equally good.
const EQUAL: f64 = 0.01;
/// Random part of each comparison, so that nodes with the same reports do not all choose the same target.
const NOISE: f64 = 0.15;
/// Targets that are drawn for a choice, in the own zone and in all others each.
const DRAWN: usize = 3;

/// A target that may be chosen.
pub(super) struct Usable<'a> {
    /// Node beside it.
    pub(super) node: &'a NodeId,
    /// Whether it is in the own zone.
    pub(super) own: bool,
    /// Expected wait, in seconds.
    pub(super) wait: f64,
    /// Expected loss, as a part of the worth of the answer.
    pub(super) cost: f64,
    /// Requests there for each slot.
    pub(super) load: f64,
    /// Requests that it can run in a second.
    pub(super) capacity: f64,
}

/// Draws some of the targets by their capacity. Of few targets all are compared: each gets enough requests for its reports
/// to be fresh.
fn draw<'u, 'a, R>(list: &'u [Usable<'a>], own: bool, rng: &mut R) -> Vec<&'u Usable<'a>>
where
    R: Rng,
{
    let side: Vec<_> = list.iter().filter(|u| u.own == own).collect();
    if side.len() <= 2 * DRAWN {
        return side;
    }
    let total: f64 = side.iter().map(|u| u.capacity).sum();
    let mut drawn = Vec::with_capacity(DRAWN);
    for _ in 0..DRAWN {
        let mut at = rng.random::<f64>() * total;
        let found = side.iter().find(|u| {
            at -= u.capacity;
            at <= 0.0
        });
        drawn.extend(found.or(side.last()));
    }
    drawn
}

/// The target with the least cost; of equally good ones that with the most room.
fn best<'u, 'a, R>(drawn: &[&'u Usable<'a>], rng: &mut R) -> Option<&'u Usable<'a>>
where
    R: Rng,
{
    let least = drawn.iter().map(|u| u.cost).fold(f64::MAX, f64::min);
    let equal = drawn.iter().filter(|u| u.cost <= least + EQUAL);
    let noisy = equal.map(|u| (u.load * (1.0 + NOISE * rng.random::<f64>()), *u));
    let found = noisy.min_by(|a, b| a.0.total_cmp(&b.0));
    found.map(|(_, u)| u)
}

/// The own zone unless another one is clearly better.
pub(super) fn nearest<'a, R>(usable: &[Usable<'a>], rank: usize, rng: &mut R) -> Option<&'a NodeId>
where
    R: Rng,
{
    let near = best(&draw(usable, true, rng), rng);
    let gain = match rank {
        0 => CROSSING.0,
        _ => CROSSING.1,
    };
    if let Some(u) = near.filter(|u| u.cost <= gain) {
        return Some(u.node);
    }
    let far = best(&draw(usable, false, rng), rng);
    let found = match (near, far) {
        (Some(near), Some(far)) if far.cost + gain < near.cost => Some(far),
        (near, far) => near.or(far),
    };
    found.map(|u| u.node)
}

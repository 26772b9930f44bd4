//! Choice of a target at a node, with the rollout of the service.

use std::ops::DerefMut;

use rand::Rng;

use crate::prelude::*;
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::rollout::view::Filter;
use crate::sidecar::process::routing::observe::Observer;
use crate::sidecar::process::routing::placement::{Choice, Criteria, TargetInfo};

impl Node {
    /// Chooses a target among those known to this node; see [`Placement::choose`].
    pub fn choose(&self, criteria: &Criteria<'_>) -> Choice {
        self.choose_with(criteria, || lock(&self.rng), &())
    }

    /// Chooses a target as [`Node::choose`] does, with another source of random numbers and an observer.
    pub(crate) fn choose_with<F, R, O>(
        &self,
        criteria: &Criteria<'_>,
        rng: F,
        observer: &O,
    ) -> Choice
    where
        F: Fn() -> R,
        R: DerefMut<Target: Rng + Sized>,
        O: Observer,
    {
        let now = self.clock.now();
        let choose = |filter: Option<&Filter>| {
            let allowed = |node: &NodeId, info: &TargetInfo| {
                filter.is_none_or(|f| f.allows(node, info.version.as_ref()))
            };
            let placement = self.placement();
            placement.choose_among(now, criteria, &mut *rng(), allowed, observer)
        };
        match self.rollout_passes(criteria.service, now) {
            Some(passes) => passes.choose(|f| choose(Some(f))),
            None => choose(None),
        }
    }
}

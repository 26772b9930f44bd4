//! Read-only views of a choice among targets, for queries that explain it. No I/O.

use crate::prelude::*;
use crate::sidecar::process::routing::known_target::{Target, TargetInfo};
use crate::sidecar::process::routing::placement::{Criteria, Placement};
use crate::sidecar::version::routes::RANKS;

/// Why a target is not eligible for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It does not accept requests.
    NotReady,
    /// Its node does not respond on a link.
    Unreachable,
    /// It is about to stop.
    Leaving,
    /// A rollout does not allow its version for the request.
    Rollout,
    /// It rejected such a request a moment before.
    BackOff,
}

/// Is told which targets a choice excludes and compares. Requests use `()`, whose functions are empty.
pub trait Observer {
    /// A target is not eligible.
    fn on_excluded(&self, _node: &NodeId, _why: Exclusion) {}

    /// A target is eligible.
    fn on_eligible(&self, _node: &NodeId) {}

    /// A target was sampled and is compared with others.
    fn on_sampled(&self, _node: &NodeId) {}
}

impl Observer for () {}

/// A target with the estimate of what a request gets there.
#[derive(Debug, Clone)]
pub(crate) struct TargetView {
    pub(crate) node: NodeId,
    pub(crate) info: TargetInfo,
    /// Requests that occupied slots at the last report.
    pub(crate) running: u32,
    /// Waiting requests that one of this rank would have queued behind at the last report.
    pub(crate) waiting: u32,
    /// Requests that it gets at once, if fewer than its slots.
    pub(crate) pace: Option<u16>,
    /// Time since the last report; `None` before the first.
    pub(crate) report_age: Option<Duration>,
    /// Remaining back-off for the request.
    pub(crate) back_off: Duration,
    /// Expected wait, in seconds.
    pub(crate) wait: f64,
    /// Expected cost of late and failed responses, from 0 to 1.
    pub(crate) cost: f64,
}

impl Target {
    /// Why the target is not eligible, apart from a back-off; `allowed` says whether a rollout allows it.
    pub(super) fn exclusion<F>(&self, allowed: F) -> Option<Exclusion>
    where
        F: FnOnce(&TargetInfo) -> bool,
    {
        match &self.info {
            info if !info.ready => Some(Exclusion::NotReady),
            info if !info.reachable => Some(Exclusion::Unreachable),
            _ if self.leaving => Some(Exclusion::Leaving),
            info if !allowed(info) => Some(Exclusion::Rollout),
            _ => None,
        }
    }
}

impl Placement {
    /// All targets of the service of a request, also those that are not eligible.
    pub(crate) fn views(&self, now: Now, req: &Criteria<'_>) -> Vec<TargetView> {
        let Some(service) = self.services.get(req.service) else {
            return Vec::new();
        };
        let known = service.nodes.iter();
        let known = known.filter_map(|node| Some((node, self.targets.get(node)?)));
        let view = |(node, t): (&NodeId, &Target)| {
            let evaluation = t.evaluate(req, service, &self.times, now);
            let reported = t.mean_requests.map(|_| t.reported_at);
            TargetView {
                node: node.clone(),
                info: t.info.clone(),
                running: t.load.running,
                waiting: t.load.waiting[req.rank.min(RANKS - 1)],
                pace: t.pace(now),
                report_age: reported.map(|at| now.saturating_sub(at)),
                back_off: t.back_off(req, now),
                wait: evaluation.wait,
                cost: evaluation.cost,
            }
        };
        known.map(view).collect()
    }
}

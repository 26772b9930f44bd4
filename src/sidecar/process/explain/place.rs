//! Choice of the target for a request that is only explained.

use std::cell::RefCell;

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::process::explain::answer::{millis, TargetAnswer, TargetState};
use crate::sidecar::process::explain::Rejection;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::routing::crash_suspects::CrashVerdict;
use crate::sidecar::process::routing::observe::{Exclusion, Observer, TargetView};
use crate::sidecar::process::routing::placement::Criteria;
use crate::sidecar::request::admit::{self, TargetRequest};
use crate::sidecar::request::admit_upload;
use crate::sidecar::request::attempt::{
    chosen_node, criteria, lacks_slot, plan_attempt, shorter_back_off, Avoided,
};
use crate::sidecar::request::attempts::MAX_TRIED_NODES;

/// States of the targets that the choices of one request have observed.
#[derive(Default)]
struct Trace(RefCell<BTreeMap<NodeId, TargetState>>);

impl Trace {
    fn set(&self, node: &NodeId, state: TargetState) {
        self.0.borrow_mut().insert(node.clone(), state);
    }

    fn get(&self, node: &NodeId) -> Option<TargetState> {
        self.0.borrow().get(node).copied()
    }
}

impl Observer for Trace {
    fn on_excluded(&self, node: &NodeId, why: Exclusion) {
        // A target that one filter of a rollout allows is not excluded by the other one.
        if why != Exclusion::Rollout || self.get(node).is_none() {
            self.set(node, why.into());
        }
    }

    fn on_eligible(&self, node: &NodeId) {
        if matches!(self.get(node), None | Some(TargetState::Rollout)) {
            self.set(node, TargetState::NotSampled);
        }
    }

    fn on_sampled(&self, node: &NodeId) {
        if self.get(node) != Some(TargetState::NotAdmitted) {
            self.set(node, TargetState::Compared);
        }
    }
}

/// Chooses a target as the attempts of a request do, up to the first one that is not known to reject it: only the target of
/// this node can be checked without sending the request. `refusal` is a rejection that comes before the choice.
pub(super) fn place(
    n: &Node,
    mut request: TargetRequest,
    rank: usize,
    upload: bool,
    refusal: Option<Rejection>,
) -> (Result<NodeId, Rejection>, Vec<TargetAnswer>) {
    let now = n.clock.now();
    let trace = Trace::default();
    request.end_before(n.stop_end());
    let placed = match n.crash_verdict(&request) {
        _ if n.fairness().must_shed(&request.service, rank) => {
            Err(without_back_off(Failure::not_run(Reason::HeldOff)))
        }
        CrashVerdict::Rejected(back_off) => {
            let failure = Failure {
                back_off,
                ..Failure::not_run(Reason::Quarantined)
            };
            Err(without_back_off(failure))
        }
        verdict => {
            let may_retry = verdict == CrashVerdict::Allowed;
            choose(n, &mut request, upload, may_retry, &trace)
        }
    };
    let placed = refusal.map_or(placed, Err);
    let criteria = criteria(&request, upload, &[], now);
    let views = n.placement().views(now, &criteria);
    let targets = views.into_iter().map(|v| target_answer(v, &placed, &trace));
    let targets = targets.collect();
    (placed, targets)
}

/// A rejection without a back-off of a target.
fn without_back_off(failure: Failure) -> Rejection {
    Rejection {
        failure,
        back_off: Duration::ZERO,
    }
}

/// Plans attempts until one is at a target that does not reject the request. A rejection is treated as by the attempts of a
/// request: see `record_result` and `may_retry` there.
fn choose(
    n: &Node,
    request: &mut TargetRequest,
    upload: bool,
    may_retry: bool,
    trace: &Trace,
) -> Result<NodeId, Rejection> {
    let (mut tried, mut full) = (Vec::new(), Vec::new());
    let mut back_off = Duration::ZERO;
    let mut last_failure: Option<Failure> = None;
    loop {
        let avoided = Avoided {
            tried: &tried,
            full: &full,
        };
        let choose_once = |c: &Criteria<'_>| n.choose_with(c, || Box::new(rand::rng()), trace);
        let plan = plan_attempt(n, request, upload, avoided, choose_once, n.clock.now());
        let node = match chosen_node(plan.choice, &mut back_off) {
            Ok(node) => node,
            Err(f) => {
                return Err(Rejection {
                    failure: last_failure.unwrap_or(f),
                    back_off,
                })
            }
        };
        request.max_wait = plan.max_wait;
        request.limit = n.placement().limit(&node);
        let admitted = match upload {
            _ if node != n.id => Ok(()),
            true => admit_upload::try_admission(n, request),
            false => admit::try_admission(n, request),
        };
        let Err(f) = admitted else {
            return Ok(node);
        };
        trace.set(&node, TargetState::NotAdmitted);
        match request.max_wait.is_some() && lacks_slot(f.reason) {
            true => full.push(node),
            false => {
                tried.push(node);
                if lacks_slot(f.reason) {
                    back_off = shorter_back_off(back_off, f.back_off);
                }
            }
        }
        if !may_retry || tried.len() >= MAX_TRIED_NODES {
            return Err(Rejection {
                failure: f,
                back_off,
            });
        }
        last_failure = Some(f);
    }
}

fn target_answer(v: TargetView, placed: &Result<NodeId, Rejection>, trace: &Trace) -> TargetAnswer {
    let state = match placed {
        Ok(node) if *node == v.node => TargetState::Chosen,
        _ => trace.get(&v.node).unwrap_or(TargetState::NotSampled),
    };
    TargetAnswer {
        node: v.node.to_string(),
        az: v.info.az.to_string(),
        target: v.info.id.to_string(),
        version: v.info.version.as_ref().map(SmolStr::to_string),
        state,
        running: v.running,
        waiting: v.waiting,
        slots: v.info.slots,
        pace: v.pace,
        report_age_ms: v.report_age.map(millis),
        back_off_ms: millis(v.back_off),
        wait_ms: (v.wait * 1000.0) as u64,
        cost: v.cost,
    }
}

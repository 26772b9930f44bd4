//! Connects the balancer and the retry budget of the entry node to the clock and to the records of all nodes.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use rand::rngs::SmallRng;
use rand::RngExt;

use crate::prelude::*;
use crate::process::clock::Clock;
use crate::process::members::control_view::{LivenessMap, Usable};
use crate::process::members::record::{Record, Target, TargetState};
use crate::process::node::Process;
use crate::process::routing::balance::{AttemptEnd, Balancer, Choice, ReportedState, TargetInfo};
use crate::process::routing::budget::TokenBucket;
use crate::request::reason::{Failure, Reason};
use crate::request::retry::{self, Decision, FailedAttempt};
use crate::settings::Settings;

/// Records of all known nodes.
pub type Records = Arc<BTreeMap<NodeId, Record>>;

struct State {
    balancer: Balancer,
    bucket: TokenBucket,
    rng: SmallRng,
    view: ClusterView,
}

/// Records and liveness of the nodes that the balancer was last updated from.
#[derive(Clone, Default)]
struct ClusterView {
    records: Records,
    liveness: Arc<LivenessMap>,
}

/// Target choice and retry budget of the entry node.
pub struct Routing {
    state: Mutex<State>,
    retry_policy: crate::settings::RetryPolicy,
    clock: Arc<dyn Clock>,
}

/// An attempt at a target that has not ended; counts as cancelled if it is dropped without a result.
pub struct PendingAttempt {
    routing: Arc<Routing>,
    node: NodeId,
    rank: RankId,
    start: Now,
    end: Option<AttemptEnd>,
}

/// Targets that changed between two views; `None` for a node that no longer has a target.
fn changed_targets(
    p: &Process,
    old: &ClusterView,
    new: &ClusterView,
) -> Vec<(NodeId, Option<TargetInfo>)> {
    let is_same = |node: &NodeId, r: &Record| {
        old.records
            .get(node)
            .is_some_and(|o| o.order() == r.order())
            && old.liveness.usable(node) == new.liveness.usable(node)
    };
    let changed = new.records.iter().filter(|(n, r)| !is_same(n, r));
    let changed =
        changed.map(|(n, r)| (n.clone(), r.target.as_ref().map(|t| target_info(p, r, t))));
    let removed = old.records.keys().filter(|n| !new.records.contains_key(*n));
    changed.chain(removed.map(|n| (n.clone(), None))).collect()
}

fn target_info(p: &Process, r: &Record, t: &Target) -> TargetInfo {
    TargetInfo {
        service: t.service.clone(),
        az: r.az.clone(),
        slots: t.slots,
        reported: match t.state {
            TargetState::Ready => ReportedState::Ready,
            TargetState::Draining => ReportedState::Draining,
            TargetState::Starting | TargetState::Gone => ReportedState::Unready,
        },
        age: Duration::from_millis(t.age_ms),
        incarnation: r.incarnation,
        doubt: match p.usable(r) {
            Usable::Yes => 0,
            Usable::Suspect => 1,
            Usable::LastResort | Usable::No => 2,
        },
    }
}

impl Routing {
    /// Creates the routing state of a node. `seed` initializes the random number generator.
    pub fn new(s: &Settings, clock: Arc<dyn Clock>, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                balancer: Balancer::new(s.policy.balance, s.node.az.clone()),
                bucket: TokenBucket::default(),
                rng: rand::SeedableRng::seed_from_u64(seed),
                view: ClusterView::default(),
            }),
            retry_policy: s.policy.retries,
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Updates the balancer from the records and the liveness that the control task has published. The comparison of
    /// all records takes about 1 ms for 8,000 nodes and runs outside the lock, so that no request waits for it.
    pub fn refresh(&self, p: &Process) {
        let new = ClusterView {
            records: p.records.load_full(),
            liveness: p.view.liveness.load_full(),
        };
        let old = self.state().view.clone();
        let changes = changed_targets(p, &old, &new);
        let now = self.clock.now();
        let mut s = self.state();
        for (node, target) in changes {
            match target {
                Some(info) => s.balancer.set(now, &node, info),
                None => s.balancer.remove(now, &node),
            }
        }
        s.view = new;
    }

    /// Adds the part of a retry that a new request earns to the retry budget.
    pub fn deposit_retry(&self) {
        self.state().bucket.deposit();
    }

    /// Chooses a target and returns its node and relay address.
    ///
    /// # Errors
    ///
    /// No target is usable, or all usable targets are in back-off for this rank.
    pub fn choose(
        &self,
        service: &str,
        rank: &str,
        tried: &[NodeId],
    ) -> Result<(NodeId, SocketAddr), Failure> {
        let now = self.clock.now();
        let mut s = self.state();
        let State {
            balancer,
            rng,
            view,
            ..
        } = &mut *s;
        match balancer.choose(now, service, rank, tried, rng) {
            Choice::Target(node) => match view.records.get(&node) {
                Some(r) => Ok((node, r.addresses.relay)),
                None => Err(Failure::not_run(Reason::NoTarget)),
            },
            Choice::BackOff(time) => Err(Failure {
                back_off: time,
                ..Failure::not_run(Reason::HeldOff)
            }),
            Choice::None => Err(Failure::not_run(Reason::NoTarget)),
        }
    }

    /// Whether a service without a usable target has one that may become usable again.
    pub fn may_recover(&self, service: &str) -> bool {
        self.state().balancer.may_recover(service)
    }

    /// Random duration up to `max`.
    pub fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(self.state().rng.random::<f64>())
    }

    /// Starts to count an attempt at a target.
    pub fn begin_attempt(self: &Arc<Self>, node: &NodeId, rank: &RankId) -> PendingAttempt {
        self.state().balancer.started(node);
        PendingAttempt {
            routing: self.clone(),
            node: node.clone(),
            rank: rank.clone(),
            start: self.clock.now(),
            end: None,
        }
    }

    /// Decides whether and when a failed attempt is retried.
    pub fn decide(&self, f: &FailedAttempt) -> Decision {
        let mut s = self.state();
        let State { bucket, rng, .. } = &mut *s;
        retry::decide(self.retry_policy, f, bucket, rng)
    }
}

impl PendingAttempt {
    /// Records that the target responded, with its load in percent of its slots if it reported one.
    pub fn responded(&mut self, load_percent: Option<u32>) {
        let latency = self.routing.clock.now().saturating_sub(self.start);
        self.end = Some(AttemptEnd::Responded {
            latency,
            load_percent,
        });
    }

    /// Records a server error of the target, which counts as a failure.
    pub fn server_error(&mut self) {
        self.end = Some(AttemptEnd::Failed);
    }

    /// Records that the attempt failed or was rejected.
    pub fn failed(&mut self, f: &Failure) {
        self.end = Some(match f.reason {
            Reason::NotSent | Reason::NotReady | Reason::Lost | Reason::BadResponse => {
                AttemptEnd::Failed
            }
            Reason::Deadline if f.outcome == crate::request::reason::Outcome::Unknown => {
                AttemptEnd::Failed
            }
            _ => AttemptEnd::Rejected(f.back_off),
        });
    }
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        let now = self.routing.clock.now();
        let end = self.end.unwrap_or(AttemptEnd::Cancelled);
        let mut s = self.routing.state();
        s.balancer.ended(now, &self.node, &self.rank, end);
    }
}

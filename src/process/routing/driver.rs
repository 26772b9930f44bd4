//! Drives the balancer and the retry budget of the entry node.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use rand::rngs::SmallRng;
use rand::RngExt;

use crate::prelude::*;
use crate::process::clock::Clock;
use crate::process::members::record::{Record, Target, TargetState};
use crate::process::members::view::{LivenessMap, Usable};
use crate::process::node::Process;
use crate::process::routing::balance::{Balance, Choice, End, Hint, TargetInfo};
use crate::process::routing::budget::Bucket;
use crate::request::reason::{Failure, Reason};
use crate::request::retry::{self, Decision, Failed};
use crate::settings::Settings;

/// Records of all known nodes.
pub type Records = Arc<BTreeMap<NodeId, Record>>;

struct State {
    balance: Balance,
    bucket: Bucket,
    rng: SmallRng,
    views: Views,
}

/// Records and marks that the balancer has taken over.
#[derive(Clone, Default)]
struct Views {
    records: Records,
    members: Arc<LivenessMap>,
}

/// Shared state of the entry node's choices.
pub struct Routing {
    state: Mutex<State>,
    policy: crate::settings::RetryPolicy,
    clock: Arc<dyn Clock>,
}

/// A request that was sent to a target; counts as cancelled when it is dropped without an end.
pub struct Sent {
    owner: Arc<Routing>,
    node: NodeId,
    rank: RankId,
    start: Now,
    end: Option<End>,
}

/// Targets that changed between two views; `None` for a node that has no target any more.
fn changes(p: &Process, old: &Views, new: &Views) -> Vec<(NodeId, Option<TargetInfo>)> {
    let is_same = |node: &NodeId, r: &Record| {
        old.records
            .get(node)
            .is_some_and(|o| o.order() == r.order())
            && old.members.usable(node) == new.members.usable(node)
    };
    let changed = new.records.iter().filter(|(n, r)| !is_same(n, r));
    let changed = changed.map(|(n, r)| (n.clone(), r.target.as_ref().map(|t| info(p, r, t))));
    let removed = old.records.keys().filter(|n| !new.records.contains_key(*n));
    changed.chain(removed.map(|n| (n.clone(), None))).collect()
}

fn info(p: &Process, r: &Record, t: &Target) -> TargetInfo {
    TargetInfo {
        service: t.service.clone(),
        az: r.az.clone(),
        slots: t.slots,
        hint: match t.state {
            TargetState::Ready => Hint::Ready,
            TargetState::Draining => Hint::Leaving,
            TargetState::Starting | TargetState::Gone => Hint::Unready,
        },
        age: Duration::from_millis(t.age_ms),
        born: r.incarnation,
        doubt: match p.usable(r) {
            Usable::Yes => 0,
            Usable::Suspect => 1,
            Usable::LastResort | Usable::No => 2,
        },
    }
}

impl Routing {
    /// State of a node with these settings. `seed` starts the random generator.
    pub fn new(s: &Settings, clock: Arc<dyn Clock>, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                balance: Balance::new(s.policy.balance, s.node.az.clone()),
                bucket: Bucket::default(),
                rng: rand::SeedableRng::seed_from_u64(seed),
                views: Views::default(),
            }),
            policy: s.policy.retries,
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes over the records and marks that the control task has published. The comparison of all records, about 1 ms
    /// for 8,000 nodes, runs outside the lock, so that no request waits for it.
    pub fn refresh(&self, p: &Process) {
        let new = Views {
            records: p.records.load_full(),
            members: p.view.liveness.load_full(),
        };
        let old = self.state().views.clone();
        let changes = changes(p, &old, &new);
        let now = self.clock.now();
        let mut s = self.state();
        for (node, target) in changes {
            match target {
                Some(info) => s.balance.set(now, &node, info),
                None => s.balance.remove(now, &node),
            }
        }
        s.views = new;
    }

    /// A new request arrived; it earns a part of a retry.
    pub fn earn(&self) {
        self.state().bucket.earn();
    }

    /// Chooses a target and names its node and relay address.
    ///
    /// # Errors
    ///
    /// No target is usable, or all of them want no work of this rank.
    pub fn choose(
        &self,
        service: &str,
        rank: &str,
        tried: &[NodeId],
    ) -> Result<(NodeId, SocketAddr), Failure> {
        let now = self.clock.now();
        let mut s = self.state();
        let State {
            balance,
            rng,
            views,
            ..
        } = &mut *s;
        match balance.choose(now, service, rank, tried, rng) {
            Choice::Target(node) => match views.records.get(&node) {
                Some(r) => Ok((node, r.addresses.relay)),
                None => Err(Failure::not_run(Reason::NoTarget)),
            },
            Choice::HeldOff(time) => Err(Failure {
                back_off: time,
                ..Failure::not_run(Reason::HeldOff)
            }),
            Choice::None => Err(Failure::not_run(Reason::NoTarget)),
        }
    }

    /// Whether a service without a usable target has one that may become usable again.
    pub fn may_recover(&self, service: &str) -> bool {
        self.state().balance.may_recover(service)
    }

    /// A random time up to this one.
    pub fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(self.state().rng.random::<f64>())
    }

    /// Counts a request at a target from now on.
    pub fn sent(self: &Arc<Self>, node: &NodeId, rank: &RankId) -> Sent {
        self.state().balance.started(node);
        Sent {
            owner: self.clone(),
            node: node.clone(),
            rank: rank.clone(),
            start: self.clock.now(),
            end: None,
        }
    }

    /// Decides about a failed attempt.
    pub fn decide(&self, f: &Failed) -> Decision {
        let mut s = self.state();
        let State { bucket, rng, .. } = &mut *s;
        retry::decide(self.policy, f, bucket, rng)
    }
}

impl Sent {
    /// The target answered.
    pub fn answered(&mut self, load_percent: Option<u32>) {
        let latency = self.owner.clock.now().saturating_sub(self.start);
        self.end = Some(End::Answered {
            latency,
            load_percent,
        });
    }

    /// The target answered with a server error, which counts against it.
    pub fn broken(&mut self) {
        self.end = Some(End::Failed);
    }

    /// The attempt failed.
    pub fn failed(&mut self, f: &Failure) {
        self.end = Some(match f.reason {
            Reason::NotSent | Reason::NotReady | Reason::Lost | Reason::BadAnswer => End::Failed,
            Reason::Deadline if f.outcome == crate::request::reason::Outcome::Unknown => {
                End::Failed
            }
            _ => End::Refused(f.back_off),
        });
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.owner.clock.now();
        let end = self.end.unwrap_or(End::Cancelled);
        let mut s = self.owner.state();
        s.balance.ended(now, &self.node, &self.rank, end);
    }
}

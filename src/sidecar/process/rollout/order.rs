//! Orders of rollouts, and what nodes tell each other about them. No I/O.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::store::Revision;

/// Order to move the traffic of a service to the targets of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Service whose traffic moves.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version to which it moves.
    #[serde(rename = "v")]
    pub to: SmolStr,
    /// Time from the order within which the rollout must end.
    #[serde(rename = "l")]
    pub limit: Duration,
}

/// State of a rollout as the operator sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The traffic is being moved.
    Running,
    /// All traffic has moved.
    Completed,
    /// All traffic is back at the old version.
    RolledBack,
}

/// Status of a rollout for the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// State of the rollout.
    pub state: RolloutState,
    /// Version that was ordered.
    pub to: SmolStr,
}

/// Step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// The order was found in the store at the start of a process. Whether its rollout runs or has ended is not known yet.
    #[serde(rename = "l")]
    Listed,
    /// The order is known, and no request goes to the new version yet.
    #[serde(rename = "o")]
    Ordered,
    /// This fraction of the requests goes to a few targets of the new version, up to a cumulative cap.
    #[serde(rename = "c")]
    Canary(f64),
    /// This fraction of the requests goes to all targets of the new version.
    #[serde(rename = "m")]
    Move(f64),
    /// The new version has all requests; final.
    #[serde(rename = "d")]
    Completed,
    /// The new version gets no requests; final.
    #[serde(rename = "b")]
    RolledBack,
}

impl Step {
    /// Whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Fraction of the requests that go to the new version.
    pub fn share(self) -> f64 {
        match self {
            Self::Listed | Self::Ordered | Self::RolledBack => 0.0,
            Self::Canary(share) | Self::Move(share) => share,
            Self::Completed => 1.0,
        }
    }

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Ordered => "ordered",
            Self::Canary(_) => "canary",
            Self::Move(_) => "move",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// What nodes tell each other about a rollout. The decider sends it at short intervals, other nodes pass it on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Order of the rollout.
    #[serde(rename = "o")]
    pub order: Order,
    /// Revision of the order in the store.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Version of the old targets; `None` if they do not report one, or nobody has determined it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub from: Option<SmolStr>,
    /// Version of an earlier order that this one replaced before it was completed; it gets no requests.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub avoid: Option<SmolStr>,
    /// Time since the order, in ms. Durations only, because clocks differ.
    #[serde(rename = "e")]
    pub elapsed_ms: u64,
    /// Term of the decider, greater for a later one; 0 before the first.
    #[serde(rename = "t", default)]
    pub term: u64,
    /// Number of the message within the term.
    #[serde(rename = "n", default)]
    pub seq: u64,
    /// Current step.
    #[serde(rename = "p")]
    pub step: Step,
    /// Cumulative fraction of the requests since the order that a node may send to the canary targets.
    #[serde(rename = "c", default)]
    pub cap: f64,
    /// Nodes of the canary targets.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub canary: Vec<NodeId>,
    /// Node that decides; empty before the first.
    #[serde(rename = "d", default)]
    pub decider: NodeId,
}

impl News {
    /// What a node that has read an order from the store tells the others.
    pub fn of_order(order: Order, revision: Revision, step: Step) -> Self {
        Self {
            order,
            revision,
            from: None,
            avoid: None,
            elapsed_ms: 0,
            term: 0,
            seq: 0,
            step,
            cap: 0.0,
            canary: Vec::new(),
            decider: NodeId::default(),
        }
    }

    /// News of an order that replaces another one of the same service. An order that returns to the version from which
    /// the replaced one moved finds its targets in use, so that all requests stay with them.
    pub fn of_replacement(order: Order, revision: Revision, old: &Self) -> Self {
        let news = Self::of_order(order, revision, Step::Ordered);
        match old.step {
            Step::Completed => news,
            _ if old.order.to == news.order.to => Self {
                from: old.from.clone(),
                avoid: old.avoid.clone(),
                ..news
            },
            _ => Self {
                step: match old.from.as_ref() == Some(&news.order.to) {
                    true => Step::Move(1.0),
                    false => Step::Ordered,
                },
                avoid: Some(old.order.to.clone()),
                ..news
            },
        }
    }

    /// Whether these news replace others about the same order. A completed rollout is recorded in the store, so it
    /// outranks all other news of its order; a rollback outranks every step, also that of a later decider.
    pub fn replace(&self, old: &Self) -> bool {
        let rank = |n: &Self| match n.step {
            Step::Completed => 2,
            Step::RolledBack => 1,
            _ => 0,
        };
        (rank(self), self.term, self.seq) > (rank(old), old.term, old.seq)
    }
}

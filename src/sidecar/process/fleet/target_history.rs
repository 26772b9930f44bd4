//! What the other nodes have said about their targets, to be told to them again after they have restarted. No I/O.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::target::state::{TargetId, TargetState};

/// Number of targets of one node that are remembered; a target that leaves is replaced by one or two others.
const MAX_TARGETS: usize = 4;
/// Time for which the targets of a node that is gone are remembered; longer than a node takes to start again, and than
/// a target runs after it has announced its stop.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// A target that a node had, as another node remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownTarget {
    /// Id of the target.
    pub id: TargetId,
    /// Its last known incarnation.
    pub incarnation: u64,
    /// Whether its stop was announced.
    pub departed: bool,
}

#[derive(Debug, Default)]
struct NodeHistory {
    /// The latest last.
    targets: VecDeque<KnownTarget>,
    updated_at: Now,
}

/// The last targets of other nodes.
#[derive(Debug, Default)]
pub struct TargetHistory {
    nodes: HashMap<NodeId, NodeHistory>,
}

impl TargetHistory {
    /// Records the state of the target of a node.
    pub fn record(&mut self, node: &NodeId, t: &TargetState, now: Now) {
        if t.incarnation > 0 {
            let known = KnownTarget {
                id: t.id.clone(),
                incarnation: t.incarnation,
                departed: t.leaving,
            };
            self.record_target(node, known, now);
        }
    }

    /// Records a target of a node. That an incarnation has departed is final.
    pub fn record_target(&mut self, node: &NodeId, known: KnownTarget, now: Now) {
        if !self.nodes.contains_key(node) {
            self.nodes.retain(|_, h| now < h.updated_at + KEPT_FOR);
        }
        let history = self.nodes.entry(node.clone()).or_default();
        history.updated_at = now;
        let same = |k: &&mut KnownTarget| k.id == known.id && k.incarnation == known.incarnation;
        if let Some(k) = history.targets.iter_mut().find(same) {
            k.departed |= known.departed;
            return;
        }
        if history.targets.len() == MAX_TARGETS {
            history.targets.pop_front();
        }
        history.targets.push_back(known);
    }

    /// Whether an incarnation of a target of a node, or a later one, announced its stop.
    pub fn has_departed(&self, node: &str, t: &TargetState) -> bool {
        let known = self.nodes.get(node).map(|h| &h.targets);
        known.is_some_and(|targets| {
            targets
                .iter()
                .any(|k| k.departed && k.id == t.id && t.incarnation <= k.incarnation)
        })
    }

    /// The last targets of a node.
    pub fn targets(&self, node: &str) -> Vec<KnownTarget> {
        let known = self.nodes.get(node);
        known.map_or_else(Vec::new, |h| h.targets.iter().cloned().collect())
    }
}

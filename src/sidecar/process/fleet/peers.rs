//! Reaction of a node to what it learns about the other nodes and their targets.

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::fleet::members::{MemberChange, NodeRecord};
use crate::sidecar::process::fleet::target_history::KnownTarget;
use crate::sidecar::process::node::{bool_str, lock, Node};
use crate::sidecar::process::routing::placement::TargetInfo;
use crate::sidecar::process::target::state::TargetState;

impl Node {
    /// Applies the record of a node, of this one too, to the placement.
    pub(crate) fn update_placement(&self, r: &NodeRecord) {
        let own = r.node == self.id;
        let now = self.clock.now();
        match &r.target {
            Some(t) => {
                let departed = lock(&self.target_history).has_departed(&r.node, t);
                let info = TargetInfo {
                    service: r.service.clone(),
                    az: r.az.clone(),
                    slots: t.slots,
                    ready: t.ready && !r.leaving && !departed,
                    reachable: own || self.links.is_open(&r.node),
                    id: t.id.clone(),
                    incarnation: t.incarnation,
                    version: t.version.clone(),
                };
                self.on_target_version(&r.service, t.version.as_ref(), now);
                self.placement().set(&r.node, info, now);
            }
            None => self.placement().remove(&r.node),
        }
    }

    /// Applies a change of the known nodes to the placement, and opens a link to a new node.
    pub fn apply_change(self: &Arc<Self>, change: MemberChange) {
        match change {
            MemberChange::Set(r) => {
                self.record_target(&r);
                self.update_placement(&r);
                self.links.maintain(self, &r.node);
                self.log.event(
                    "member_learned",
                    &[
                        ("node", &r.node),
                        ("target", r.target.as_ref().map_or("none", |t| &t.id)),
                        (
                            "ready",
                            bool_str(r.target.as_ref().is_some_and(|t| t.ready)),
                        ),
                    ],
                );
            }
            MemberChange::Forget(node) => {
                self.placement().remove(&node);
                self.log.event("member_forgotten", &[("node", &node)]);
            }
        }
    }

    /// Records the target of another node. A node that has restarted and does not know that its target announced its
    /// stop is told so.
    fn record_target(&self, r: &NodeRecord) {
        let Some(t) = &r.target else { return };
        let mut history = lock(&self.target_history);
        history.record(&r.node, t, self.clock.now());
        if t.ready && history.has_departed(&r.node, t) {
            let known = Head::KnownTargets(history.targets(&r.node));
            self.links.send(&r.node, Message::without_payload(known));
        }
    }

    /// Message that tells another node what this node remembers of its targets; `None` if that is nothing.
    pub(crate) fn known_targets_message(&self, node: &str) -> Option<Message> {
        let known = lock(&self.target_history).targets(node);
        (!known.is_empty()).then(|| Message::without_payload(Head::KnownTargets(known)))
    }

    /// Keeps an announced stop of another node's target.
    pub(crate) fn keep_departure(&self, node: &NodeId, known: &KnownTarget) {
        let now = self.clock.now();
        lock(&self.target_history).record_target(node, known.clone(), now);
        let record = self.members().get(node).cloned();
        if let Some(r) = record {
            self.update_placement(&r);
        }
    }

    /// Merges a record that another node sent on a link.
    pub fn on_peer_record(self: &Arc<Self>, record: NodeRecord) {
        self.quotas().on_process(&record.node, record.incarnation);
        let change = self.members().merge_received(record, self.clock.now());
        if let Some(change) = change {
            self.apply_change(change);
        }
    }

    /// Merges the state of another node's target.
    pub fn on_peer_target(
        self: &Arc<Self>,
        node: &NodeId,
        sequence: u64,
        target: Option<TargetState>,
    ) {
        let record = self.members().get(node).cloned();
        if let Some(r) = record {
            self.on_peer_record(NodeRecord {
                sequence,
                target,
                ..r
            });
        }
    }
}

//! Other nodes of the fleet, as known from the store and from links. No I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::target::state::TargetState;

/// Time since the last contact after which a node without a record in the store is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Description of a node that the node writes to the store and sends on its links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Node id, which is part of the key of the record in the store.
    pub node: NodeId,
    /// Start of its process, in ms since 1970; raised above that of any other process with the same node id.
    pub incarnation: Incarnation,
    /// Incremented with each change of the record.
    pub sequence: u64,
    /// Availability zone of the node and of its target.
    pub az: Az,
    /// Address to which other nodes open links.
    pub relay: SocketAddr,
    /// Service of its target.
    pub service: ServiceId,
    /// State of its target; `None` if unknown.
    pub target: Option<TargetState>,
    /// Whether the node is about to stop.
    pub leaving: bool,
    /// Bandwidth of the link of its VM, in Mbit/s; 0 if unknown.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Latest plausible start of a process, in ms since 1970 (the year 10000).
const MAX_INCARNATION: Incarnation = 253_402_300_800_000;
/// Greatest plausible number of changes of a record.
const MAX_SEQUENCE: u64 = 1 << 53;

impl NodeRecord {
    /// Whether a record can be from the node `node`. Another writer may leave odd values in the store, and a record with
    /// the greatest order would shadow all records of its node.
    pub fn is_plausible(&self, node: &str) -> bool {
        self.node == node && self.incarnation <= MAX_INCARNATION && self.sequence <= MAX_SEQUENCE
    }

    /// Orders the records of one node; the latest is the greatest.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

#[derive(Debug)]
struct Member {
    record: NodeRecord,
    in_store: bool,
    last_contact: Now,
}

/// Change of the known nodes, to be applied to the rest of the state of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A record was added or changed.
    Set(NodeRecord),
    /// A node was forgotten: it has no record in the store and no recent contact.
    Forget(NodeId),
}

/// All known nodes except this one.
#[derive(Debug)]
pub struct Members {
    own: NodeId,
    nodes: BTreeMap<NodeId, Member>,
}

impl Members {
    /// Creates an empty set of other nodes for the node `own`.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
        }
    }

    /// Number of known nodes of the fleet, including this one.
    pub fn count(&self) -> usize {
        self.nodes.len() + 1
    }

    /// Record of a node, if it is known.
    pub fn get(&self, node: &str) -> Option<&NodeRecord> {
        self.nodes.get(node).map(|m| &m.record)
    }

    /// Ids and zones of the other nodes.
    pub fn zones(&self) -> impl Iterator<Item = (NodeId, Az)> + '_ {
        let nodes = self.nodes.iter();
        nodes.map(|(id, m)| (id.clone(), m.record.az.clone()))
    }

    fn merge(&mut self, record: NodeRecord, in_store: bool, now: Now) -> Option<MemberChange> {
        if record.node == self.own {
            return None;
        }
        match self.nodes.get_mut(&record.node) {
            Some(m) => {
                m.in_store |= in_store;
                m.last_contact = now;
                if record.order() <= m.record.order() {
                    return None;
                }
                m.record = record.clone();
            }
            None => {
                let member = Member {
                    record: record.clone(),
                    in_store,
                    last_contact: now,
                };
                self.nodes.insert(record.node.clone(), member);
            }
        }
        Some(MemberChange::Set(record))
    }

    /// Merges a record from the store. Returns the change if the node is new or its record newer.
    pub fn merge_stored(&mut self, record: NodeRecord, now: Now) -> Option<MemberChange> {
        self.merge(record, true, now)
    }

    /// Merges a record that its node sent on a link. Returns the change as [`Members::merge_stored`] does.
    pub fn merge_received(&mut self, record: NodeRecord, now: Now) -> Option<MemberChange> {
        self.merge(record, false, now)
    }

    /// Merges a complete listing of the store: nodes that are missing from it no longer have a record.
    pub fn merge_listing(&mut self, records: Vec<NodeRecord>, now: Now) -> Vec<MemberChange> {
        for m in self.nodes.values_mut() {
            m.in_store = false;
        }
        let changes = records
            .into_iter()
            .filter_map(|r| self.merge_stored(r, now));
        changes.collect()
    }

    /// Notes that the record of a node was deleted from the store. The node is kept as long as it responds on its link.
    pub fn mark_deleted(&mut self, node: &str) {
        if let Some(m) = self.nodes.get_mut(node) {
            m.in_store = false;
        }
    }

    /// Records that a node responded on a link.
    pub fn record_contact(&mut self, node: &str, now: Now) {
        if let Some(m) = self.nodes.get_mut(node) {
            m.last_contact = now;
        }
    }

    /// Forgets nodes that have neither a record in the store nor recent contact. Returns them.
    pub fn expire(&mut self, now: Now) -> Vec<MemberChange> {
        let expired = |m: &Member| !m.in_store && now >= m.last_contact + FORGET_AFTER;
        let found = self.nodes.iter().filter(|(_, m)| expired(m));
        let found: Vec<_> = found.map(|(n, _)| n.clone()).collect();
        for n in &found {
            self.nodes.remove(n);
        }
        found.into_iter().map(MemberChange::Forget).collect()
    }
}

//! Nodes that are known, from the store and from their links. Without I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::target::TargetState;
use crate::prelude::*;

/// Time after the last contact after which a node without a record in the store is forgotten.
pub const FORGET: Duration = Duration::from_secs(30);

/// What a node says about itself, in the store and on its links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Node.
    pub node: NodeId,
    /// Start of its process, in ms since 1970; raised above any other process of the same name.
    pub incarnation: Incarnation,
    /// Grows with each change of the record.
    pub sequence: u64,
    /// Availability zone.
    pub az: Az,
    /// Address for links of other nodes.
    pub relay: SocketAddr,
    /// Service of its target.
    pub service: ServiceId,
    /// Its target, once known.
    pub target: Option<TargetState>,
    /// Whether the node is about to end.
    pub leaving: bool,
}

impl NodeRecord {
    /// Orders the records of one node.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

#[derive(Debug)]
struct Member {
    record: NodeRecord,
    listed: bool,
    contact: Now,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A record is new or changed.
    Set(NodeRecord),
    /// A node is forgotten.
    Forget(NodeId),
}

/// All nodes but this one.
#[derive(Debug)]
pub struct Members {
    own: NodeId,
    nodes: BTreeMap<NodeId, Member>,
}

impl Members {
    /// Only the node itself.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
        }
    }

    /// Nodes of the fleet as far as known, this one included.
    pub fn count(&self) -> usize {
        self.nodes.len() + 1
    }

    /// Record of a node.
    pub fn get(&self, node: &str) -> Option<&NodeRecord> {
        self.nodes.get(node).map(|m| &m.record)
    }

    fn merge(&mut self, record: NodeRecord, listed: bool, now: Now) -> Option<Change> {
        if record.node == self.own {
            return None;
        }
        match self.nodes.get_mut(&record.node) {
            Some(m) => {
                m.listed |= listed;
                m.contact = now;
                if record.order() <= m.record.order() {
                    return None;
                }
                m.record = record.clone();
            }
            None => {
                let member = Member {
                    record: record.clone(),
                    listed,
                    contact: now,
                };
                self.nodes.insert(record.node.clone(), member);
            }
        }
        Some(Change::Set(record))
    }

    /// Takes a record that the store holds.
    pub fn stored(&mut self, record: NodeRecord, now: Now) -> Option<Change> {
        self.merge(record, true, now)
    }

    /// Takes a record that its node sent on a link.
    pub fn met(&mut self, record: NodeRecord, now: Now) -> Option<Change> {
        self.merge(record, false, now)
    }

    /// Takes a whole listing: nodes that it lacks have lost their record.
    pub fn listed(&mut self, records: Vec<NodeRecord>, now: Now) -> Vec<Change> {
        for m in self.nodes.values_mut() {
            m.listed = false;
        }
        let changes = records.into_iter().filter_map(|r| self.stored(r, now));
        changes.collect()
    }

    /// A node's record vanished from the store. Its links decide whether it is gone.
    pub fn vanished(&mut self, node: &str) {
        if let Some(m) = self.nodes.get_mut(node) {
            m.listed = false;
        }
    }

    /// A node answered on a link.
    pub fn heard(&mut self, node: &str, now: Now) {
        if let Some(m) = self.nodes.get_mut(node) {
            m.contact = now;
        }
    }

    /// Forgets nodes that are neither listed nor heard of. Returns them.
    pub fn tick(&mut self, now: Now) -> Vec<Change> {
        let gone = |m: &Member| !m.listed && now >= m.contact + FORGET;
        let found = self.nodes.iter().filter(|(_, m)| gone(m));
        let found: Vec<_> = found.map(|(n, _)| n.clone()).collect();
        for n in &found {
            self.nodes.remove(n);
        }
        found.into_iter().map(Change::Forget).collect()
    }
}

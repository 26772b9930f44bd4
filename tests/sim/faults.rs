//! Faults of the simulated site, and commits of new versions.

use super::*;

/// A fault, or a commit, that the simulation injects. Nodes and zones are given by number, durations in
/// milliseconds.
#[derive(Debug, Clone)]
pub enum Fault {
    Crash {
        node: usize,
        down_ms: u64,
    },
    Pause {
        node: usize,
        ms: u64,
    },
    Partition {
        zone: usize,
        ms: u64,
    },
    StoreDown {
        ms: u64,
    },
    /// The store is restored to an older state.
    StoreRollback,
    /// Not a fault: an operator commits a new version.
    Commit,
    /// Frames are lost with this probability, and also duplicated and reordered.
    PacketLoss {
        percent: u32,
        ms: u64,
    },
}

impl Sim {
    pub fn inject(&mut self, delay: u64, fault: Fault) {
        self.push(delay, Event::Fault(fault));
    }

    pub(super) fn apply_fault(&mut self, f: Fault) {
        match f {
            Fault::Crash { node, down_ms } if self.nodes[node].process.is_some() => {
                let p = self.nodes[node].process.take().unwrap();
                self.nodes[node].generation += 1;
                for (c, end) in p.links.into_values() {
                    self.conns[c].open = false;
                    if !self.is_partitioned(node, self.conns[c].ends[1 - end].0) {
                        self.push(5, Event::LinkDown(c, 1 - end));
                    }
                }
                self.push(down_ms, Event::Restart(node));
            }
            Fault::Pause { node, ms } => self.nodes[node].paused_until = self.now + ms,
            Fault::Partition { zone, ms } => drop(self.partitions.insert(zone, self.now + ms)),
            Fault::StoreDown { ms } => self.store.down_until = self.now + ms,
            Fault::PacketLoss { percent, ms } => self.packet_loss = (percent, self.now + ms),
            // A version that no node holds yet would be lost in the rollback.
            Fault::StoreRollback if 2 * self.nodes_at_newest() > self.nodes.len() => {
                self.store.head = self.store.head.saturating_sub(1);
                self.store.revision += 1;
            }
            // Operators commit on the newest version only. After a rollback the nodes first have to publish it again.
            Fault::Commit if self.store.head == self.versions.len() => {
                let parent = self
                    .versions
                    .last()
                    .map_or_else(Digest::default, |s| s.version.hash);
                self.versions
                    .push(version(self.versions.len() as u64 + 1, parent));
                self.store.head += 1;
                self.store.revision += 1;
            }
            Fault::Commit | Fault::Crash { .. } | Fault::StoreRollback => {}
        }
    }
}

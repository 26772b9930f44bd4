//! Queries of the state of the simulated site.

use super::*;

impl Sim {
    /// Number of nodes that hold the newest version.
    pub(super) fn nodes_at_newest(&self) -> usize {
        self.held_versions()
            .iter()
            .filter(|v| **v == self.newest())
            .count()
    }

    /// Number of the newest committed version.
    pub fn newest(&self) -> u64 {
        self.versions.len() as u64
    }

    /// Number of the version in force at each running node.
    pub fn held_versions(&self) -> Vec<u64> {
        let processes = self.nodes.iter().filter_map(|n| n.process.as_ref());
        processes.map(|p| p.dissemination.held().number).collect()
    }

    /// Liveness of every node as seen by node `n`, which has to be running.
    pub fn liveness(&self, n: usize) -> BTreeMap<String, Liveness> {
        let p = self.nodes[n].process.as_ref().unwrap();
        let members = p.membership.table().members().iter();
        members
            .map(|(id, m)| (id.to_string(), m.liveness))
            .collect()
    }

    /// Pairs of nodes of which one is not running, or the first does not have the current record of the second.
    pub fn outdated_entries(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (i, a) in self.nodes.iter().enumerate() {
            for (j, b) in self.nodes.iter().enumerate() {
                let (Some(a), Some(b)) = (&a.process, &b.process) else {
                    out.push(format!("n{i} or n{j} is down"));
                    continue;
                };
                let seen = a.membership.table().entry(&b.membership.own().node);
                let same = seen.as_ref().is_some_and(|e| {
                    e.liveness == Liveness::Alive && e.record == *b.membership.own()
                });
                if !same {
                    out.push(format!("n{i} sees n{j} as {seen:?}"));
                }
            }
        }
        out
    }

    /// Number of links of each running node.
    pub fn links(&self) -> Vec<usize> {
        let processes = self.nodes.iter().filter_map(|n| n.process.as_ref());
        processes.map(|p| p.membership.links().len()).collect()
    }

    /// Number of watchers in each zone.
    pub fn watchers(&self) -> Vec<usize> {
        let mut out = vec![0; self.zones];
        for (n, node) in self.nodes.iter().enumerate() {
            let watcher = node
                .process
                .as_ref()
                .is_some_and(|p| p.watcher.is_watcher());
            out[n % self.zones] += usize::from(watcher);
        }
        out
    }
}

//! What a test asks about the state of the simulated site.

use super::*;

impl Sim {
    pub(super) fn holders(&self) -> usize {
        self.held().iter().filter(|v| **v == self.newest()).count()
    }

    /// Number of the newest committed version.
    pub fn newest(&self) -> u64 {
        self.versions.len() as u64
    }

    /// Version numbers in force.
    pub fn held(&self) -> Vec<u64> {
        let procs = self.nodes.iter().filter_map(|n| n.proc.as_ref());
        procs.map(|p| p.spread.held().number).collect()
    }

    /// Mark of every node as seen by one, if that one runs.
    pub fn marks(&self, n: usize) -> BTreeMap<String, Liveness> {
        let p = self.nodes[n].proc.as_ref().unwrap();
        let members = p.membership.table().members().iter();
        members
            .map(|(id, m)| (id.to_string(), m.liveness))
            .collect()
    }

    /// Nodes for which another one's record is not current, or missing.
    pub fn disagreements(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (i, a) in self.nodes.iter().enumerate() {
            for (j, b) in self.nodes.iter().enumerate() {
                let (Some(a), Some(b)) = (&a.proc, &b.proc) else {
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

    /// Links of each node.
    pub fn links(&self) -> Vec<usize> {
        let procs = self.nodes.iter().filter_map(|n| n.proc.as_ref());
        procs.map(|p| p.membership.links().len()).collect()
    }

    /// Number of watchers by zone.
    pub fn watchers(&self) -> Vec<usize> {
        let mut out = vec![0; self.zones];
        for (n, node) in self.nodes.iter().enumerate() {
            let watcher = node.proc.as_ref().is_some_and(|p| p.watch.is_watcher());
            out[n % self.zones] += usize::from(watcher);
        }
        out
    }
}

//! Requests of the simulated fleet: their way to a target that admits them, and their results there.

use super::*;

impl Sim {
    /// Sends one request from a random node to a random target that its view allows.
    pub(super) fn request(&mut self) {
        let entry = self.rng.random_range(0..self.nodes.len());
        if !self.nodes[entry].up {
            return;
        }
        let coin = self.rng.random();
        let (mut found, mut excluded) = (None, Vec::new());
        for _ in 0..4 {
            if !self.nodes[entry].table.entries.contains_key(SERVICE) {
                return;
            }
            let candidates = self.candidates(entry, coin, &excluded);
            if candidates.is_empty() {
                break;
            }
            let target = candidates[self.rng.random_range(0..candidates.len())];
            if self.send_to(entry, target) {
                found = Some(target);
                break;
            }
            excluded.push(target);
        }
        match found {
            Some(target) => self.run_at(target),
            None => self.totals.unserved += 1,
        }
    }

    /// Targets that the view of a node allows: those of the first filter that any target passes.
    fn candidates(&self, entry: usize, coin: f64, excluded: &[usize]) -> Vec<usize> {
        let now = self.now;
        let node = &self.nodes[entry];
        let passes = node.table.entries[SERVICE]
            .view
            .passes(coin, false, &[], now);
        let filters = [Some(&passes.first), passes.second.as_ref()];
        let choose = |f: &Filter| {
            let ok = |(i, n): &(usize, &Node)| {
                n.up && n.side == node.side
                    && now >= n.starts_at
                    && !excluded.contains(i)
                    && f.allows(&n.id, Some(&n.version))
            };
            let all = self.nodes.iter().enumerate().filter(ok);
            all.map(|(i, _)| i).collect::<Vec<_>>()
        };
        let mut found = filters.into_iter().flatten().map(choose);
        found.find(|c| !c.is_empty()).unwrap_or_default()
    }

    /// Sends a request from a node to a target. Returns whether the target admits it.
    fn send_to(&mut self, entry: usize, target: usize) -> bool {
        let version = self.nodes[target].version.clone();
        let id = self.nodes[target].id.clone();
        let admits = self.nodes[target]
            .table
            .entries
            .get(SERVICE)
            .is_none_or(|e| e.view.admits(&id, false, Some(&version)));
        let view = &mut self.nodes[entry]
            .table
            .entries
            .get_mut(SERVICE)
            .unwrap()
            .view;
        view.on_sent(Some(&version));
        view.on_result(Some(&version), admits);
        admits
    }

    fn run_at(&mut self, target: usize) {
        let now = self.now;
        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
        let n = &mut self.nodes[target];
        n.load += 1.0;
        let is_new = n.version == "v2";
        let (failed, time) = match is_new {
            true if self.bad_from.is_some_and(|at| now >= at) => {
                (self.rng.random::<f64>() < 0.3, ms(100))
            }
            true => (self.behaviour)(now, route, n.load, &mut self.rng),
            false => (self.old_behaviour)(now, route, n.load, &mut self.rng),
        };
        let time = time.div_f64(n.speed);
        // A target is cold for two seconds after its start, and its node knows it.
        let cold = now < n.starts_at + ms(2000);
        let slow = time > ms(250);
        if let Some(e) = n.table.entries.get_mut(SERVICE) {
            let result = [SampleResult::Good, SampleResult::Failed][usize::from(failed)];
            if e.ended_at.is_none() {
                let time = (!cold).then_some(time);
                e.report
                    .count(&route.into(), Some(result == SampleResult::Failed), time);
            }
        }
        let t = &mut self.totals;
        if now <= self.limit {
            t.old += u64::from(!is_new);
            t.new += u64::from(is_new);
        }
        if is_new {
            t.last_new = now;
            t.bad += u64::from(failed || slow);
            if t.bad >= 50 {
                t.fiftieth_bad.get_or_insert(now);
            }
        }
    }
}

//! Random faults.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::Sim;

impl Sim {
    /// Runs for this time, in ms, with random faults, while some tenants send far more than their quotas.
    pub fn play_faults(&mut self, seed: u64, ms: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let nodes = self.nodes.len();
        self.loss = 0.05;
        self.repeats = 0.05;
        self.delay_ms = (0, 60);
        for t in &mut self.tenants {
            let factor = rng.random_range(0.3..5.0);
            t.arrivals.iter_mut().for_each(|a| a.1 *= factor);
        }
        let end = self.now + ms;
        while self.now < end {
            let i = rng.random_range(0..nodes);
            match rng.random_range(0..8) {
                0 => {
                    let modulus = rng.random_range(2..5);
                    self.cut_off(|j| j % modulus == 0);
                }
                1 => self.cut_off(|_| false),
                2 => {
                    self.stop(i);
                    self.run(300);
                    self.start(i);
                }
                3 => {
                    let third: Vec<usize> = (0..nodes).filter(|j| j % 3 == i % 3).collect();
                    third.iter().for_each(|j| self.stop(*j));
                    self.run(400);
                    third.iter().for_each(|j| self.start(*j));
                }
                4 => self.freeze(i, true),
                5 => (0..nodes).for_each(|j| self.freeze(j, false)),
                6 => self.change_nodes(&mut rng),
                _ => {}
            }
            let wait = rng.random_range(100..2500);
            self.run(wait);
        }
    }

    /// One of the last nodes leaves for good, or comes back; the others learn of it within two seconds.
    fn change_nodes(&mut self, rng: &mut SmallRng) {
        let nodes = self.nodes.len();
        let i = nodes - 1 - rng.random_range(0..4);
        let leaves = self.nodes[i].up;
        match leaves {
            true => self.stop(i),
            false => {
                self.nodes[i].known = (0..nodes)
                    .filter(|j| *j == i || self.nodes[*j].up)
                    .collect();
                self.start(i);
            }
        }
        for j in (0..nodes).filter(|j| *j != i) {
            self.run(rng.random_range(0..2000 / nodes as u64));
            let known = &mut self.nodes[j].known;
            known.retain(|k| *k != i);
            if !leaves {
                known.push(i);
                known.sort_unstable();
            }
        }
    }
}

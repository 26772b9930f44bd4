//! Messages between the nodes.

use std::collections::VecDeque;

use dragonflyquay::sidecar::process::quota::{UnitAsk, UnitGrant};
use rand::RngExt;
use smol_str::SmolStr;

use super::{Sim, NOTICE_MS, STEP_MS};

#[derive(Clone)]
pub(super) enum Body {
    Asks(Vec<UnitAsk>),
    Grants(Vec<UnitGrant>),
    Hello,
}

pub(super) struct Packet {
    at: u64,
    from: usize,
    to: usize,
    process: u64,
    body: Body,
}

impl Sim {
    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        self.nodes[a].up && self.nodes[b].up && self.cut[a] == self.cut[b]
    }

    pub(super) fn update_links(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let usable = a != b && self.connected(a, b) && !self.nodes[b].frozen;
                if usable == self.linked[a][b] {
                    self.changed_at[a][b] = self.now;
                } else if self.now >= self.changed_at[a][b] + NOTICE_MS {
                    self.linked[a][b] = usable;
                    self.changed_at[a][b] = self.now;
                    if usable {
                        self.send(a, b, Body::Hello);
                    }
                }
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, body: Body) {
        let hello = matches!(body, Body::Hello);
        if !hello {
            self.messages.0 += 1;
            self.messages.1 += u64::from(self.nodes[from].az != self.nodes[to].az);
        }
        if !hello && self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.repeats));
        for _ in 0..copies {
            let delay = self.rng.random_range(self.delay_ms.0..=self.delay_ms.1);
            let packet = Packet {
                at: self.now + delay,
                from,
                to,
                process: self.nodes[from].process,
                body: body.clone(),
            };
            self.packets.push_back(packet);
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let due: VecDeque<Packet> = {
            let (due, rest) = std::mem::take(&mut self.packets)
                .into_iter()
                .partition(|p| p.at <= now);
            self.packets = rest;
            due
        };
        for p in due {
            if !self.connected(p.from, p.to) {
                continue;
            }
            if self.nodes[p.to].frozen {
                self.packets.push_back(Packet {
                    at: now + STEP_MS,
                    ..p
                });
                continue;
            }
            self.receive(p);
        }
    }

    fn receive(&mut self, p: Packet) {
        self.refresh(p.to);
        let clock = self.clock(p.to);
        let from = (self.nodes[p.from].id.clone(), p.process);
        let policy = &mut self.nodes[p.to].policy;
        match p.body {
            Body::Hello => policy.on_process(&from.0, from.1),
            Body::Grants(grants) => {
                policy.on_grants(&from, &grants, clock);
                self.nodes[p.to].poll_at = self.now;
            }
            Body::Asks(asks) => {
                let tenants = &self.tenants;
                let quota = |t: &SmolStr| tenants.iter().find(|x| x.name == *t).map(|x| x.quota);
                let grants = policy.on_asks(&from, &asks, quota, clock);
                if !grants.is_empty() {
                    self.send(p.to, p.from, Body::Grants(grants));
                }
            }
        }
    }
}

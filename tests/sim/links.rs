//! Links between simulated nodes: delivery of frames with faults, closing and dialing.

use super::*;

impl Sim {
    pub(super) fn send(&mut self, n: usize, link: LinkId, f: &Frame) {
        let Some(p) = self.nodes[n].process.as_mut() else {
            return;
        };
        let Some((c, end)) = p.links.get(&link).copied() else {
            return;
        };
        p.membership.frame_sent(millis(self.now), link);
        let data = f.encode().unwrap();
        self.sent_bytes += data.len() as u64;
        let to = self.conns[c].ends[1 - end].0;
        let packet_loss = match self.packet_loss {
            (percent, until) if until > self.now => percent,
            _ => 0,
        };
        if self.is_partitioned(n, to) || self.rng.random_range(0..100) < packet_loss {
            return;
        }
        // During packet loss frames are also duplicated, and reordered by random delays.
        let duplicate = self.rng.random_range(0..100) < packet_loss;
        for _ in 0..1 + u32::from(duplicate) {
            let delay = if packet_loss > 0 {
                self.rng.random_range(1..80)
            } else {
                2
            };
            self.push(delay, Event::Frame(c, 1 - end, data.clone()));
        }
    }

    pub(super) fn deliver(&mut self, c: usize, end: usize, data: &[u8]) {
        let (n, generation, link) = self.conns[c].ends[end];
        let f = Frame::decode(data).unwrap();
        self.step_node(n, generation, |p, now| {
            if !p.links.contains_key(&link) {
                return (vec![], vec![]);
            }
            if let Frame::Floor(v) = &f {
                p.dissemination
                    .update_floor(FloorEvent::Peer(Some(*v).filter(|v| v.number > 0)));
            }
            if let Frame::Announce(v) | Frame::Held(v) | Frame::ContentRequest(v, _) = &f {
                p.membership.raise_peer_floor(link, *v);
            }
            let out = p.membership.receive(now, link, f.clone());
            (out, p.dissemination.handle_frame(now, link, f))
        });
    }

    pub(super) fn close(&mut self, n: usize, link: LinkId) {
        let Some(p) = self.nodes[n].process.as_mut() else {
            return;
        };
        if let Some((c, end)) = p.links.remove(&link) {
            self.conns[c].open = false;
            if !self.is_partitioned(n, self.conns[c].ends[1 - end].0) {
                self.push(5, Event::LinkDown(c, 1 - end));
            }
        }
    }

    pub(super) fn reachable(&self, n: usize, to: SocketAddr) -> bool {
        let to = to.port() as usize - 10_000;
        self.nodes[to].process.is_some()
            && self.remaining_pause(to) == 0
            && !self.is_partitioned(n, to)
    }

    pub(super) fn end_dial(
        &mut self,
        n: usize,
        generation: u64,
        address: SocketAddr,
        refused: bool,
    ) {
        let to = address.port() as usize - 10_000;
        if self.nodes[n].generation != generation {
            return;
        }
        if refused || !self.reachable(n, address) {
            let e = LinkError::Failed("connection failed".into());
            return self.step_node(n, generation, |p, now| {
                p.membership.dial_failed(now, address, &e, &mut p.rng);
                (vec![], vec![])
            });
        }
        let c = self.conns.len();
        let link = c as LinkId + 1;
        let other = self.nodes[to].generation;
        self.conns.push(Conn {
            ends: [(n, generation, link), (to, other, link)],
            open: true,
        });
        let remote = |sim: &Self, n: usize| Remote {
            node: format!("n{n}").into(),
            incarnation: sim.nodes[n].generation,
            az: format!("z{}", sim.zone(n)).into(),
        };
        let ends = [
            (n, generation, Some(address), to, 0),
            (to, other, None, n, 1),
        ];
        for (me, generation, dialed, peer, end) in ends {
            let remote = remote(self, peer);
            self.step_node(me, generation, |p, now| {
                p.links.insert(link, (c, end));
                let node = remote.node.clone();
                let out = p.membership.link_up(now, link, remote, dialed);
                let open = p.membership.links().contains_key(&link);
                let announcement = open.then(|| p.dissemination.link_up(link, node)).flatten();
                (out, announcement.into_iter().collect())
            });
        }
    }
}

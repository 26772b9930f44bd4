//! Actions of the state machines of a node, as the simulation carries them out.

use super::*;

impl Sim {
    pub(super) fn apply(
        &mut self,
        n: usize,
        generation: u64,
        members: Vec<membership::Action>,
        versions: Vec<dissemination::Action>,
    ) {
        for a in members {
            self.apply_members(n, generation, a);
        }
        for a in versions {
            self.apply_versions(n, generation, a);
        }
    }

    fn apply_members(&mut self, n: usize, generation: u64, a: membership::Action) {
        match a {
            membership::Action::Send(link, f) => self.send(n, link, &f),
            membership::Action::Dial(to) => {
                let reachable = self.reachable(n, to);
                let delay = if reachable { 20 } else { 2000 };
                let stopped = self.nodes[to.port() as usize - 10_000].process.is_none();
                let delay = if stopped { 5 } else { delay };
                self.push(delay, Event::Dialed(n, generation, to, stopped));
            }
            membership::Action::Close(link) => {
                self.close(n, link);
                let now = millis(self.now);
                let p = self.nodes[n].process.as_mut().unwrap();
                let out = p.dissemination.link_down(now, link);
                self.apply(n, generation, vec![], out);
            }
            membership::Action::PreviousVersion(v) => {
                let p = self.nodes[n].process.as_mut().unwrap();
                p.dissemination.update_floor(FloorEvent::Peer(Some(v)));
            }
            membership::Action::IncarnationRaised(_) => {}
        }
    }

    fn apply_versions(&mut self, n: usize, generation: u64, a: dissemination::Action) {
        match a {
            dissemination::Action::Send(link, f) => self.send(n, link, &f),
            dissemination::Action::Check(c) => {
                let result = c.check();
                let now = millis(self.now);
                let p = self.nodes[n].process.as_mut().unwrap();
                let out = p.dissemination.checked(now, &c, result);
                self.apply(n, generation, vec![], out);
            }
            dissemination::Action::Adopt(s) => {
                let node = &mut self.nodes[n];
                // A restarted node may adopt again the version that it had before.
                assert!(
                    s.version == node.token || s.version.number > node.token.number,
                    "n{n} went back from {:?} to {:?}",
                    node.token,
                    s.version
                );
                node.token = s.version;
            }
            // A node that was paused or partitioned may offer an older version to one that waits after its restart.
            dissemination::Action::Reject("version-below-floor") => {}
            dissemination::Action::Reject(kind) => panic!("n{n} rejected {kind}"),
        }
    }
}

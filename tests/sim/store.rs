//! Simulated store: calls of the watchers, leases, the rendezvous list and the head.

use super::*;

impl Sim {
    pub(super) fn store_call(&mut self, n: usize, generation: u64, call: Call, until: u64) {
        if self.nodes[n].generation != generation || self.nodes[n].process.is_none() {
            return;
        }
        let zone = self.zone(n);
        if self.store.down_until > self.now
            || self.partitions.get(&zone).is_some_and(|t| *t > self.now)
        {
            return self.step_node(n, generation, |p, now| {
                p.watcher.failed(now, &call, &mut p.rng);
                (vec![], vec![])
            });
        }
        let result = match &call {
            Call::WatchHead(from) if self.store.revision <= from.number() && until > self.now => {
                return self.push(TICK_MS, Event::Store(n, generation, call, until));
            }
            Call::WatchHead(from) => CallResult::WatchHead(
                Revision::new(Era::default(), self.store.revision),
                self.store.revision != from.number(),
            ),
            Call::ClaimSlot => CallResult::ClaimSlot(
                self.claim_slot(zone)
                    .map(|id| LeaseId::new(Era::default(), id)),
            ),
            Call::Renew(id) => CallResult::Renew(self.renew_lease(zone, id.number())),
            Call::ReadHead => return self.read_head(n, generation),
            Call::Republish => {
                let held = self.nodes[n].token.number as usize;
                if held > self.store.head {
                    self.store.head = held;
                    self.store.revision += 1;
                }
                CallResult::Republish
            }
            Call::ReadRendezvous => {
                let rendezvous = self.store.rendezvous.clone();
                let p = self.nodes[n].process.as_mut().unwrap();
                p.membership.add_seeds(&rendezvous);
                CallResult::ReadRendezvous
            }
            Call::RepairRendezvous => {
                if !self.store.rendezvous.contains(&address(n)) {
                    self.store.rendezvous.push(address(n));
                }
                CallResult::RepairRendezvous
            }
        };
        self.step_node(n, generation, |p, now| {
            p.watcher.finished(now, result, &mut p.rng);
            (vec![], vec![])
        });
    }

    pub(super) fn claim_slot(&mut self, zone: usize) -> Option<u64> {
        let now = self.now;
        let slots = &mut self.store.slots;
        let free = |s: &usize| slots.get(&(zone, *s)).is_none_or(|(_, end)| *end <= now);
        let slot = (0..WATCHERS_PER_AZ).find(free)?;
        self.store.next_lease += 1;
        let end = now + LEASE_TTL.as_millis() as u64;
        slots.insert((zone, slot), (self.store.next_lease, end));
        Some(self.store.next_lease)
    }

    pub(super) fn renew_lease(&mut self, zone: usize, id: u64) -> bool {
        let now = self.now;
        let slots = self.store.slots.iter_mut();
        let held = slots
            .filter(|((z, _), (lease, end))| *z == zone && *lease == id && *end > now)
            .map(|(_, slot)| slot)
            .next();
        match held {
            Some(slot) => {
                slot.1 = now + LEASE_TTL.as_millis() as u64;
                true
            }
            None => false,
        }
    }

    pub(super) fn read_head(&mut self, n: usize, generation: u64) {
        let head = match self.store.head {
            0 => None,
            i => Some(self.versions[i - 1].clone()),
        };
        let revision = Revision::new(Era::default(), self.store.revision);
        self.step_node(n, generation, |p, now| {
            let v = head
                .as_ref()
                .map_or_else(VersionRef::default, |s| s.version);
            let action = p.dissemination.compare_head(v, now);
            let republish = matches!(action, HeadAction::Republish { .. });
            p.watcher
                .finished(now, CallResult::ReadHead(revision, republish), &mut p.rng);
            let newer = head.filter(|s| s.version.number > p.dissemination.held().number);
            (
                vec![],
                newer.map_or_else(Vec::new, |s| p.dissemination.fetched(now, s)),
            )
        });
    }
}

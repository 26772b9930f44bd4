//! What a node does when the state of its own target changes.

use super::node::{flag, lock, Node};
use super::target::{TargetId, TargetState};
use crate::prelude::*;
use crate::request::reason::Reason;

impl Node {
    /// Takes the state of the own target over into the own record, the placement and the queue.
    pub fn refresh_target(self: &Arc<Self>) {
        let now = self.clock.now();
        let state = self.target().state(now);
        let slots = self.target().slots();
        let mut own = lock(&self.own);
        let before = own.target.clone();
        if before == state {
            return;
        }
        own.target = state.clone();
        own.sequence += 1;
        let record = own.clone();
        drop(own);
        let id = |t: &Option<TargetState>| t.as_ref().map(|t| t.id.clone());
        if id(&before) != id(&state) {
            self.pool.clear();
            self.slots.update(|q, _| {
                q.reset();
                Vec::new()
            });
        }
        self.slots.update(|q, now| q.set_slots(now, slots));
        self.log.event("target_changed", &target_pairs(&state));
        self.set_place(&record);
        self.changed.send_modify(|n| *n += 1);
    }

    /// The target's address belongs to another target now.
    pub fn target_replaced(self: &Arc<Self>, id: &TargetId) {
        self.target().on_replaced(id);
        self.log.event("target_replaced", &[("target", id)]);
        self.slots.update(|q, _| q.reject_all(Reason::NotReady));
        self.refresh_target();
    }
}

fn target_pairs(t: &Option<TargetState>) -> [(&'static str, &str); 2] {
    match t {
        Some(t) => [("target", &t.id), ("ready", flag(t.ready))],
        None => [("target", "none"), ("ready", "false")],
    }
}

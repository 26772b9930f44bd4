//! Reaction of a node to a change of the state of its target.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::prelude::*;
use crate::request::reason::Reason;
use crate::sidecar::adapter::{NamedLimit, ResponseInfo};
use crate::sidecar::process::node::{bool_str, lock, Node};
use crate::sidecar::process::target::departure;
use crate::sidecar::process::target::rate_limit::RequestRate;
use crate::sidecar::process::target::state::{TargetId, TargetState};

impl Node {
    /// Applies the current state of the target to the record of this node, the placement and the queue, and notifies
    /// other nodes if it changed.
    pub fn apply_target_state(self: &Arc<Self>) {
        let now = self.clock.now();
        let state = self.target().state(now);
        let slots = self.target().slots();
        let mut own = lock(&self.own_record);
        let before = own.target.clone();
        if before == state {
            return;
        }
        own.target = state.clone();
        own.sequence += 1;
        let record = own.clone();
        drop(own);
        let incarnation = |t: &Option<TargetState>| t.as_ref().map_or(0, |t| t.incarnation);
        if incarnation(&before) > 0 && incarnation(&before) < incarnation(&state) {
            self.on_target_ended();
        }
        let id = |t: &Option<TargetState>| t.as_ref().map(|t| t.id.clone());
        if id(&before) != id(&state) {
            self.pool.clear();
            self.slots.update(|q, _| {
                q.reset();
                Vec::new()
            });
        }
        let (old, new) = (incarnation(&before), incarnation(&state));
        let same_target = id(&before) == id(&state) && (old == new || old == 0 || new == 0);
        // The first target of this process may have run for long; only it can tell.
        let started = match before.is_some() {
            true => !same_target,
            false => self.target().is_cold(),
        };
        if started {
            self.slots.update(|q, _| {
                q.restart_pace(false);
                Vec::new()
            });
        }
        self.slots.update(|q, now| q.set_slots(now, slots));
        self.log.event("target_changed", &log_fields(&state));
        self.update_placement(&record);
        self.state_changed.send_modify(|n| *n += 1);
    }

    /// Upper bound of the incarnation of any target that runs now, in ms since 1970. A clock that has been set back since
    /// the start of this process does not lower it.
    pub(super) fn latest_incarnation(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let since_epoch = since_epoch.unwrap_or_default().as_millis() as u64;
        let age = self.clock.now().as_millis() as u64;
        since_epoch.max(self.started_at + age)
    }

    /// Applies what a response of the target says about its rate limit and its stop.
    pub fn on_target_notices(self: &Arc<Self>, id: &TargetId, info: &ResponseInfo) {
        match info.limit {
            NamedLimit::Rate(rate) => self.set_target_limit(Some(rate)),
            // A refusal does not say whether the limit has ended.
            NamedLimit::Absent if info.signed => self.set_target_limit(None),
            NamedLimit::Absent => {}
            NamedLimit::Invalid => {
                let rejected = self.metrics.rejected_inputs.with_label_values(&["limit"]);
                rejected.inc();
            }
        }
        if !info.leaving {
            return;
        }
        let (latest, now) = (self.latest_incarnation(), self.clock.now());
        let incarnation = self.target().on_leaving_response(id, latest, now);
        if let Some(incarnation) = incarnation {
            self.apply_target_state();
            departure::begin(self, id, incarnation);
        }
    }

    /// Logs that the target gets fewer requests at once; `falls` is the number of falls that are known.
    pub(super) fn report_pace(&self, falls: &mut u64) {
        let (limit, total) = self.slots.pace();
        if total > *falls {
            let slots = self.target().slots().to_string();
            let fields = [("at_once", &*limit.to_string()), ("slots", &*slots)];
            self.log.event("target_slowed", &fields);
        }
        *falls = total;
    }

    fn set_target_limit(&self, rate: Option<RequestRate>) {
        let mut changed = false;
        self.slots.update(|q, now| {
            changed = q.set_limit(now, rate);
            match changed {
                true => q.advance(now),
                false => Vec::new(),
            }
        });
        if changed {
            let text = rate.map_or_else(|| "none".to_owned(), |r| r.to_string());
            self.log.event("target_limit", &[("per_s", &text)]);
        }
    }

    /// Handles that another target has taken over the address of the target `id`.
    pub fn on_target_replaced(self: &Arc<Self>, id: &TargetId) {
        self.target().on_replaced(id);
        self.log.event("target_replaced", &[("target", id)]);
        self.slots.update(|q, _| q.reject_all(Reason::NotReady));
        self.apply_target_state();
    }
}

fn log_fields(t: &Option<TargetState>) -> [(&'static str, &str); 2] {
    match t {
        Some(t) => [("target", &t.id), ("ready", bool_str(t.ready))],
        None => [("target", "none"), ("ready", "false")],
    }
}

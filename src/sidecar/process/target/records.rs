//! What is remembered of the targets of this node, those of its earlier processes too. No I/O.

use crate::prelude::*;
use crate::sidecar::process::target::state::TargetId;

/// Maximum number of departed targets to remember, so that delayed heartbeats do not make them ready again.
const MAX_DEPARTED: usize = 64;
/// Time for which the departure of a target is kept in the store, and remembered after the store last listed it; longer than
/// targets run after they announce their stop.
pub(crate) const DEPARTED_TTL: Duration = Duration::from_secs(600);

/// A departed target that the store has listed.
#[derive(Debug, Clone, Copy)]
struct ListedDeparture {
    incarnation: u64,
    listed_at: Now,
}

/// Records of the targets of this node.
#[derive(Debug)]
pub(super) struct TargetRecords {
    /// Targets of earlier processes of this node that have not departed, as other nodes remember them.
    vouched: Vec<(TargetId, u64)>,
    /// Ids of targets that run the service of this node, as they or other nodes have reported. Whoever answers at the
    /// address may run another one.
    own_ids: Vec<TargetId>,
    /// Target that responded to a health probe, with the number of slots to assume.
    probed: Option<(TargetId, u32)>,
    /// Whether an earlier process of this node may have acknowledged the stop of a target.
    restarted: bool,
    /// Departed targets with their last incarnation.
    departed: Vec<(TargetId, u64)>,
    /// Departed targets of all nodes that the store has listed; it may come back from an older copy without them. They are apart from those that this node knows otherwise,
    /// which must not make room for them.
    listed: HashMap<TargetId, ListedDeparture>,
}

impl Default for TargetRecords {
    fn default() -> Self {
        Self {
            vouched: Vec::new(),
            own_ids: Vec::new(),
            probed: None,
            restarted: true,
            departed: Vec::new(),
            listed: HashMap::default(),
        }
    }
}

impl TargetRecords {
    /// Records that no earlier process of this node has acknowledged a stop.
    pub(super) fn on_first_process(&mut self) {
        self.restarted = false;
    }

    /// Records a target of an earlier process that has not departed, as another node remembers it.
    pub(super) fn vouch(&mut self, id: &TargetId, incarnation: u64) {
        let entry = (id.clone(), incarnation);
        if !self.vouched.contains(&entry) && self.vouched.len() < MAX_DEPARTED {
            self.vouched.push(entry);
        }
    }

    /// Records the id of a target that runs the service of this node.
    pub(super) fn record_own(&mut self, id: &TargetId) {
        if self.own_ids.contains(id) {
            return;
        }
        if self.own_ids.len() == MAX_DEPARTED {
            self.own_ids.remove(0);
        }
        self.own_ids.push(id.clone());
    }

    /// Whether no earlier process of this node can have acknowledged the stop of a target that is not among the departed
    /// ones.
    pub(super) fn is_known(&self, id: &TargetId, incarnation: u64) -> bool {
        // An earlier target than this one was the last of that process.
        let vouched =
            |(i, last): &(TargetId, u64)| *last < incarnation || *last == incarnation && i == id;
        let departed = self
            .last_departed(id)
            .is_some_and(|last| last < incarnation);
        !self.restarted
            || self.probed.as_ref().is_some_and(|(probed, _)| probed == id)
            || self.vouched.iter().any(vouched)
            || departed
    }

    /// Records the departure of an incarnation of a target and of all earlier ones.
    pub(super) fn record_departure(&mut self, id: TargetId, incarnation: u64) {
        if self.has_departed(&id, incarnation) {
            return;
        }
        self.departed.retain(|(i, _)| *i != id);
        if self.departed.len() == MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((id, incarnation));
    }

    /// Records the departed targets that the store lists, with their last incarnation.
    pub(super) fn record_listed(&mut self, listed: HashMap<TargetId, u64>, now: Now) {
        self.listed.retain(|_, d| now < d.listed_at + DEPARTED_TTL);
        for (id, incarnation) in listed {
            let before = self.listed.get(&id).map_or(0, |d| d.incarnation);
            let departure = ListedDeparture {
                incarnation: incarnation.max(before),
                listed_at: now,
            };
            self.listed.insert(id, departure);
        }
    }

    /// Last incarnation of a target that has departed.
    pub(super) fn last_departed(&self, id: &str) -> Option<u64> {
        let known = self.departed.iter().find(|(i, _)| i == id);
        let listed = self.listed.get(id).map(|d| d.incarnation);
        known.map(|(_, last)| *last).max(listed)
    }

    /// Whether an incarnation of a target has departed.
    pub(super) fn has_departed(&self, id: &str, incarnation: u64) -> bool {
        self.last_departed(id)
            .is_some_and(|last| incarnation <= last)
    }

    /// Records a target that responded to a health probe.
    pub(super) fn record_probe(&mut self, id: TargetId, slots: u32) {
        self.probed = Some((id, slots));
    }

    /// Discards the response to the last health probe.
    pub(super) fn forget_probe(&mut self) {
        self.probed = None;
    }

    /// Target that responded to a health probe, if it is known to run the service of this node and not to have departed.
    pub(super) fn usable_probe(&self) -> Option<&(TargetId, u32)> {
        let usable = |(id, _): &&(TargetId, u32)| {
            self.last_departed(id).is_none() && self.own_ids.contains(id)
        };
        self.probed.as_ref().filter(usable)
    }
}

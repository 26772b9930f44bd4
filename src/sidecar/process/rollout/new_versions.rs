//! Versions that appear in a service without an order. No I/O.
//!
//! The targets of a rollout start when its order is written, and a node may hear of them before it hears of the order,
//! in a partition by seconds. A version that joins others in a service therefore gets no requests until this node has
//! confirmed that it knows all orders. Services whose targets have one version are not affected.

use crate::prelude::*;

/// Time after the start of the process in which all versions count as known: they were there before.
const START_TIME: Duration = Duration::from_secs(3);
/// Time between the first sight of a version and a confirmation that covers its order, which travels on other links.
const ORDER_DELAY: Duration = Duration::from_millis(200);
/// Longest time for which a version gets no requests for lack of a confirmation; longer than the store or a part of the
/// fleet is usually out of reach.
const MAX_HOLD: Duration = Duration::from_secs(15);
/// Versions of a service that are remembered.
const MAX_VERSIONS: usize = 16;

/// The versions of the targets of each service, with the times at which they were first seen.
#[derive(Debug, Default)]
pub struct NewVersions {
    services: HashMap<ServiceId, Vec<(SmolStr, Now)>>,
}

impl NewVersions {
    /// Records the version of a target. Returns whether it is another one than those that the service had.
    pub fn observe(&mut self, service: &ServiceId, version: &SmolStr, now: Now) -> bool {
        let versions = self.services.entry(service.clone()).or_default();
        if versions.iter().any(|(v, _)| v == version) {
            return false;
        }
        if versions.len() == MAX_VERSIONS {
            versions.remove(0);
        }
        let first = versions.is_empty();
        let since = match first || now < START_TIME {
            true => Now::ZERO,
            false => now,
        };
        versions.push((version.clone(), since));
        !first
    }

    /// Versions of a service that get no requests now. `confirmed_at` is the time as of which this node is known to have
    /// all orders.
    pub fn held(&self, service: &str, confirmed_at: Option<Now>, now: Now) -> Vec<SmolStr> {
        let versions = self.services.get(service).map_or(&[][..], |v| v);
        let is_held = |since: Now| {
            let confirmed = confirmed_at.is_some_and(|at| at >= since + ORDER_DELAY);
            since > Now::ZERO && !confirmed && now < since + MAX_HOLD
        };
        let held = versions.iter().filter(|(_, since)| is_held(*since));
        held.map(|(v, _)| v.clone()).collect()
    }
}

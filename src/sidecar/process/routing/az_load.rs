//! Mean load of the targets of a service in each availability zone. No I/O.
//!
//! Demand may differ between zones. A node sends most requests to its own zone, so reports from the others are rare. A
//! single mean for the service would make all zones look as loaded as its own, and no request would go elsewhere.

use crate::prelude::*;

/// Weight of a new report in the mean load of a zone and in that of the service.
const REPORT_WEIGHT: f64 = 0.05;
/// Mean load, in requests per slot, below which some targets of a zone or a service have free slots.
const FULL_LOAD: f64 = 1.0;
/// Time constant with which the mean load of a zone without reports decays.
const DECAY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct AzLoad {
    az: Az,
    /// Moving average of the running and waiting requests per slot.
    load: f64,
    /// Time of the last report.
    reported_at: Now,
}

/// Mean loads of a service, in requests per slot.
#[derive(Debug, Default)]
pub(super) struct AzLoads {
    /// One entry for each zone with a report; there are few.
    zones: Vec<AzLoad>,
    /// Moving average over the reports of all zones.
    mean: f64,
}

impl AzLoads {
    /// Records the reported load of a target in a zone.
    pub(super) fn record(&mut self, az: &Az, load: f64, now: Now) {
        self.mean += REPORT_WEIGHT * (load - self.mean);
        let expected = self.expected(az, now);
        let load = expected + REPORT_WEIGHT * (load - expected);
        match self.zones.iter_mut().find(|z| z.az == *az) {
            Some(zone) => {
                zone.load = load;
                zone.reported_at = now;
            }
            None => self.zones.push(AzLoad {
                az: az.clone(),
                load,
                reported_at: now,
            }),
        }
    }

    /// Expected load of a zone. Without recent reports it is assumed to be no more than full, so that requests try it when
    /// other zones have queues.
    pub(super) fn expected(&self, az: &Az, now: Now) -> f64 {
        let unknown = self.mean.min(FULL_LOAD);
        let zone = self.zones.iter().find(|z| z.az == *az);
        zone.map_or(unknown, |z| {
            let age = now.saturating_sub(z.reported_at);
            let weight = (-age.as_secs_f64() / DECAY.as_secs_f64()).exp();
            unknown + (z.load - unknown) * weight
        })
    }

    /// Whether the targets of the service, or those of one of its zones, have free slots on average.
    pub(super) fn has_free_slots(&self, now: Now) -> bool {
        self.mean < FULL_LOAD
            || self
                .zones
                .iter()
                .any(|z| self.expected(&z.az, now) < FULL_LOAD)
    }
}

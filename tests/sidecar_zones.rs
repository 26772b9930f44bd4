//! Tests of demand that differs between availability zones: what callers get when their own zone is full.
#![allow(dead_code)]

mod pace_site;

use std::time::Duration;

use pace_site::{Plan, Sim};

/// Maximum difference between the fractions of requests answered in time with even and with uneven demand. All zones
/// together have enough slots for both.
const MAX_LOSS: f64 = 0.03;

/// Fraction of the requests answered in time, at a load that all targets together can carry, where this part of the
/// requests begins in each zone.
fn in_time_share(zones: &[f64]) -> f64 {
    let plan = Plan {
        slots: 6,
        times: vec![1.0; 36],
        zones: zones.to_vec(),
        entries: 72,
        load: 0.8,
        time: Duration::from_secs(6),
        troubles: Vec::new(),
    };
    let shares = (1..=3).map(|seed| Sim::new(&plan, false, seed).run().in_time_share());
    shares.sum::<f64>() / 3.0
}

/// Guards against requests that are rejected or late in a zone with more demand than it can carry while other zones have
/// free slots: its nodes rarely get load reports from these.
#[test]
fn requests_leave_a_full_zone() {
    let even = in_time_share(&[1.0 / 3.0; 3]);
    for zones in [[0.5, 0.3, 0.2], [0.6, 0.2, 0.2], [0.45, 0.45, 0.1]] {
        let uneven = in_time_share(&zones);
        println!("{zones:?}: in time {uneven:.4}, {even:.4} with even demand");
        assert!(
            uneven >= even - MAX_LOSS,
            "{zones:?}: {uneven:.4} of {even:.4}"
        );
    }
}

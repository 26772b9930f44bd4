//! A simulated link of a VM and offers of uploads to it.
#![allow(dead_code, unreachable_pub)]

use std::time::Duration;

use dragonflyquay::sidecar::process::bandwidth::Urgency;
use dragonflyquay::sidecar::process::inbound::{Inbound, Offer};

/// Width of the simulated link, in Mbit/s.
pub const MBPS: f64 = 10.0;
/// Part of the width that is granted, as on a real link.
const USABLE_FRACTION: f64 = 0.95;
/// Latency objective of the uploads.
const OBJECTIVE: Duration = Duration::from_millis(1500);
/// Time for which the target runs an upload.
pub const SERVICE_TIME: Duration = Duration::from_millis(100);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn new_inbound() -> Inbound {
    Inbound::new(USABLE_FRACTION * MBPS)
}

pub fn offer(now: Duration, rank: usize, bytes: usize) -> Offer {
    Offer {
        urgency: Urgency {
            rank,
            due: now + OBJECTIVE,
        },
        bytes,
        deadline: now + 2 * OBJECTIVE,
        objective: OBJECTIVE,
        service_time: SERVICE_TIME,
        max_wait: None,
    }
}

//! Tenants, and what becomes of their requests.

use dragonflyquay::sidecar::process::quota::limits::Quota;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;

use super::BOUNDS;

/// A tenant: its quota, and the nodes at which its requests arrive, each with a rate.
#[derive(Clone)]
pub struct Tenant {
    pub name: SmolStr,
    pub quota: Quota,
    pub arrivals: Vec<(usize, f64)>,
}

/// Tenants whose usual demand falls as 1/n^1.2 and is `used` of their quota. Their callers are spread over nodes: one node
/// for the small ones, most for the large ones.
pub fn zipf(tenants: usize, nodes: usize, total: f64, used: f64, seed: u64) -> Vec<Tenant> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let weight = |i: usize| 1.0 / ((i + 1) as f64).powf(1.2);
    let sum: f64 = (0..tenants).map(weight).sum();
    let make = |i: usize| {
        let demand = total * weight(i) / sum;
        // Connections in proportion to the demand, eleven per node, one to three for small tenants.
        let wanted = (11.0 * nodes as f64 * weight(i) / sum).ceil() as usize;
        let count = wanted.max(rng.random_range(1..=3)).min(nodes);
        let mut at: Vec<usize> = (0..nodes).collect();
        for k in 0..count {
            let other = rng.random_range(k..nodes);
            at.swap(k, other);
        }
        let rate = demand / used;
        Tenant {
            name: format!("t{i}").into(),
            quota: Quota::new(rate, rate).unwrap(),
            arrivals: at[..count]
                .iter()
                .map(|n| (*n, demand / count as f64))
                .collect(),
        }
    };
    (0..tenants).map(make).collect()
}

/// What became of the requests of a tenant.
#[derive(Default, Clone)]
pub struct Tally {
    /// Times of requests that ran, in ms.
    pub runs: Vec<u64>,
    pub offered: u64,
    /// Requests that a single bucket for all nodes would have allowed.
    pub in_quota: u64,
    /// Requests that ran.
    pub granted: u64,
    bucket: f64,
    bucket_at: u64,
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, quota: Quota, now: u64) {
        let elapsed = (now - self.bucket_at) as f64 / 1000.0;
        self.bucket_at = now;
        self.bucket = (self.bucket + quota.rate * elapsed).min(quota.burst.max(1.0));
        let allowed = self.bucket >= 1.0;
        self.bucket -= f64::from(u8::from(allowed));
        self.offered += 1;
        self.in_quota += u64::from(allowed);
    }

    /// Greatest number of runs in any window.
    pub fn fullest_window(&mut self) -> usize {
        self.runs.sort_unstable();
        let window = BOUNDS.window.as_millis() as u64;
        let mut first = 0;
        let mut most = 0;
        for (i, at) in self.runs.iter().enumerate() {
            while self.runs[first] + window < *at {
                first += 1;
            }
            most = most.max(i + 1 - first);
        }
        most
    }
}

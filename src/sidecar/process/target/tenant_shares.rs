//! Slot time that each tenant has used at the target, which orders the waiting requests of a rank. No I/O.
//!
//! It handles a tenant that sends many more requests than others, within its quota, while slots are scarce: without it,
//! the tenant would take the slots in proportion to its requests. The tenant that has used the least goes first, so that
//! tenants with little demand are served and those with much share what is left.

use crate::prelude::*;

/// Time constant with which earlier use loses weight: several times the duration of a request, and short compared with an
/// overload.
const USE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Use below which a tenant is forgotten, in seconds.
const MIN_USE_S: f64 = 1e-3;

/// Recent use of slots by tenant, in seconds.
#[derive(Debug, Default, Clone)]
pub struct TenantShares {
    used: HashMap<TenantId, f64>,
    updated: Now,
}

impl TenantShares {
    /// Records that a request of a tenant gets a slot, which it will use for about `time`. Requests without a tenant are
    /// not recorded.
    pub fn record(&mut self, tenant: &TenantId, time: Duration, now: Now) {
        if tenant.is_empty() {
            return;
        }
        self.decay(now);
        *self.used.entry(tenant.clone()).or_default() += time.as_secs_f64();
    }

    /// Recent use of a tenant, in seconds; 0 for requests without a tenant, which are calls of targets that already
    /// occupy a slot elsewhere.
    pub fn used(&self, tenant: &TenantId) -> f64 {
        self.used.get(tenant).copied().unwrap_or_default()
    }

    fn decay(&mut self, now: Now) {
        let dt = now.saturating_sub(self.updated);
        let factor = (-dt.as_secs_f64() / USE_TIME_CONSTANT.as_secs_f64()).exp();
        self.used.retain(|_, used| {
            *used *= factor;
            *used >= MIN_USE_S
        });
        self.updated = now;
    }
}

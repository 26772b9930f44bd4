//! Limits the concurrent requests of each caller for `caller-limit` resources.

use std::sync::Mutex;

use crate::prelude::*;

/// Name of a `caller-limit` resource and the caller.
type CountKey = (SmolStr, CallerId);

/// Number of permits that each caller holds.
#[derive(Debug, Default)]
pub struct CallerLimits {
    counts: Mutex<HashMap<CountKey, u32>>,
}

/// Permission for one concurrent request; released when dropped.
#[derive(Debug)]
pub struct Permit {
    limits: Arc<CallerLimits>,
    key: CountKey,
}

impl CallerLimits {
    /// Acquires a permit unless the caller already holds `limit` permits of this resource.
    pub fn acquire(
        self: &Arc<Self>,
        resource: &SmolStr,
        caller: &CallerId,
        limit: u32,
    ) -> Option<Permit> {
        let key = (resource.clone(), caller.clone());
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let held = counts.get(&key).copied().unwrap_or(0);
        if held >= limit {
            return None;
        }
        counts.insert(key.clone(), held + 1);
        Some(Permit {
            limits: self.clone(),
            key,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.limits.counts.lock().unwrap_or_else(|e| e.into_inner());
        match counts.get_mut(&self.key) {
            Some(n) if *n > 1 => *n -= 1,
            _ => {
                counts.remove(&self.key);
            }
        }
    }
}

//! Concurrent requests of each caller, for `caller-limit` resources.

use std::sync::Mutex;

use crate::prelude::*;

/// Name of a `caller-limit` resource and the caller.
type Key = (SmolStr, CallerId);

/// Counts of all callers that have a request in flight.
#[derive(Debug, Default)]
pub struct Callers {
    counts: Mutex<HashMap<Key, u32>>,
}

/// Permission for one request; given back when it is dropped.
#[derive(Debug)]
pub struct Permit {
    owner: Arc<Callers>,
    key: Key,
}

impl Callers {
    /// Takes a permit unless the caller already holds `limit` of them.
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
            owner: self.clone(),
            key,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.owner.counts.lock().unwrap_or_else(|e| e.into_inner());
        match counts.get_mut(&self.key) {
            Some(n) if *n > 1 => *n -= 1,
            _ => {
                counts.remove(&self.key);
            }
        }
    }
}

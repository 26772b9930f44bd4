//! Choice of the service for a request of a weighted route. Without I/O.

use super::routes::Part;
use crate::prelude::*;

/// Positions of the smooth weighted round robin, by route.
#[derive(Debug, Default)]
pub struct Split {
    routes: HashMap<SmolStr, (Vec<Part>, Vec<i64>)>,
}

impl Split {
    /// Chooses the part of the next request. Any run of requests follows the weights closely, so that the shares hold
    /// at each node and not only on average.
    pub fn next<'a>(&mut self, route: &SmolStr, parts: &'a [Part]) -> &'a Part {
        if parts.len() == 1 {
            return &parts[0];
        }
        let state = self.routes.entry(route.clone()).or_default();
        if state.0 != parts {
            *state = (parts.to_vec(), start(parts));
        }
        let credit = &mut state.1;
        let total: i64 = parts.iter().map(|p| i64::from(p.weight)).sum();
        let mut best = 0;
        for (i, p) in parts.iter().enumerate() {
            credit[i] += i64::from(p.weight);
            if credit[i] > credit[best] {
                best = i;
            }
        }
        credit[best] -= total;
        &parts[best]
    }
}

/// A random start, so that nodes with few requests do not all begin with the same part.
fn start(parts: &[Part]) -> Vec<i64> {
    parts
        .iter()
        .map(|p| i64::from(rand::random_range(0..=p.weight)))
        .collect()
}

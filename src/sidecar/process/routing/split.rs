//! Choice of the service for a request of a route with weighted services. No I/O.

use crate::prelude::*;
use crate::sidecar::version::routes::WeightedService;

/// State of the smooth weighted round robin, by route.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    /// Services of the route when the state was created, and the credit of each.
    routes: HashMap<SmolStr, (Vec<WeightedService>, Vec<i64>)>,
}

impl TrafficSplit {
    /// Chooses the service of the next request. Every sequence of requests follows the weights closely, so that the
    /// shares hold at each node and not only on average.
    pub fn next<'a>(
        &mut self,
        route: &SmolStr,
        services: &'a [WeightedService],
    ) -> &'a WeightedService {
        if services.len() == 1 {
            return &services[0];
        }
        let state = self.routes.entry(route.clone()).or_default();
        if state.0 != services {
            *state = (services.to_vec(), initial_credit(services));
        }
        let credit = &mut state.1;
        let total: i64 = services.iter().map(|s| i64::from(s.weight)).sum();
        let mut best = 0;
        for (i, s) in services.iter().enumerate() {
            credit[i] += i64::from(s.weight);
            if credit[i] > credit[best] {
                best = i;
            }
        }
        credit[best] -= total;
        &services[best]
    }

    /// Service that [`TrafficSplit::next`] would choose now. If the route has had no request here, this is one of several
    /// possible choices, because the initial credit is random.
    pub fn peek<'a>(
        &self,
        route: &SmolStr,
        services: &'a [WeightedService],
    ) -> &'a WeightedService {
        let state = self.routes.get_key_value(route);
        let state = state.map(|(route, state)| (route.clone(), state.clone()));
        let mut copy = Self {
            routes: state.into_iter().collect(),
        };
        copy.next(route, services)
    }
}

/// Random initial credit, so that nodes with few requests do not all start with the same service.
fn initial_credit(services: &[WeightedService]) -> Vec<i64> {
    services
        .iter()
        .map(|s| i64::from(rand::random_range(0..=s.weight)))
        .collect()
}

//! Shares of tenants in the slots of a target, with explicit events and a simulated clock.

use std::collections::HashMap;
use std::time::Duration;

use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue};

const SERVICE_TIME: Duration = Duration::from_millis(100);
const SLOTS: u32 = 4;
/// Interval of the arrivals: half as long as the slots need for one.
const INTERVAL: Duration = Duration::from_micros(12_500);
const ARRIVALS: u64 = 1600;

fn arrival(ticket: u64, tenant: &str, rank: usize, now: Duration) -> Arrival {
    Arrival {
        ticket,
        route: "r".into(),
        tenant: tenant.into(),
        rank,
        objective: Duration::from_millis(600),
        due: now + Duration::from_millis(600),
        deadline: now + Duration::from_millis(2000),
        baseline: Duration::ZERO,
        max_wait: None,
        retry: false,
        link_backlog: Duration::ZERO,
        transfer: Duration::ZERO,
    }
}

/// A target with its queue, and the requests that it runs.
struct Site {
    queue: Queue,
    /// End and ticket of each.
    running: Vec<(Duration, u64)>,
    dispatched: Vec<u64>,
}

impl Site {
    fn apply(&mut self, now: Duration, actions: Vec<Action>) {
        for action in actions {
            if let Action::Dispatch(ticket) = action {
                self.running.push((now + SERVICE_TIME, ticket));
                self.dispatched.push(ticket);
            }
        }
    }

    /// Finishes the requests that end until `now`.
    fn finish(&mut self, now: Duration) {
        while let Some(i) = self.running.iter().position(|(end, _)| *end <= now) {
            let (end, ticket) = self.running.remove(i);
            let actions = self.queue.finish(end, ticket, false);
            self.apply(end, actions);
        }
    }
}

/// Plays arrivals at twice the capacity of the target, of the tenant and rank that `which` returns for each. Returns the
/// fraction of each tenant's requests that ran.
fn play<F>(which: F) -> HashMap<&'static str, f64>
where
    F: Fn(u64) -> (&'static str, usize),
{
    let mut site = Site {
        queue: Queue::default(),
        running: Vec::new(),
        dispatched: Vec::new(),
    };
    site.queue.set_slots(Duration::ZERO, SLOTS);
    let mut counts: HashMap<&'static str, (f64, f64)> = HashMap::new();
    for ticket in 0..ARRIVALS {
        let now = INTERVAL * ticket as u32;
        site.finish(now);
        let (tenant, rank) = which(ticket);
        counts.entry(tenant).or_default().0 += 1.0;
        let actions = site.queue.arrive(now, arrival(ticket, tenant, rank, now));
        site.apply(now, actions);
    }
    for ticket in &site.dispatched {
        counts.entry(which(*ticket).0).or_default().1 += 1.0;
    }
    let fraction = |(tenant, (asked, ran))| (tenant, ran / asked);
    counts.into_iter().map(fraction).collect()
}

/// Guards against a tenant that sends most of the requests and takes the slots of tenants that need few.
#[test]
fn tenants_with_little_demand_are_served() {
    // Nine of ten requests are of one tenant.
    let served = play(|t| match t % 20 {
        0 => ("small", 1),
        10 => ("other", 1),
        _ => ("large", 1),
    });
    assert!(served["small"] > 0.9, "{served:?}");
    assert!(served["other"] > 0.9, "{served:?}");
    // The slots are not left idle.
    assert!(served["large"] > 0.38, "{served:?}");
}

/// Guards against tenants with the same demand that are served differently.
#[test]
fn tenants_with_the_same_demand_are_served_alike() {
    let served = play(|t| match t % 2 {
        0 => ("a", 1),
        _ => ("b", 1),
    });
    assert!((served["a"] - served["b"]).abs() < 0.1, "{served:?}");
    assert!(served["a"] + served["b"] > 0.9, "{served:?}");
}

/// Guards against tenants that share by need across ranks: the more urgent rank goes first, whatever it has used.
#[test]
fn a_more_urgent_rank_goes_before_a_small_tenant() {
    let served = play(|t| match t % 10 {
        0 => ("small", 2),
        _ if t % 2 == 0 => ("urgent", 0),
        _ => ("large", 2),
    });
    assert!(served["urgent"] > 0.95, "{served:?}");
    assert!(served["small"] > served["large"], "{served:?}");
}

/// Guards against calls of targets, which have no tenant, that wait behind all requests of tenants.
#[test]
fn requests_without_a_tenant_go_first_in_their_rank() {
    let served = play(|t| match t % 10 {
        0 => ("", 1),
        _ => ("large", 1),
    });
    assert!(served[""] > 0.95, "{served:?}");
}

//! Compares queueing places, retry policies and recovery policies in a simulation that uses the balancer and the
//! admission queue of the node.
//!
//! Usage: cargo run --release --example weigh_path [SEED]
//!
//! The simulation models queues, network delays, service times and target failures. It does not model CPU time. A
//! request that waits at its entry node or at the backend server reaches the target without network delay; only its
//! response is delayed.

mod sim;

use std::time::Duration;

use dragonflyquay::prelude::Now;
use sim::{Simulation, RANKS};

/// Where requests wait and are ordered by rank.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum QueuePlace {
    /// At the node beside the target, which knows the free slots of the target.
    AdmittingNode,
    /// At each entry node, which gets an equal part of the slots of each target.
    EntryNodes,
    /// Only at the backend server, in order of arrival.
    BackendServer,
}

/// When a failed or rejected attempt is retried, at most twice for each request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RetryPolicy {
    Never,
    Immediate,
    /// After a random time below 10 ms.
    Jittered,
    /// After the back-off in the rejection, or after this time if there is none or it is zero.
    AfterBackOff(Duration),
}

/// Settings of one simulation run.
#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) queue_place: QueuePlace,
    pub(crate) retry: RetryPolicy,
    /// Whether a recovered target gets its full share of requests at once instead of a ramp.
    pub(crate) full_share: bool,
    /// Longest wait of a request at its entry node for a usable target.
    pub(crate) max_wait: Duration,
    /// Load of each rank as a fraction of the capacity of all targets.
    pub(crate) load: [f64; 2],
    pub(crate) targets: usize,
    /// Targets that are down, with the start and the end of the outage.
    pub(crate) outage: Option<(std::ops::Range<usize>, Now, Now)>,
    /// Factor on the service time right after a recovery; falls linearly to 1 within 10 s.
    pub(crate) cold_factor: f64,
    /// Start of the measurement, and the time after which no requests arrive.
    pub(crate) measured: (Now, Now),
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "",
            queue_place: QueuePlace::AdmittingNode,
            retry: RetryPolicy::Immediate,
            full_share: false,
            max_wait: Duration::ZERO,
            load: [0.3, 0.3],
            targets: 6,
            outage: None,
            cold_factor: 1.0,
            measured: (Duration::from_secs(5), Duration::from_secs(25)),
        }
    }
}

fn queue_scenarios(out: &mut Vec<Scenario>) {
    for load in [[0.3, 0.3], [0.3, 3.0], [3.0, 0.3]] {
        for (name, queue_place) in [
            ("queue at the admitting node", QueuePlace::AdmittingNode),
            (
                "queue at the entry nodes, slots divided",
                QueuePlace::EntryNodes,
            ),
            ("queue at the backend server", QueuePlace::BackendServer),
        ] {
            out.push(Scenario {
                name,
                queue_place,
                load,
                ..Scenario::default()
            });
        }
    }
}

fn retry_scenarios(out: &mut Vec<Scenario>) {
    let s = Duration::from_secs;
    let outage = Some((0..1, s(6), s(9)));
    for (name, retry) in [
        ("connection error: no retry", RetryPolicy::Never),
        ("connection error: immediate retry", RetryPolicy::Immediate),
        (
            "connection error: retry within 10 ms",
            RetryPolicy::Jittered,
        ),
        (
            "connection error: retry after 100 ms",
            RetryPolicy::AfterBackOff(Duration::from_millis(100)),
        ),
    ] {
        out.push(Scenario {
            name,
            retry,
            outage: outage.clone(),
            measured: (s(6), s(10)),
            ..Scenario::default()
        });
    }
    for (name, retry) in [
        ("overload: no retry", RetryPolicy::Never),
        (
            "overload: immediate retry elsewhere",
            RetryPolicy::Immediate,
        ),
        (
            "overload: retry after the back-off",
            RetryPolicy::AfterBackOff(Duration::from_millis(10)),
        ),
    ] {
        out.push(Scenario {
            name,
            retry,
            load: [0.3, 1.5],
            ..Scenario::default()
        });
    }
}

fn recovery_scenarios(out: &mut Vec<Scenario>) {
    let s = Duration::from_secs;
    for (name, full_share) in [
        ("recovered target: full share at once", true),
        ("recovered target: ramp", false),
    ] {
        let outage = Some((0..1, s(6), s(16)));
        out.push(Scenario {
            name,
            full_share,
            outage,
            cold_factor: 8.0,
            measured: (s(16), s(28)),
            ..Scenario::default()
        });
    }
    for (name, ms) in [
        ("no usable target: fail at once", 0),
        ("no usable target: wait up to 100 ms", 100),
        ("no usable target: wait up to 300 ms", 300),
        ("no usable target: wait until the deadline", 10_000),
    ] {
        let outage = Some((0..6, s(6), s(7)));
        let max_wait = Duration::from_millis(ms);
        out.push(Scenario {
            name,
            max_wait,
            outage,
            measured: (s(6), s(10)),
            load: [0.3, 0.5],
            ..Scenario::default()
        });
    }
}

fn scenarios() -> Vec<Scenario> {
    let mut out = Vec::new();
    queue_scenarios(&mut out);
    retry_scenarios(&mut out);
    recovery_scenarios(&mut out);
    out
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}; per rank: responses in time, p50 ms, p99 ms; then attempts per request");
    println!("{:<44}  {:<21}  {:<21}", "", RANKS[0], RANKS[1]);
    let mut load = [0.0; 2];
    for scenario in scenarios() {
        if scenario.load != load {
            load = scenario.load;
            println!("urgent {:.1}, bulk {:.1} of capacity", load[0], load[1]);
        }
        Simulation::new(scenario, seed).run().print();
    }
}

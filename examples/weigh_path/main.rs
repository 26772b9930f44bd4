//! Weighs ways for a request to take, in simulated time, with the balancer and the admission of the node.
//!
//! Usage: cargo run --release --example weigh_path [SEED]
//!
//! Nothing but the waiting lines, delays and failures below is modelled; processor time is not.

mod sim;

use std::time::Duration;

use dragonflyquay::prelude::Now;
use sim::{Sim, RANKS};

/// Where waiting requests are ordered.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Place {
    /// At the node beside the target, which knows its free slots.
    Admitting,
    /// At each entry node, with an equal part of each target's slots.
    Divided,
    /// Only at the backend server, first come, first served.
    Backend,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Again {
    Never,
    AtOnce,
    Jitter,
    /// After the time that the refusing side named, or this fixed time when it could not name one.
    Named(Duration),
}

#[derive(Clone)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) place: Place,
    pub(crate) again: Again,
    /// Whether a recovered target gets its whole share at once.
    pub(crate) strict: bool,
    /// Longest wait of a request for a target to become usable.
    pub(crate) wait: Duration,
    /// Work of each rank against the capacity of all targets.
    pub(crate) load: [f64; 2],
    pub(crate) targets: usize,
    /// Targets that fail, from and until.
    pub(crate) outage: Option<(std::ops::Range<usize>, Now, Now)>,
    /// Factor of the service time right after a recovery, gone after 10 s.
    pub(crate) cold: f64,
    /// Time from which results count, and the end of arrivals.
    pub(crate) counted: (Now, Now),
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            place: Place::Admitting,
            again: Again::AtOnce,
            strict: false,
            wait: Duration::ZERO,
            load: [0.3, 0.3],
            targets: 6,
            outage: None,
            cold: 1.0,
            counted: (Duration::from_secs(5), Duration::from_secs(25)),
        }
    }
}

fn place_cases(out: &mut Vec<Case>) {
    for load in [[0.3, 0.3], [0.3, 3.0], [3.0, 0.3]] {
        for (name, place) in [
            ("waits at the admitting node", Place::Admitting),
            ("waits at the entry nodes, slots divided", Place::Divided),
            ("waits at the backend server", Place::Backend),
        ] {
            out.push(Case {
                name,
                place,
                load,
                ..Case::default()
            });
        }
    }
}

fn retry_cases(out: &mut Vec<Case>) {
    let s = Duration::from_secs;
    let dead = Some((0..1, s(6), s(9)));
    for (name, again) in [
        ("connection error: no retry", Again::Never),
        ("connection error: retry at once", Again::AtOnce),
        ("connection error: retry within 10 ms", Again::Jitter),
        (
            "connection error: retry after 100 ms",
            Again::Named(Duration::from_millis(100)),
        ),
    ] {
        out.push(Case {
            name,
            again,
            outage: dead.clone(),
            counted: (s(6), s(10)),
            ..Case::default()
        });
    }
    for (name, again) in [
        ("overload: no retry", Again::Never),
        ("overload: retry at once elsewhere", Again::AtOnce),
        (
            "overload: retry after the named time",
            Again::Named(Duration::from_millis(10)),
        ),
    ] {
        out.push(Case {
            name,
            again,
            load: [0.3, 1.5],
            ..Case::default()
        });
    }
}

fn recovery_cases(out: &mut Vec<Case>) {
    let s = Duration::from_secs;
    for (name, strict) in [
        ("recovered target: whole share at once", true),
        ("recovered target: ramp", false),
    ] {
        let outage = Some((0..1, s(6), s(16)));
        out.push(Case {
            name,
            strict,
            outage,
            cold: 8.0,
            counted: (s(16), s(28)),
            ..Case::default()
        });
    }
    for (name, ms) in [
        ("no usable target: fail at once", 0),
        ("no usable target: wait up to 100 ms", 100),
        ("no usable target: wait up to 300 ms", 300),
        ("no usable target: wait to the deadline", 10_000),
    ] {
        let outage = Some((0..6, s(6), s(7)));
        let wait = Duration::from_millis(ms);
        out.push(Case {
            name,
            wait,
            outage,
            counted: (s(6), s(10)),
            load: [0.3, 0.5],
            ..Case::default()
        });
    }
}

fn cases() -> Vec<Case> {
    let mut out = Vec::new();
    place_cases(&mut out);
    retry_cases(&mut out);
    recovery_cases(&mut out);
    out
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}; for each rank: answered in time, p50 ms, p99 ms; then attempts for each request");
    println!("{:<44}  {:<21}  {:<21}", "", RANKS[0], RANKS[1]);
    let mut load = [0.0; 2];
    for case in cases() {
        if case.load != load {
            load = case.load;
            println!("urgent {:.1}, bulk {:.1} of capacity", load[0], load[1]);
        }
        Sim::new(case, seed).run().print();
    }
}

//! Random schedule of faults from a seed. Faults may overlap, and each one has an end.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::site_kit::store::Faults;
use super::proxy::Mode;

/// Connections of a node that a proxy carries.
#[derive(Debug, Clone, Copy)]
pub enum Connection {
    /// Links from other nodes.
    Relay,
    Store,
    Target,
}

/// The start or the end of a fault, or a change of the configuration or of a target.
#[derive(Debug, Clone)]
pub enum Event {
    /// Sends this signal to the process of a node.
    Signal(usize, &'static str),
    Kill(usize),
    /// Starts the process of a node that does not run.
    Start(usize),
    /// Sends SIGTERM to the process of a node.
    Terminate(usize),
    /// Sets the mode of a proxy of a node.
    Proxy(usize, Connection, Mode),
    /// Sets the faults of the store.
    Store(Faults),
    /// Expires all leases of the store.
    ExpireLeases,
    /// Takes the copy from which the store comes back in the next drill.
    Copy,
    /// The store comes back from its copy, and the operator writes again what that lacks.
    Drill,
    /// Commits this number of versions without a pause.
    Commit(u32),
    /// The target of a node starts to leave.
    Drain(usize),
    /// The target of a node begins a new incarnation.
    Replace(usize),
    /// Writes the order of the rollout.
    Order,
}

impl Event {
    /// The node that counts as disturbed by the event; `None` if no node does.
    pub fn node(&self) -> Option<usize> {
        match self {
            Self::Signal(i, _)
            | Self::Kill(i)
            | Self::Start(i)
            | Self::Terminate(i)
            | Self::Proxy(i, ..)
            | Self::Replace(i) => Some(*i),
            Self::Store(_)
            | Self::ExpireLeases
            | Self::Copy
            | Self::Drill
            | Self::Commit(_)
            | Self::Drain(_)
            | Self::Order => None,
        }
    }
}

/// Time of an event since the start, the event, and its duration.
pub type Step = (Duration, Event, Duration);

/// Returns the events of a run of `length` with drills of the store among its faults, ordered by time.
pub fn schedule_with_drills(seed: u64, nodes: usize, length: Duration) -> Vec<Step> {
    // The constant makes the sequence differ from that of the other faults, which stay the same.
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xd711);
    let mut out = schedule(seed, nodes, length);
    let mut at = Duration::ZERO;
    loop {
        let copied_at = at + Duration::from_millis(rng.random_range(100..2500));
        // A copy is some seconds old, and drills may come soon after one another.
        at = copied_at + Duration::from_millis(rng.random_range(200..3000));
        if at >= length {
            break;
        }
        out.push((copied_at, Event::Copy, Duration::ZERO));
        out.push((at, Event::Drill, Duration::ZERO));
    }
    out.sort_by_key(|(at, ..)| *at);
    out
}

/// Returns the events of a run of `length`, ordered by time.
pub fn schedule(seed: u64, nodes: usize, length: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut out: Vec<Step> = Vec::new();
    let ordered_at = rng.random_range(300..2000);
    let ordered_at = Duration::from_millis(ordered_at).min(length / 2);
    out.push((ordered_at, Event::Order, Duration::ZERO));
    let mut at = Duration::from_millis(300);
    while at < length {
        // The pauses are shorter than most faults, so that faults overlap.
        at += Duration::from_millis(rng.random_range(20..700));
        let i = rng.random_range(0..nodes);
        let duration = Duration::from_millis(rng.random_range(150..2500));
        let zero = Duration::ZERO;
        match rng.random_range(0..20) {
            0..=2 => {
                out.push((at, Event::Signal(i, "STOP"), duration));
                out.push((at + duration, Event::Signal(i, "CONT"), zero));
            }
            3..=4 => {
                out.push((at, Event::Kill(i), duration));
                out.push((at + duration / 2, Event::Start(i), zero));
            }
            5 => {
                for j in (0..nodes).filter(|_| rng.random_bool(0.6)) {
                    out.push((at, Event::Kill(j), duration));
                    out.push((at + duration / 2, Event::Start(j), zero));
                }
            }
            6..=7 => out.push((at, Event::Terminate(i), Duration::from_secs(7))),
            8 => out.push((at, Event::Signal(i, "HUP"), zero)),
            9..=13 => {
                let connection = [Connection::Relay, Connection::Store, Connection::Target]
                    [rng.random_range(0..3)];
                let delay = Mode::Delay(Duration::from_millis(rng.random_range(10..300)));
                let modes = [
                    delay,
                    Mode::Stall,
                    Mode::StallForward,
                    Mode::StallBackward,
                    Mode::Reset,
                ];
                let mode = modes[rng.random_range(0..modes.len())];
                out.push((at, Event::Proxy(i, connection, mode), duration));
                out.push((at + duration, Event::Proxy(i, connection, Mode::Pass), zero));
            }
            14..=15 => {
                let faults = Faults {
                    unavailable: rng.random(),
                    unresponsive: rng.random(),
                    lost_write_responses: rng.random_range(0..4),
                    compacted: rng.random(),
                };
                out.push((at, Event::Store(faults), duration));
                out.push((at + duration, Event::Store(Faults::default()), zero));
                if rng.random() {
                    out.push((at + duration / 2, Event::ExpireLeases, zero));
                }
            }
            16..=17 => out.push((at, Event::Commit(rng.random_range(1..5)), zero)),
            18 => {
                out.push((at, Event::Drain(i), zero));
                let replaced = at + Duration::from_millis(rng.random_range(2500..4000));
                out.push((replaced, Event::Replace(i), zero));
            }
            _ => out.push((at, Event::Replace(i), zero)),
        }
    }
    out.sort_by_key(|(at, ..)| *at);
    out
}

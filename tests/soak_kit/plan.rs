//! The seeded schedule of disturbances: in series, overlapping, and each with its end.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::site_kit::store::Faults;
use super::proxy::Mode;

/// A connection of a node that runs through a proxy.
#[derive(Debug, Clone, Copy)]
pub enum Link {
    /// From other nodes.
    Relay,
    Store,
    Target,
}

/// A disturbance, or its end.
#[derive(Debug, Clone)]
pub enum Event {
    Signal(usize, &'static str),
    Kill(usize),
    Boot(usize),
    Term(usize),
    Net(usize, Link, Mode),
    Store(Faults),
    /// All leases end.
    Lapse,
    /// This number of versions, one at once after the other.
    Commit(u32),
    /// The target of a node says that it leaves.
    Drain(usize),
    /// The target of a node begins a new lifetime.
    Replace(usize),
}

impl Event {
    /// The node that it disturbs.
    pub fn node(&self) -> Option<usize> {
        match self {
            Self::Signal(i, _)
            | Self::Kill(i)
            | Self::Boot(i)
            | Self::Term(i)
            | Self::Net(i, ..)
            | Self::Replace(i) => Some(*i),
            Self::Store(_) | Self::Lapse | Self::Commit(_) | Self::Drain(_) => None,
        }
    }
}

/// An event, when it happens, and how long it lasts.
pub type Step = (Duration, Event, Duration);

/// Events of a run, in order of time.
pub fn schedule(seed: u64, nodes: usize, length: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut out: Vec<Step> = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < length {
        // Half of the disturbances begin while the one before still lasts.
        at += Duration::from_millis(rng.random_range(20..700));
        let i = rng.random_range(0..nodes);
        let time = Duration::from_millis(rng.random_range(150..2500));
        let zero = Duration::ZERO;
        match rng.random_range(0..20) {
            0..=2 => {
                out.push((at, Event::Signal(i, "STOP"), time));
                out.push((at + time, Event::Signal(i, "CONT"), zero));
            }
            3..=4 => {
                out.push((at, Event::Kill(i), time));
                out.push((at + time / 2, Event::Boot(i), zero));
            }
            5 => {
                for j in (0..nodes).filter(|_| rng.random_bool(0.6)) {
                    out.push((at, Event::Kill(j), time));
                    out.push((at + time / 2, Event::Boot(j), zero));
                }
            }
            6..=7 => out.push((at, Event::Term(i), Duration::from_secs(7))),
            8 => out.push((at, Event::Signal(i, "HUP"), zero)),
            9..=13 => {
                let link = [Link::Relay, Link::Store, Link::Target][rng.random_range(0..3)];
                let delay = Mode::Delay(Duration::from_millis(rng.random_range(10..300)));
                let modes = [
                    delay,
                    Mode::Silent,
                    Mode::SilentForward,
                    Mode::SilentBack,
                    Mode::Reset,
                ];
                let mode = modes[rng.random_range(0..modes.len())];
                out.push((at, Event::Net(i, link, mode), time));
                out.push((at + time, Event::Net(i, link, Mode::Pass), zero));
            }
            14..=15 => {
                let faults = Faults {
                    unavailable: rng.random(),
                    unresponsive: rng.random(),
                    lost_write_responses: rng.random_range(0..4),
                    compacted: rng.random(),
                };
                out.push((at, Event::Store(faults), time));
                out.push((at + time, Event::Store(Faults::default()), zero));
                if rng.random() {
                    out.push((at + time / 2, Event::Lapse, zero));
                }
            }
            16..=17 => out.push((at, Event::Commit(rng.random_range(1..5)), zero)),
            18 => {
                out.push((at, Event::Drain(i), zero));
                let gone = at + Duration::from_millis(rng.random_range(2500..4000));
                out.push((gone, Event::Replace(i), zero));
            }
            _ => out.push((at, Event::Replace(i), zero)),
        }
    }
    out.sort_by_key(|(at, ..)| *at);
    out
}

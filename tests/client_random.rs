//! Clients that write random mixtures of heads, chunk lines and pipelined requests, valid and broken, with the bounds of
//! `client_limits`. The seeds are fixed; more are played under `DQ_LONG=1`.

mod client_kit;
mod site_kit;
mod workdir;

use std::time::Duration;

use client_kit::shape::{request_head, Door, Script};
use client_kit::{one_at_a_time, LimitedNode, FIELDS, HEADER_BYTES};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Seeds that are always played.
const SEEDS: u64 = 3;
/// Seeds that are played under `DQ_LONG=1`.
const LONG_SEEDS: u64 = 40;
/// Clients of a seed: as many as the listener accepts connections, and half as many again.
const CLIENTS: usize = 60;
/// Largest number of parts that a client writes.
const MAX_PARTS: usize = 60;

/// Doors that parse requests.
const DOORS: [Door; 6] = [
    Door::Route,
    Door::NoRoute,
    Door::ReadyPath,
    Door::Ready,
    Door::Control,
    Door::Admin,
];

/// A part of what a client writes; its place in the whole decides what the process takes it for.
fn part(rng: &mut SmallRng, door: Door) -> Vec<u8> {
    let number = rng.random_range(0..FIELDS);
    match rng.random_range(0..14) {
        0 => request_head(door, true).into(),
        1 => (request_head(door, false) + "\r\n").into(),
        2 => "\r\n".into(),
        3 => "\n\r\r\n".into(),
        4 => format!("a{number:x}:\r\n").repeat(number).into(),
        5 => format!("x: {}\r\n", "y".repeat(number % 64 * HEADER_BYTES / 32)).into(),
        6 => "transfer-encoding: chunked\r\n".into(),
        7 => format!(
            "content-length: {}\r\n",
            rng.random::<u32>() >> (number % 32)
        )
        .into(),
        8 => format!("{:x}\r\n", number * 40).into(),
        9 => format!(
            "{:0>width$x}; x={}\r\n",
            number,
            "z".repeat(number),
            width = number % 40
        )
        .into(),
        10 => vec![b'x'; number * 40],
        11 => "0\r\n\r\n".into(),
        12 => "ffffffffffffffff\r\n".into(),
        _ => (0..number).map(|_| rng.random()).collect(),
    }
}

fn script(rng: &mut SmallRng, door: Door) -> Script {
    let start = match rng.random_range(0..4) {
        0 => String::new(),
        1 => request_head(door, false) + "\r\n",
        _ => request_head(door, true),
    };
    let count = rng.random_range(1..MAX_PARTS);
    Script {
        head: start,
        start: (0..count).flat_map(|_| part(rng, door)).collect(),
        pause: Duration::from_millis(rng.random_range(0..20)),
        piece: part(rng, door),
        pieces: rng.random_range(0..50),
        ..Script::default()
    }
}

/// Guards against a mixture of heads, chunk lines and pipelined requests that ends the process or takes its memory,
/// although each kind alone is bounded.
#[test]
fn random_clients_stay_within_the_bounds() {
    let _alone = one_at_a_time();
    let long = std::env::var("DQ_LONG").is_ok_and(|v| v == "1");
    let seeds = if long { LONG_SEEDS } else { SEEDS };
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut node = LimitedNode::start();
        for door in DOORS {
            println!("seed {seed} at {door:?}");
            let crowd: Vec<_> = (0..CLIENTS).map(|_| script(&mut rng, door)).collect();
            node.play(door, &crowd);
        }
    }
}

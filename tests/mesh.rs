//! Properties of membership, dissemination and watching under generated faults, in simulated time.

mod sim;

use dragonflyquay::connection::frame::{Frame, Liveness};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sim::{Fault, Sim};

const ZONES: usize = 4;
const SIZE: usize = 4;

/// Time in which all faults happen and end.
const FAULTS_MS: u64 = 60_000;
/// Time after the last fault in which everything converges: the longest backoff, a repair attempt and anti-entropy.
const CALM_MS: u64 = 90_000;

fn config(cases: u32) -> Config {
    let long = std::env::var_os("DQ_LONG").is_some();
    Config {
        cases: if long { cases * 20 } else { cases },
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..ZONES * SIZE;
    prop_oneof![
        (node.clone(), 100..15_000u64).prop_map(|(node, down)| Fault::Crash { node, down }),
        (node, 500..15_000u64).prop_map(|(node, time)| Fault::Pause { node, time }),
        (0..ZONES, 1000..25_000u64).prop_map(|(zone, time)| Fault::Cut { zone, time }),
        (1000..20_000u64).prop_map(|time| Fault::StoreDown { time }),
        Just(Fault::Rollback),
        Just(Fault::Commit),
        Just(Fault::Commit),
        (1..30u32, 1000..20_000u64).prop_map(|(percent, time)| Fault::Lossy { percent, time }),
    ]
}

proptest! {
    #![proptest_config(config(24))]

    /// Guards against a node that goes back to an older version, a version or record that is lost for good, and a zone
    /// that stays without watchers. The simulation itself asserts that no node adopts an older version than before,
    /// also across restarts.
    #[test]
    fn everything_converges_after_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec((0..FAULTS_MS - 25_000, fault()), 1..24),
    ) {
        let mut sim = Sim::new(ZONES, SIZE, seed);
        sim.inject(0, Fault::Commit);
        for (delay, f) in faults {
            sim.inject(delay, f);
        }
        sim.run(FAULTS_MS);
        sim.run(CALM_MS);
        let newest = sim.newest();
        prop_assert!(sim.held().iter().all(|v| *v == newest), "{:?} of {newest}", sim.held());
        prop_assert_eq!(sim.disagreements(), Vec::<String>::new());
        prop_assert!(sim.watchers().iter().all(|n| *n == 2), "{:?}", sim.watchers());
        prop_assert!(sim.links().iter().all(|n| (1..=32).contains(n)), "{:?}", sim.links());
    }

    /// Guards against input that crashes a node: the decoder must answer any bytes with a frame or an error, and what it
    /// accepts must be encodable again.
    #[test]
    fn decoder_survives_any_bytes(data in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(f) = Frame::decode(&data) {
            prop_assert_eq!(Frame::decode(&f.encode().unwrap()), Ok(f));
        }
    }

    /// The same for bytes that start as a frame does, so that the payload decoders are reached.
    #[test]
    fn decoder_survives_damaged_frames(
        kind in 0..16u8,
        data in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = vec![0x82, kind];
        bytes.extend(data);
        if let Ok(f) = Frame::decode(&bytes) {
            prop_assert_eq!(Frame::decode(&f.encode().unwrap()), Ok(f));
        }
    }
}

/// Guards against the loss of a zone's records while the zone is cut off for longer than dead records are kept.
#[test]
fn records_of_a_cut_zone_survive() {
    let mut sim = Sim::new(ZONES, SIZE, 7);
    sim.inject(0, Fault::Commit);
    sim.run(30_000);
    assert_eq!(sim.disagreements(), Vec::<String>::new());
    sim.inject(
        0,
        Fault::Cut {
            zone: 1,
            time: 660_000,
        },
    );
    sim.run(1000);
    sim.inject(0, Fault::Commit);
    sim.run(649_000);
    let unreachable = |sim: &Sim, n: usize| {
        let marks = sim.marks(n);
        let count = |m: Liveness| marks.values().filter(|x| **x == m).count();
        (count(Liveness::Alive), count(Liveness::Unreachable))
    };
    assert_eq!(unreachable(&sim, 0), (3 * SIZE, SIZE), "seen from outside");
    assert_eq!(unreachable(&sim, 1), (SIZE, 3 * SIZE), "seen from inside");
    let held = sim.held();
    assert!((0..held.len()).all(|n| held[n] == if n % ZONES == 1 { 1 } else { 2 }));
    sim.run(60_000);
    assert_eq!(sim.disagreements(), Vec::<String>::new());
    assert!(sim.held().iter().all(|v| *v == 2));
}

/// Guards against store load that grows with the number of nodes, and prints the figures of an idle site.
#[test]
fn store_load_does_not_grow_with_nodes() {
    let calls = |size| {
        let mut sim = Sim::new(ZONES, size, 11);
        sim.inject(0, Fault::Commit);
        sim.run(60_000);
        let (before, bytes) = (sim.store_calls, sim.sent_bytes);
        sim.run(60_000);
        let rate = (sim.sent_bytes - bytes) / 60 / (ZONES * size) as u64;
        println!("nodes={} idle_bytes_per_s_and_node={rate}", ZONES * size);
        sim.store_calls - before
    };
    let (small, large) = (calls(3), calls(12));
    assert!(large <= small + small / 10, "{small} calls, then {large}");
}

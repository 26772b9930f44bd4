//! Property tests of membership, dissemination and watching under generated faults, in simulated time.

mod sim;

use dragonflyquay::connection::frame::{Frame, Liveness};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sim::{Fault, Sim};

const ZONES: usize = 4;
const NODES_PER_ZONE: usize = 4;

/// Time within which all faults begin and end.
const FAULTS_MS: u64 = 60_000;
/// Time after the last fault within which all nodes must converge: the longest back-off, the interval of repair dials
/// and the interval of anti-entropy.
const CONVERGENCE_MS: u64 = 90_000;

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
    let node = 0..ZONES * NODES_PER_ZONE;
    prop_oneof![
        (node.clone(), 100..15_000u64).prop_map(|(node, down_ms)| Fault::Crash { node, down_ms }),
        (node, 500..15_000u64).prop_map(|(node, ms)| Fault::Pause { node, ms }),
        (0..ZONES, 1000..25_000u64).prop_map(|(zone, ms)| Fault::Partition { zone, ms }),
        (1000..20_000u64).prop_map(|ms| Fault::StoreDown { ms }),
        Just(Fault::StoreRollback),
        Just(Fault::Commit),
        Just(Fault::Commit),
        (1..30u32, 1000..20_000u64).prop_map(|(percent, ms)| Fault::PacketLoss { percent, ms }),
    ]
}

proptest! {
    #![proptest_config(config(24))]

    /// Guards against nodes that do not converge after faults: a node that returns to an older version, a version or
    /// record that is lost, or a zone that stays without watchers. The simulation itself asserts that no node adopts an
    /// older version than before, not even after a restart.
    #[test]
    fn site_converges_after_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec((0..FAULTS_MS - 25_000, fault()), 1..24),
    ) {
        let mut sim = Sim::new(ZONES, NODES_PER_ZONE, seed);
        sim.inject(0, Fault::Commit);
        for (delay, f) in faults {
            sim.inject(delay, f);
        }
        sim.run(FAULTS_MS);
        sim.run(CONVERGENCE_MS);
        let newest = sim.newest();
        prop_assert!(sim.held_versions().iter().all(|v| *v == newest), "{:?} of {newest}", sim.held_versions());
        prop_assert_eq!(sim.outdated_entries(), Vec::<String>::new());
        prop_assert!(sim.watchers().iter().all(|n| *n == 2), "{:?}", sim.watchers());
        prop_assert!(sim.links().iter().all(|n| (1..=32).contains(n)), "{:?}", sim.links());
    }

    /// Guards against input that crashes a node: the decoder must return a frame or an error for any bytes, and a frame
    /// that it accepts must encode and decode to itself.
    #[test]
    fn decoder_handles_any_bytes(data in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(f) = Frame::decode(&data) {
            prop_assert_eq!(Frame::decode(&f.encode().unwrap()), Ok(f));
        }
    }

    /// Guards against the same failure for bytes that begin like a frame, which reach the decoders of the payloads.
    #[test]
    fn decoder_handles_damaged_frames(
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

/// Guards against the loss of the records of a zone that is partitioned for longer than dead records are kept.
#[test]
fn records_of_partitioned_zone_are_kept() {
    let mut sim = Sim::new(ZONES, NODES_PER_ZONE, 7);
    sim.inject(0, Fault::Commit);
    sim.run(30_000);
    assert_eq!(sim.outdated_entries(), Vec::<String>::new());
    sim.inject(
        0,
        Fault::Partition {
            zone: 1,
            ms: 660_000,
        },
    );
    sim.run(1000);
    sim.inject(0, Fault::Commit);
    sim.run(649_000);
    let alive_and_unreachable = |sim: &Sim, n: usize| {
        let liveness = sim.liveness(n);
        let count = |l: Liveness| liveness.values().filter(|x| **x == l).count();
        (count(Liveness::Alive), count(Liveness::Unreachable))
    };
    assert_eq!(
        alive_and_unreachable(&sim, 0),
        (3 * NODES_PER_ZONE, NODES_PER_ZONE),
        "seen by a node of another zone"
    );
    assert_eq!(
        alive_and_unreachable(&sim, 1),
        (NODES_PER_ZONE, 3 * NODES_PER_ZONE),
        "seen by a node of the partitioned zone"
    );
    let held = sim.held_versions();
    assert!((0..held.len()).all(|n| held[n] == if n % ZONES == 1 { 1 } else { 2 }));
    sim.run(60_000);
    assert_eq!(sim.outdated_entries(), Vec::<String>::new());
    assert!(sim.held_versions().iter().all(|v| *v == 2));
}

/// Guards against store load that grows with the number of nodes. Also prints the bytes that each node of an idle site
/// sends.
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
    assert!(
        large <= small + small / 10,
        "{small} store calls of the small site, {large} of the large one"
    );
}

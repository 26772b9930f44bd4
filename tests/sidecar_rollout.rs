//! Tests of the rollout policies without a network, on a simulated fleet and clock.

mod rollout_sim;

use std::time::Duration;

use dragonflyquay::sidecar::process::rollout::order::Step;
use rand::rngs::SmallRng;
use rand::RngExt;
use rollout_sim::{good, ms, Answer, Behaviour, Sim};

const LIMITS_MS: [u64; 2] = [12_000, 16_000];
/// Numbers of old and of new targets, and requests per second.
const SIZES: [(usize, usize, f64); 3] = [(42, 42, 900.0), (11, 11, 250.0), (6, 6, 130.0)];

fn failing(_: Duration, _: &str, _: f64, rng: &mut SmallRng) -> Answer {
    (rng.random::<f64>() < 0.3, ms(100))
}

fn slow(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    let (_, time) = good(t, route, load, rng);
    (false, time * [1, 4][usize::from(rng.random::<f64>() < 0.5)])
}

fn slow_in_all(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    let (_, time) = good(t, route, load, rng);
    (false, time.mul_f64(3.5))
}

fn slow_in_a_fourth(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    let (_, time) = good(t, route, load, rng);
    (
        false,
        time * [1, 5][usize::from(rng.random::<f64>() < 0.25)],
    )
}

fn failing_late(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    match t > ms(6000) {
        true => failing(t, route, load, rng),
        false => good(t, route, load, rng),
    }
}

fn failing_on_one_route(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    match route {
        "b" => failing(t, route, load, rng),
        _ => good(t, route, load, rng),
    }
}

fn slow_on_one_route(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    match route {
        "b" => slow(t, route, load, rng),
        _ => good(t, route, load, rng),
    }
}

/// Fails at a target that is loaded as an old one, of which each gets 21 to 23 requests per second.
fn failing_under_load(t: Duration, route: &str, load: f64, rng: &mut SmallRng) -> Answer {
    match load > 2.5 {
        true => failing(t, route, load, rng),
        false => good(t, route, load, rng),
    }
}

/// A usual version with widely varying times, of which one response in a hundred fails.
fn varying(_: Duration, _: &str, _: f64, rng: &mut SmallRng) -> Answer {
    // The sum of twelve uniform numbers is close to a normal distribution.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (
        rng.random::<f64>() < 0.01,
        ms(100).mul_f64((0.5 * normal).exp()),
    )
}

/// Plays a bad version, and checks the bounds on its exposure.
fn play_bad(behaviour: Behaviour, disturb: fn(&mut Sim)) {
    for limit in LIMITS_MS {
        for (old, new, rate) in SIZES {
            let mut sim = Sim::new(old, new, rate, ms(limit), behaviour);
            while sim.now < ms(limit + 3000) {
                disturb(&mut sim);
                sim.run_until(sim.now + ms(50));
            }
            let t = &sim.totals;
            let case = format!("{old} targets, {limit} ms, {} of {}", t.new, t.old + t.new);
            let (end, at) = sim.end.unwrap_or_else(|| panic!("no end: {case}"));
            assert_eq!(end, Step::RolledBack, "{case}");
            assert!(at <= ms(limit), "{case}, at {at:?}");
            assert!((t.new as f64) <= sim.exposure_bound(), "{case}");
            if let Some(fiftieth) = t.fiftieth_bad {
                assert!(t.last_new <= fiftieth + ms(5000), "{case}");
            }
        }
    }
}

fn play_good(limit: u64, size: (usize, usize, f64), disturb: fn(&mut Sim)) -> Sim {
    let mut sim = Sim::new(size.0, size.1, size.2, ms(limit), good);
    while sim.now < ms(limit + 2000) {
        disturb(&mut sim);
        sim.run_until(sim.now + ms(50));
    }
    sim
}

fn assert_completed(sim: &Sim, limit: u64) {
    let (end, at) = sim.end.expect("no end");
    assert_eq!(end, Step::Completed, "{limit} ms, {at:?}");
    assert!(at <= ms(limit - 500), "{limit} ms, {at:?}");
}

/// Guards against a version that fails, or is slow, from its start and is not rolled back in time.
#[test]
fn a_version_that_is_bad_at_once_is_rolled_back() {
    play_bad(failing, |_| {});
    play_bad(slow, |_| {});
    play_bad(slow_in_all, |_| {});
    play_bad(slow_in_a_fourth, |_| {});
}

/// Guards against good responses of the past that hide that a version has turned bad.
#[test]
fn a_version_that_turns_bad_is_rolled_back() {
    play_bad(failing_late, |_| {});
}

/// Guards against faults of one route that disappear among the responses of the others.
#[test]
fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    play_bad(failing_on_one_route, |_| {});
    play_bad(slow_on_one_route, |_| {});
}

/// Guards against a canary that gets so few requests that a fault under load does not show.
#[test]
fn a_version_that_is_bad_under_load_is_rolled_back() {
    play_bad(failing_under_load, |_| {});
}

/// Guards against a good version that is not completed in time, also during a burst.
#[test]
fn a_good_version_is_completed_in_time() {
    for limit in LIMITS_MS {
        for size in SIZES {
            assert_completed(&play_good(limit, size, |_| {}), limit);
            let burst = |sim: &mut Sim| {
                let usual = sim.nodes.len() as f64 / 2.0 * 21.0;
                let in_burst = sim.now > ms(4000) && sim.now < ms(10_000);
                sim.rate = usual * [1.0, 2.5][usize::from(in_burst)];
            };
            assert_completed(&play_good(limit, size, burst), limit);
        }
    }
}

/// Guards against a decider whose death ends the rollout without a verdict, at any step.
#[test]
fn another_node_takes_over_at_each_step() {
    for die_at in [500, 2000, 5000, 7500, 8500] {
        let mut sim = Sim::new(42, 42, 900.0, ms(14_000), good);
        sim.run_until(ms(die_at));
        let decider = sim.decider().expect("no decider");
        sim.nodes[decider].up = false;
        sim.run_until(ms(16_000));
        let (end, at) = sim.end.expect("no end");
        assert_eq!(end, Step::Completed, "died at {die_at} ms");
        assert!(at <= ms(14_000), "died at {die_at} ms, {at:?}");
        let mut sim = Sim::new(42, 42, 900.0, ms(14_000), failing_late);
        sim.run_until(ms(die_at));
        let decider = sim.decider().expect("no decider");
        sim.nodes[decider].up = false;
        sim.run_until(ms(16_000));
        assert_eq!(sim.end.unwrap().0, Step::RolledBack, "died at {die_at} ms");
        assert!((sim.totals.new as f64) <= sim.exposure_bound());
    }
}

/// Guards against a part of the fleet that hears no decider and exposes its requests beyond the bound, or sends them on
/// after a rollback.
#[test]
fn a_partitioned_part_keeps_the_bounds() {
    let cut = |sim: &mut Sim| {
        let cut = sim.now > ms(5000) && sim.now < ms(11_000);
        let count = sim.nodes.len();
        for (i, n) in sim.nodes.iter_mut().enumerate() {
            n.side = u8::from(cut && i % 3 == 2 && i < count);
        }
    };
    play_bad(failing_late, cut);
    play_bad(failing, cut);
}

/// Guards against an unavailable store that prevents a rollback, or a completion after it is back.
#[test]
fn the_store_may_be_unavailable_for_a_while() {
    let down = |sim: &mut Sim| sim.store_up = !(sim.now > ms(3000) && sim.now < ms(8000));
    play_bad(failing, down);
    for limit in LIMITS_MS {
        assert_completed(&play_good(limit, SIZES[0], down), limit);
    }
}

/// Guards against requests that reach a version before its order is known, or after a rollback.
#[test]
fn nothing_reaches_a_version_that_was_rolled_back() {
    let mut sim = Sim::new(42, 42, 900.0, ms(14_000), failing);
    sim.run_until(ms(10_000));
    let before = sim.totals.new;
    assert_eq!(sim.step(), Step::RolledBack);
    sim.run_until(ms(20_000));
    assert_eq!(sim.totals.new, before);
}

/// Guards against an exposure beyond the bound of a version that turns bad at an unlucky moment, such as when the first
/// requests beyond the canary have moved.
#[test]
fn the_exposure_is_bounded_whenever_a_version_turns_bad() {
    for limit in [12_000, 16_000] {
        for onset in (0..limit - 4200)
            .step_by(800)
            .chain([limit - 4600, limit - 4200])
        {
            let mut sim = Sim::new(42, 42, 900.0, ms(limit), good);
            sim.bad_from = Some(ms(onset));
            sim.run_until(ms(limit + 2000));
            let t = &sim.totals;
            let case = format!("{limit} ms, bad from {onset} ms, {} new", t.new);
            assert_eq!(sim.end.expect("no end").0, Step::RolledBack, "{case}");
            assert!((t.new as f64) <= sim.exposure_bound(), "{case}");
        }
    }
}

/// Guards against a good version that is taken for a bad one because its canary runs on slow VMs, its times vary widely or
/// some of its requests fail as often as at the old version.
#[test]
fn a_good_version_on_unequal_vms_is_completed() {
    for (old, new, rate) in SIZES {
        for seed in 0..10 {
            let mut sim = Sim::new(old, new, rate, ms(14_000), varying);
            sim.old_behaviour = varying;
            sim.vary_speeds(seed);
            sim.run_until(ms(14_000));
            let end = sim.end.expect("no end");
            let reason = sim.reason();
            assert_eq!(
                end.0,
                Step::Completed,
                "{old} targets, seed {seed}: {reason}"
            );
        }
    }
}

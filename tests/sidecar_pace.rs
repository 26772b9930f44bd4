//! Tests of the pace of targets: the service that callers get, compared with that of a ramp by time.

mod pace_site;

use std::time::Duration;

use dragonflyquay::sidecar::process::target::pace::{Pace, Sample};
use pace_site::{Plan, Score, Sim, Trouble};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Targets whose times spread from 0.6 to 1.4 of the mean.
fn plan(targets: usize, load: f64, troubles: Vec<(Duration, usize, Trouble)>) -> Plan {
    let time = |i: usize| 0.6 + 0.8 * i as f64 / (targets - 1).max(1) as f64;
    Plan {
        slots: 13,
        times: (0..targets).map(time).collect(),
        zones: vec![1.0],
        entries: 6,
        load,
        time: ms(9_000),
        troubles,
    }
}

/// Plays a plan with the pace and with the ramp, over the same seeds. Returns the fractions of requests answered in time.
fn compare(name: &str, plan: &Plan) -> (f64, f64) {
    let play = |paced: bool| {
        let mut sum = Score::default();
        for seed in 1..=3 {
            let score = Sim::new(plan, paced, seed).run();
            sum.offered += score.offered;
            sum.in_time += score.in_time;
            sum.served += score.served;
        }
        sum
    };
    let (pace, ramp) = (play(true), play(false));
    println!(
        "{name}: in time {:.4} with the pace, {:.4} with the ramp; served {} and {} of {} and {}",
        pace.in_time_share(),
        ramp.in_time_share(),
        pace.served,
        ramp.served,
        pace.offered,
        ramp.offered
    );
    (pace.in_time_share(), ramp.in_time_share())
}

fn replaced(
    at: u64,
    targets: std::ops::Range<usize>,
    cold: u64,
) -> Vec<(Duration, usize, Trouble)> {
    let trouble = Trouble::Replaced {
        cold: ms(cold),
        factor: 4.0,
    };
    targets.map(|i| (ms(at), i, trouble)).collect()
}

/// Difference within which two fractions count as equal: the same load with other random service times differs by as
/// much.
const TOLERANCE: f64 = 0.01;

fn check(name: &str, plan: &Plan) {
    let (pace, ramp) = compare(name, plan);
    assert!(pace >= ramp - TOLERANCE, "{name}: {pace} < {ramp}");
}

/// Guards against a pace that changes anything for steady targets, in calm or in an overload.
#[test]
fn steady_targets_are_unaffected() {
    for load in [0.7, 1.2] {
        let plan = plan(8, load, vec![]);
        let (pace, ramp) = compare(&format!("steady, load {load}"), &plan);
        assert_eq!(pace.to_bits(), ramp.to_bits(), "load {load}");
        let mut sim = Sim::new(&plan, true, 5);
        sim.run();
        assert_eq!((sim.falls(), &*sim.least), (0, &[13; 8][..]), "load {load}");
    }
}

/// Guards against a cold target that gets as much as others, or too little, while all targets are full.
#[test]
fn a_cold_target_under_full_load() {
    for load in [0.9, 1.2] {
        check(
            &format!("one cold, load {load}"),
            &plan(8, load, replaced(3000, 5..6, 3000)),
        );
    }
}

/// Guards against a third of the targets that are replaced at once and take their full share while they are cold.
#[test]
fn a_third_of_the_targets_is_replaced() {
    for load in [0.7, 0.9, 1.2] {
        check(
            &format!("a third, load {load}"),
            &plan(8, load, replaced(3000, 2..5, 3000)),
        );
    }
}

/// Guards against limits whose sum does not carry the load when all targets restart at once, and that stay low.
#[test]
fn all_targets_are_replaced() {
    for load in [0.7, 0.9, 1.2] {
        let plan = plan(8, load, replaced(3000, 0..8, 3000));
        check(&format!("all, load {load}"), &plan);
        let mut sim = Sim::new(&plan, true, 5);
        sim.run();
        let paces: Vec<_> = (0..8).map(|i| sim.pace(i)).collect();
        assert_eq!(paces, [13; 8], "load {load}");
        assert!(sim.least.iter().all(|l| *l >= 6), "{:?}", sim.least);
    }
}

/// Guards against a wrong cold time: the ramp by time is too short, or too long for targets that are not cold at all.
#[test]
fn the_cold_time_is_unknown() {
    for load in [0.7, 0.9, 1.2] {
        check(
            &format!("cold for 6 s, load {load}"),
            &plan(8, load, replaced(3000, 2..5, 6000)),
        );
        check(
            &format!("not cold, load {load}"),
            &plan(8, load, replaced(3000, 2..5, 1)),
        );
    }
}

/// Guards against a target that gets its full share at once after each of its outages, or too little for good.
#[test]
fn targets_flap() {
    let flapping = |i: usize| {
        let at = move |k: u64| (ms(2000 + 1000 * k), i, Trouble::Failing(ms(500)));
        (0..5).map(at)
    };
    for load in [0.7, 0.9, 1.2] {
        let troubles = flapping(3).chain(flapping(6)).collect();
        check(&format!("flapping, load {load}"), &plan(8, load, troubles));
    }
}

/// Guards against the same after a pause.
#[test]
fn targets_recover_from_a_stall() {
    for load in [0.7, 0.9, 1.2] {
        let stalls = vec![
            (ms(2000), 3, Trouble::Stalled(ms(1000))),
            (ms(5000), 6, Trouble::Stalled(ms(1500))),
        ];
        check(&format!("stall, load {load}"), &plan(8, load, stalls));
    }
}

/// Guards against a target that is slow for good, or a service all of whose targets are slow, that never gets its slots.
#[test]
fn slow_targets_end_at_their_slots() {
    let mut slow = plan(8, 1.2, replaced(1000, 0..8, 1));
    slow.times[3] = 3.0;
    let all = plan(
        8,
        1.2,
        (0..8)
            .map(|i| (ms(2000), i, Trouble::Slower(2.5)))
            .collect(),
    );
    for (name, plan) in [("one slow", slow), ("all slow", all)] {
        check(name, &plan);
        let mut sim = Sim::new(&plan, true, 5);
        sim.run();
        let paces: Vec<_> = (0..8).map(|i| sim.pace(i)).collect();
        assert_eq!(paces, [13; 8], "{name}");
    }
}

fn record(p: &mut Pace, at: u64, sample: Sample) {
    p.record(ms(at), ms(at), 13, 13, sample);
}

/// Guards against a limit that falls for a single error or slow response, that one event lowers more than once, or that
/// leaves the target idle.
#[test]
fn one_bad_response_is_no_sign() {
    let mut p = Pace::default();
    (0..50).for_each(|i| record(&mut p, i, Sample::Response(Some(1.0))));
    record(&mut p, 50, Sample::Error);
    record(&mut p, 51, Sample::Response(Some(20.0)));
    assert_eq!((p.limit(13), p.falls()), (13, 0));
    (0..6).for_each(|i| record(&mut p, 60 + i, Sample::Error));
    assert_eq!((p.limit(13), p.falls()), (7, 1));
    // Errors of requests that were sent before.
    (0..20).for_each(|_| p.record(ms(90), ms(40), 13, 13, Sample::Error));
    assert_eq!((p.limit(13), p.falls()), (7, 1));
    (0..6).for_each(|i| record(&mut p, 100 + i, Sample::Response(Some(1.0))));
    assert_eq!(p.limit(13), 13);
    p.restart(false);
    assert_eq!((p.limit(13), p.limit(1), p.limit(0)), (7, 1, 0));
}

/// Guards against a target that has become slow and keeps all its slots, and against one that never gets them back.
#[test]
fn a_degraded_target_gets_less_for_a_while() {
    let mut p = Pace::default();
    (0..200).for_each(|i| record(&mut p, i, Sample::Response(Some(1.0))));
    (0..40).for_each(|i| record(&mut p, 300 + i, Sample::Response(Some(5.0))));
    assert!(p.limit(13) < 13 && p.limit(13) >= 9, "{}", p.limit(13));
    (0..1000).for_each(|i| record(&mut p, 400 + i, Sample::Response(Some(5.0))));
    assert_eq!(p.limit(13), 13, "it is always slow now");
}

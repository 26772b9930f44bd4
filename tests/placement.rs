//! Choice of targets, driven by reports and a time.

mod random;

use std::time::Duration;

use dragonflyquay::sidecar::placement::{Ask, Choice, Placement, TargetInfo};
use dragonflyquay::sidecar::queue::Load;
use dragonflyquay::sidecar::service_times::RunTime;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use random::run;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn info(az: &str) -> TargetInfo {
    TargetInfo {
        service: "s".into(),
        az: az.into(),
        slots: 4,
        ready: true,
        reachable: true,
        id: format!("t-{az}").into(),
    }
}

fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting: [waiting; 4],
        service_us: 100_000,
        slow: 100,
        failed: 0,
    }
}

fn ask<'a>(tried: &'a [dragonflyquay::prelude::NodeId]) -> Ask<'a> {
    Ask {
        service: "s",
        route: "r",
        rank: 1,
        due: ms(300),
        left: ms(800),
        tried,
    }
}

/// Guards against work that crosses zones while the own zone has room, and against work that stays where it is late.
#[test]
fn own_zone_first_and_spill_when_full() {
    let mut p = Placement::new("a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ms(1000);
    for az in ["a", "b"] {
        p.set(&az.into(), info(az), now);
        p.reported(now, &az.into(), load(3, 0));
    }
    for _ in 0..50 {
        assert_eq!(
            p.choose(now, &ask(&[]), &mut rng),
            Choice::Target("a".into())
        );
    }
    p.reported(now, &"a".into(), load(4, 8));
    for _ in 0..50 {
        assert_eq!(
            p.choose(now, &ask(&[]), &mut rng),
            Choice::Target("b".into())
        );
    }
    // Nothing is gained by crossing when the other zone is as full.
    p.reported(now, &"b".into(), load(4, 8));
    for _ in 0..50 {
        assert_eq!(
            p.choose(now, &ask(&[]), &mut rng),
            Choice::Target("a".into())
        );
    }
}

/// A service of 8 targets in one zone, two of them at half the speed of the others; each has learned it, and the entry
/// node has learned the times of a route.
fn mixed_speeds() -> Placement {
    let mut p = Placement::new("a".into());
    let now = ms(1000);
    for i in 0..8 {
        let node = format!("n{i}").into();
        p.set(&node, info("a"), now);
        let slow = if i < 2 { 200 } else { 100 };
        p.reported(now, &node, Load { slow, ..load(1, 0) });
    }
    // 200 ms on average with a wide spread, as seen at a target of average speed.
    for i in 0..200 {
        p.ran(&"n7".into(), &"r".into(), ms(120 + i % 160));
    }
    p
}

fn share_of_slow(p: &Placement, due: u64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ask = Ask {
        due: ms(due),
        left: ms(due * 3),
        ..ask(&[])
    };
    let slow = |c: &Choice| *c == Choice::Target("n0".into()) || *c == Choice::Target("n1".into());
    let chosen = (0..400).map(|_| p.choose(ms(1000), &ask, &mut rng));
    chosen.filter(slow).count() as f64 / 400.0
}

/// Guards against requests with little time at targets that make half of them late, while targets that are fast enough
/// have room; and against slow targets that stay idle although they are good enough for requests with much time.
#[test]
fn slow_targets_get_requests_with_time() {
    let p = mixed_speeds();
    assert!(share_of_slow(&p, 400, 1) < 0.02, "little time");
    let share = share_of_slow(&p, 5000, 2);
    assert!((0.08..0.4).contains(&share), "much time: {share}");
}

/// Guards against an old report that counts as the load of an average target: one that is always full is not chosen before
/// one that never is.
#[test]
fn an_old_report_counts_as_the_usual_load() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut p = Placement::new("a".into());
    for (node, running, waiting) in [("x", 4, 12), ("y", 1, 0)] {
        p.set(&node.into(), info("a"), ms(0));
        for t in 0..20 {
            p.reported(ms(t), &node.into(), load(running, waiting));
        }
    }
    for _ in 0..50 {
        let choice = p.choose(ms(3000), &ask(&[]), &mut rng);
        assert_eq!(choice, Choice::Target("y".into()));
    }
}

/// Guards against choosing a target that was tried, that leaves, that cannot be reached or that just had no room.
#[test]
fn unusable_targets_are_left_out() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ms(1000);
    let mut p = Placement::new("a".into());
    p.set(&"a".into(), info("a"), now);
    let tried = ["a".into()];
    assert_eq!(p.choose(now, &ask(&tried), &mut rng), Choice::None);
    p.reach(&"a".into(), false);
    assert_eq!(p.choose(now, &ask(&[]), &mut rng), Choice::None);
    p.reach(&"a".into(), true);
    p.full(now, &"a".into(), 1, ms(300), ms(100));
    assert_eq!(p.choose(now, &ask(&[]), &mut rng), Choice::Full(ms(100)));
    let urgent = Ask {
        rank: 0,
        ..ask(&[])
    };
    assert_eq!(p.choose(now, &urgent, &mut rng), Choice::Target("a".into()));
    assert_eq!(
        p.choose(now + ms(100), &ask(&[]), &mut rng),
        Choice::Target("a".into())
    );
    let leaving = TargetInfo {
        ready: false,
        ..info("a")
    };
    p.set(&"a".into(), leaving, now);
    assert_eq!(p.choose(now, &urgent, &mut rng), Choice::None);
}

/// Guards against a request that came back with little time, was refused, and keeps fresh requests from the target.
#[test]
fn a_late_refusal_holds_off_only_late_requests() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ms(1000);
    let mut p = Placement::new("a".into());
    p.set(&"a".into(), info("a"), now);
    p.full(now, &"a".into(), 1, ms(50), ms(200));
    assert_eq!(
        p.choose(now, &ask(&[]), &mut rng),
        Choice::Target("a".into())
    );
    let late = Ask {
        due: ms(40),
        ..ask(&[])
    };
    assert_eq!(p.choose(now, &late, &mut rng), Choice::Full(ms(200)));
}

/// Guards against a queue report that keeps work from a target for ever because no work brings a newer one.
#[test]
fn an_old_report_ages() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut p = Placement::new("a".into());
    p.set(&"a".into(), info("a"), ms(0));
    p.reported(ms(0), &"a".into(), load(4, 400));
    assert!(matches!(
        p.choose(ms(0), &ask(&[]), &mut rng),
        Choice::Full(_)
    ));
    assert_eq!(
        p.choose(ms(11_000), &ask(&[]), &mut rng),
        Choice::Target("a".into())
    );
}

/// Guards against times of routes that are kept for ever although no version has them any more.
#[test]
fn times_of_removed_routes_are_forgotten() {
    let mut p = mixed_speeds();
    assert!(p.usual("r") > ms(100));
    p.retain_routes(|route| route == "r");
    assert!(p.usual("r") > ms(100));
    p.retain_routes(|_| false);
    assert_eq!(p.usual("r"), Duration::ZERO);
}

/// Guards against an estimate of lateness that contradicts itself, or that does not follow the times that were seen.
#[test]
fn lateness_follows_the_times_seen() {
    let times = proptest::collection::vec(20_u64..400, 100..300);
    run(
        64,
        &(times, 30_u64..600, 1_u64..300),
        |(times, limit, more)| {
            let mut t = RunTime::around(ms(times[0]));
            times.iter().for_each(|time| t.add(ms(*time)));
            let late = t.late(ms(limit), 1.0);
            prop_assert!((0.0..=1.0).contains(&late));
            prop_assert!(t.late(ms(limit + more), 1.0) <= late, "more time");
            prop_assert!(t.late(ms(limit), 1.5) >= late, "a slower target");
            prop_assert_eq!(t.late(Duration::ZERO, 1.0), 1.0);
            let seen = times.iter().filter(|time| **time > limit).count();
            let seen = seen as f64 / times.len() as f64;
            // The times are evenly spread here, which the estimate does not assume.
            prop_assert!((late - seen).abs() < 0.25, "{late} of {seen}");
            Ok(())
        },
    );
}

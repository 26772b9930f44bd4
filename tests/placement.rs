//! Tests of the choice of targets with explicit load reports and a simulated clock.

mod property;

use std::time::Duration;

use dragonflyquay::sidecar::process::routing::placement::{
    Choice, Criteria, Placement, TargetInfo,
};
use dragonflyquay::sidecar::process::routing::service_times::TimeDistribution;
use dragonflyquay::sidecar::process::target::queue::Load;
use property::run;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;

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
        incarnation: 1,
        version: None,
    }
}

fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting: [waiting; 4],
        service_us: 100_000,
        slowdown_pct: 100,
        failed_pct: 0,
        limit: None,
        inbound_ms: 0,
        pace: None,
    }
}

fn criteria<'a>(excluded: &'a [dragonflyquay::prelude::NodeId]) -> Criteria<'a> {
    Criteria {
        service: "s",
        route: "r",
        rank: 1,
        until_due: ms(300),
        remaining: ms(800),
        upload: false,
        excluded,
    }
}

/// Guards against requests that leave the availability zone of their node while it has free slots, and against requests
/// that stay in it although they would be late.
#[test]
fn own_zone_is_preferred_until_full() {
    let mut p = Placement::new("a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ms(1000);
    for az in ["a", "b"] {
        p.set(&az.into(), info(az), now);
        p.record_load(now, &az.into(), load(3, 0));
    }
    for _ in 0..50 {
        assert_eq!(
            p.choose(now, &criteria(&[]), &mut rng),
            Choice::Target("a".into())
        );
    }
    p.record_load(now, &"a".into(), load(4, 8));
    for _ in 0..50 {
        assert_eq!(
            p.choose(now, &criteria(&[]), &mut rng),
            Choice::Target("b".into())
        );
    }
    // Another zone that is as full brings no gain.
    p.record_load(now, &"b".into(), load(4, 8));
    for _ in 0..50 {
        assert_eq!(
            p.choose(now, &criteria(&[]), &mut rng),
            Choice::Target("a".into())
        );
    }
}

/// Returns a service of 8 targets in one availability zone, of which two run at half the speed of the others. Each
/// target has reported its slowdown, and the entry node has measured the service times of a route.
fn mixed_speeds() -> Placement {
    let mut p = Placement::new("a".into());
    let now = ms(1000);
    for i in 0..8 {
        let node = format!("n{i}").into();
        p.set(&node, info("a"), now);
        let slowdown_pct = if i < 2 { 200 } else { 100 };
        p.record_load(
            now,
            &node,
            Load {
                slowdown_pct,
                ..load(1, 0)
            },
        );
    }
    // 200 ms on average with a high variance, as measured at a target of average speed.
    for i in 0..200 {
        p.record_service_time(&"n7".into(), &"r".into(), ms(120 + i % 160));
    }
    p
}

fn slow_target_share(p: &Placement, until_due: u64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let criteria = Criteria {
        until_due: ms(until_due),
        remaining: ms(until_due * 3),
        ..criteria(&[])
    };
    let slow = |c: &Choice| *c == Choice::Target("n0".into()) || *c == Choice::Target("n1".into());
    let chosen = (0..400).map(|_| p.choose(ms(1000), &criteria, &mut rng));
    chosen.filter(slow).count() as f64 / 400.0
}

/// Guards against requests with little time that go to targets where half of them are late while fast targets have free
/// slots, and against slow targets that stay idle although they are fast enough for requests with much time.
#[test]
fn slow_targets_get_requests_with_much_time() {
    let p = mixed_speeds();
    assert!(slow_target_share(&p, 400, 1) < 0.02, "little time");
    let share = slow_target_share(&p, 5000, 2);
    assert!((0.08..0.4).contains(&share), "much time: {share}");
}

/// Guards against old reports that are replaced by the load of an average target: a target that is always full must not
/// be chosen over one that never is.
#[test]
fn old_reports_decay_to_the_mean_load() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut p = Placement::new("a".into());
    for (node, running, waiting) in [("x", 4, 12), ("y", 1, 0)] {
        p.set(&node.into(), info("a"), ms(0));
        for t in 0..20 {
            p.record_load(ms(t), &node.into(), load(running, waiting));
        }
    }
    for _ in 0..50 {
        let choice = p.choose(ms(3000), &criteria(&[]), &mut rng);
        assert_eq!(choice, Choice::Target("y".into()));
    }
}

/// Guards against the choice of a target that was tried before, is leaving, is unreachable or has just rejected a
/// request.
#[test]
fn ineligible_targets_are_not_chosen() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ms(1000);
    let mut p = Placement::new("a".into());
    p.set(&"a".into(), info("a"), now);
    let excluded = ["a".into()];
    assert_eq!(p.choose(now, &criteria(&excluded), &mut rng), Choice::None);
    p.set_reachable(&"a".into(), false);
    assert_eq!(p.choose(now, &criteria(&[]), &mut rng), Choice::None);
    p.set_reachable(&"a".into(), true);
    p.record_rejection(now, &"a".into(), 1, ms(300), ms(100));
    assert_eq!(
        p.choose(now, &criteria(&[]), &mut rng),
        Choice::Full(ms(100))
    );
    let urgent = Criteria {
        rank: 0,
        ..criteria(&[])
    };
    assert_eq!(p.choose(now, &urgent, &mut rng), Choice::Target("a".into()));
    assert_eq!(
        p.choose(now + ms(100), &criteria(&[]), &mut rng),
        Choice::Target("a".into())
    );
    let leaving = TargetInfo {
        ready: false,
        ..info("a")
    };
    p.set(&"a".into(), leaving, now);
    assert_eq!(p.choose(now, &urgent, &mut rng), Choice::None);
}

/// Guards against a rejected retry with little time left that keeps new requests away from the target.
#[test]
fn rejection_of_a_late_request_affects_only_late_requests() {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = ms(1000);
    let mut p = Placement::new("a".into());
    p.set(&"a".into(), info("a"), now);
    p.record_rejection(now, &"a".into(), 1, ms(50), ms(200));
    assert_eq!(
        p.choose(now, &criteria(&[]), &mut rng),
        Choice::Target("a".into())
    );
    let late = Criteria {
        until_due: ms(40),
        ..criteria(&[])
    };
    assert_eq!(p.choose(now, &late, &mut rng), Choice::Full(ms(200)));
}

/// Guards against a report of a full queue that keeps requests away from a target forever, because without requests no
/// newer report arrives.
#[test]
fn old_reports_of_full_queues_expire() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut p = Placement::new("a".into());
    p.set(&"a".into(), info("a"), ms(0));
    p.record_load(ms(0), &"a".into(), load(4, 400));
    assert!(matches!(
        p.choose(ms(0), &criteria(&[]), &mut rng),
        Choice::Full(_)
    ));
    assert_eq!(
        p.choose(ms(11_000), &criteria(&[]), &mut rng),
        Choice::Target("a".into())
    );
}

/// Guards against service times of routes that are kept although the current version no longer has the routes.
#[test]
fn service_times_of_removed_routes_are_discarded() {
    let mut p = mixed_speeds();
    assert!(p.baseline("r") > ms(100));
    p.retain_routes(|route| route == "r");
    assert!(p.baseline("r") > ms(100));
    p.retain_routes(|_| false);
    assert_eq!(p.baseline("r"), Duration::ZERO);
}

/// Guards against an inconsistent estimate of the late fraction, or one that does not match the samples.
#[test]
fn late_fraction_matches_samples() {
    let times = proptest::collection::vec(20_u64..400, 100..300);
    run(
        64,
        &(times, 30_u64..600, 1_u64..300),
        |(times, limit, more)| {
            let mut dist = TimeDistribution::with_median(ms(times[0]));
            times.iter().for_each(|time| dist.add(ms(*time)));
            let late = dist.late_fraction(ms(limit), 1.0);
            prop_assert!((0.0..=1.0).contains(&late));
            prop_assert!(
                dist.late_fraction(ms(limit + more), 1.0) <= late,
                "more time"
            );
            prop_assert!(
                dist.late_fraction(ms(limit), 1.5) >= late,
                "a slower target"
            );
            prop_assert_eq!(dist.late_fraction(Duration::ZERO, 1.0), 1.0);
            let observed = times.iter().filter(|time| **time > limit).count();
            let observed = observed as f64 / times.len() as f64;
            // The samples are uniformly distributed, while the estimate assumes a log-normal distribution.
            prop_assert!((late - observed).abs() < 0.25, "{late} of {observed}");
            Ok(())
        },
    );
}

/// Guards against a target with a rate limit that looks idle, because it runs few requests, and is chosen before others.
#[test]
fn a_rate_limit_counts_as_fewer_slots() {
    let mut p = Placement::new("a".into());
    let mut rng = SmallRng::seed_from_u64(7);
    for node in ["n1", "n2"] {
        p.set(&node.into(), info("a"), ms(0));
    }
    let limited = Load {
        limit: Some(10.0),
        ..load(1, 0)
    };
    p.record_load(ms(1000), &"n1".into(), limited);
    p.record_load(ms(1000), &"n2".into(), load(2, 0));
    for _ in 0..50 {
        let choice = p.choose(ms(1001), &criteria(&[]), &mut rng);
        assert_eq!(choice, Choice::Target("n2".into()));
    }
    assert_eq!(p.limit(&"n1".into()), Some(10.0));
}

/// Guards against requests for a target that said in a response that it stops, and against a target that is never used
/// again after it has started anew.
#[test]
fn a_target_that_says_it_stops_is_not_chosen() {
    let mut p = Placement::new("a".into());
    let mut rng = SmallRng::seed_from_u64(7);
    let node = "n1".into();
    p.set(&node, info("a"), ms(0));
    p.set_leaving(&node);
    // The record of its node may not say so yet, or no more after a restart of the node.
    let unknown = TargetInfo {
        incarnation: 0,
        ..info("a")
    };
    for same in [info("a"), unknown, info("a")] {
        p.set(&node, same, ms(1));
        let choice = p.choose(ms(2), &criteria(&[]), &mut rng);
        assert_eq!(choice, Choice::None);
    }
    let later = TargetInfo {
        incarnation: 2,
        ..info("a")
    };
    p.set(&node, later, ms(3));
    let choice = p.choose(ms(4), &criteria(&[]), &mut rng);
    assert_eq!(choice, Choice::Target(node));
}

/// Guards against large bodies that go to a target whose link is full while another one has room, and against other
/// requests that avoid it for that.
#[test]
fn uploads_avoid_targets_whose_links_are_full() {
    let mut p = Placement::new("a".into());
    let now = ms(1000);
    for node in ["n0", "n1"] {
        p.set(&node.into(), info("a"), now);
    }
    let busy = Load {
        inbound_ms: 400,
        ..load(1, 0)
    };
    p.record_load(now, &"n0".into(), busy);
    p.record_load(now, &"n1".into(), load(1, 0));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut share = |upload: bool, now| {
        let criteria = Criteria {
            upload,
            until_due: ms(1500),
            remaining: ms(3000),
            ..criteria(&[])
        };
        let chosen = (0..200).map(|_| p.choose(now, &criteria, &mut rng));
        let full = chosen.filter(|c| *c == Choice::Target("n0".into()));
        full.count() as f64 / 200.0
    };
    assert_eq!(share(true, now), 0.0);
    assert!(share(false, now) > 0.3);
    // The link works off what was reported.
    assert!(share(true, now + ms(450)) > 0.3);
}

/// Guards against a full link that keeps requests without a large body away from a target.
#[test]
fn a_full_link_holds_off_uploads_only() {
    let mut p = Placement::new("a".into());
    let now = ms(1000);
    p.set(&"a".into(), info("a"), now);
    p.record_upload_rejection(now, &"a".into(), 1, ms(300), ms(100));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |upload: bool, rank| {
        let criteria = Criteria {
            upload,
            rank,
            ..criteria(&[])
        };
        p.choose(now, &criteria, &mut rng)
    };
    assert_eq!(choose(true, 1), Choice::Full(ms(100)));
    assert_eq!(choose(true, 2), Choice::Full(ms(100)));
    assert_eq!(choose(true, 0), Choice::Target("a".into()));
    assert_eq!(choose(false, 1), Choice::Target("a".into()));
}

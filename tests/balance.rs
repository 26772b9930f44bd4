//! Property tests of the balancer.

mod property;

use std::time::Duration;

use dragonflyquay::prelude::{NodeId, RankId};
use dragonflyquay::process::routing::balance::{
    AttemptEnd, Balancer, Choice, ReportedState, TargetInfo, MAX_EJECTED_PERCENT,
};
use dragonflyquay::settings::BalancePolicy;
use property::run;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const WARM_AGE: Duration = Duration::from_secs(100);
const SUCCESS: AttemptEnd = AttemptEnd::Responded {
    latency: Duration::from_millis(5),
    load_percent: None,
};

fn target_info(az: &str, reported: ReportedState, age: Duration) -> TargetInfo {
    TargetInfo {
        service: "s".into(),
        az: az.into(),
        slots: 6,
        reported,
        age,
        incarnation: 1,
        doubt: 0,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn pick(b: &Balancer, now: Duration, rng: &mut SmallRng) -> Option<NodeId> {
    match b.choose(now, "s", "r", &[], rng) {
        Choice::Target(n) => Some(n),
        _ => None,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Choose,
    EndAttempt(usize, bool),
    Report(usize, bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Choose),
        6 => (0..8_usize, prop::bool::weighted(0.2)).prop_map(|(i, ok)| Step::EndAttempt(i, ok)),
        1 => (0..8_usize, any::<bool>()).prop_map(|(i, r)| Step::Report(i, r)),
        1 => (0..20_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

/// Guards against the ejection of so many targets that the rest cannot carry the load, against requests for a target
/// that is draining, and against a choice that depends on anything but events, time and seed.
#[test]
fn ejection_is_bounded_and_draining_targets_get_no_requests() {
    run(256, &(steps(), 1..8_usize), |(steps, n)| {
        let replay = || {
            let mut b = Balancer::new(BalancePolicy::LeastLoaded, "a".into());
            let mut rng = SmallRng::seed_from_u64(7);
            let mut now = ms(0);
            let mut draining = vec![false; n];
            let mut picked = Vec::new();
            for i in 0..n {
                b.set(
                    now,
                    &format!("n{i}").into(),
                    target_info("a", ReportedState::Ready, WARM_AGE),
                );
            }
            for s in &steps {
                match s {
                    Step::Choose => {
                        if let Some(node) = pick(&b, now, &mut rng) {
                            let i: usize = node[1..].parse().unwrap();
                            assert!(!draining[i], "draining target chosen");
                            b.started(&node);
                            picked.push(node);
                        }
                    }
                    Step::EndAttempt(i, ok) => {
                        let end = if *ok { SUCCESS } else { AttemptEnd::Failed };
                        let node = format!("n{}", i % n).into();
                        b.ended(now, &node, &RankId::from("r"), end);
                    }
                    Step::Report(i, ready) => {
                        draining[i % n] = !ready;
                        let reported = if *ready {
                            ReportedState::Ready
                        } else {
                            ReportedState::Draining
                        };
                        let node = format!("n{}", i % n).into();
                        b.set(now, &node, target_info("a", reported, WARM_AGE));
                    }
                    Step::Wait(wait) => now += ms(*wait),
                }
                let remaining = draining.iter().filter(|d| !**d).count();
                assert!(b.ejected(now, "s") <= remaining * MAX_EJECTED_PERCENT / 100);
                assert!(remaining == 0 || pick(&b, now, &mut rng).is_some());
            }
            picked
        };
        assert_eq!(replay(), replay());
        Ok(())
    });
}

/// Guards against cross-zone traffic while the local availability zone is below the spillover utilization, and against
/// a lack of it above.
#[test]
fn spillover_starts_above_80_percent_utilization() {
    run(256, &(0..40_u32, any::<u64>()), |(outstanding, seed)| {
        let mut b = Balancer::new(BalancePolicy::LeastLoaded, "a".into());
        let mut rng = SmallRng::seed_from_u64(seed);
        for (node, az) in [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")] {
            b.set(
                ms(0),
                &node.into(),
                target_info(az, ReportedState::Ready, WARM_AGE),
            );
        }
        for i in 0..outstanding {
            b.started(&format!("a{}", i % 2).into());
        }
        let spilled_over = (0..200)
            .filter_map(|_| pick(&b, ms(1), &mut rng))
            .any(|n| n.starts_with('b'));
        assert_eq!(spilled_over, f64::from(outstanding) > 0.8 * 12.0);
        Ok(())
    });
}

/// Guards against a cold target that gets a full share of the requests at once, and against one that gets none.
#[test]
fn cold_target_ramps_up() {
    let share = |age: u64| {
        let mut b = Balancer::new(BalancePolicy::LeastLoaded, "a".into());
        let mut rng = SmallRng::seed_from_u64(3);
        for i in 0..3 {
            b.set(
                ms(0),
                &format!("n{i}").into(),
                target_info("a", ReportedState::Ready, WARM_AGE),
            );
        }
        b.set(
            ms(0),
            &"cold".into(),
            target_info("a", ReportedState::Ready, ms(age)),
        );
        let mut cold = 0;
        let mut in_flight = std::collections::VecDeque::new();
        for _ in 0..4000 {
            let node = pick(&b, ms(0), &mut rng).unwrap();
            cold += u32::from(node == "cold");
            b.started(&node);
            in_flight.push_back(node);
            if in_flight.len() > 60 {
                let finished = in_flight.pop_front().unwrap();
                b.ended(ms(0), &finished, &RankId::from("r"), SUCCESS);
            }
        }
        cold
    };
    let (new, warm) = (share(0), share(10_000));
    assert!(new > 0 && new * 4 < warm, "cold {new}, warm {warm}");
}

/// Guards against a stale or wrong reported state that takes precedence over what this node has just observed.
#[test]
fn observations_take_precedence_over_reported_state() {
    let mut b = Balancer::new(BalancePolicy::LeastLoaded, "a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    for i in 0..4 {
        b.set(
            ms(0),
            &format!("n{i}").into(),
            target_info("a", ReportedState::Ready, WARM_AGE),
        );
    }
    let rank = RankId::from("r");
    for _ in 0..5 {
        b.ended(ms(10), &"n0".into(), &rank, AttemptEnd::Failed);
    }
    b.ended(ms(10), &"n1".into(), &rank, SUCCESS);
    b.set(
        ms(20),
        &"n1".into(),
        target_info("a", ReportedState::Unready, WARM_AGE),
    );
    b.set(
        ms(20),
        &"n2".into(),
        target_info("a", ReportedState::Unready, WARM_AGE),
    );
    let seen: std::collections::BTreeSet<_> = (0..400)
        .filter_map(|_| pick(&b, ms(20), &mut rng))
        .collect();
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), ["n1", "n3"]);
}

/// Guards against sending requests of a rank to a target that has just rejected that rank, and against a back-off that
/// stops other ranks too or never ends.
#[test]
fn back_off_applies_to_one_rank_for_its_time() {
    let mut b = Balancer::new(BalancePolicy::LeastLoaded, "a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    b.set(
        ms(0),
        &"n0".into(),
        target_info("a", ReportedState::Ready, WARM_AGE),
    );
    b.ended(
        ms(0),
        &"n0".into(),
        &"r".into(),
        AttemptEnd::Rejected(ms(100)),
    );
    b.ended(
        ms(10),
        &"n0".into(),
        &"r".into(),
        AttemptEnd::Rejected(ms(0)),
    );
    let mut choose = |now, rank: &str| b.choose(ms(now), "s", rank, &[], &mut rng);
    assert_eq!(choose(40, "r"), Choice::BackOff(ms(60)));
    assert_eq!(choose(40, "other"), Choice::Target("n0".into()));
    assert_eq!(choose(100, "r"), Choice::Target("n0".into()));
}

/// Guards against requests for nodes of doubtful reachability while other nodes are usable, and against a failure to
/// choose one when only such nodes are left.
#[test]
fn nodes_with_less_doubt_are_preferred() {
    let mut b = Balancer::new(BalancePolicy::LeastLoaded, "a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    let doubtful = |az, doubt| TargetInfo {
        doubt,
        ..target_info(az, ReportedState::Ready, WARM_AGE)
    };
    b.set(ms(0), &"own".into(), doubtful("a", 2));
    b.set(ms(0), &"near".into(), doubtful("a", 1));
    b.set(ms(0), &"far".into(), doubtful("b", 0));
    let mut choose_many = |b: &Balancer| (0..50).filter_map(|_| pick(b, ms(1), &mut rng)).collect();
    let got: std::collections::BTreeSet<NodeId> = choose_many(&b);
    assert_eq!(got.into_iter().collect::<Vec<_>>(), ["far"]);
    b.remove(ms(0), &"far".into());
    b.remove(ms(0), &"near".into());
    let got: std::collections::BTreeSet<NodeId> = choose_many(&b);
    assert_eq!(got.into_iter().collect::<Vec<_>>(), ["own"]);
}
